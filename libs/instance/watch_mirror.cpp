#include "instance/watch_mirror.h"

#include <algorithm>

namespace boragedoor::instance {

namespace {

/// Number of changes kept. Other instances call several times per second, and the store accepts at
/// most hundreds of changes per second.
constexpr std::size_t max_history_length = 512;

} // namespace

void watch_mirror::apply_page(const list_answer& page, bool is_first, const call_times& times) {
  if (page.status != store_status::ok || (!is_first && !is_listing_)) {
    return;
  }
  if (is_first) {
    clear();
    // Pages are not a consistent snapshot, so the watch starts at the revision of the first page
    // and repeats the changes made since.
    as_of_ = page.as_of;
    history_start_ = page.as_of;
    confirmed_at_ = times.confirmed_at();
    confirmed_ = true;
  }
  for (const stored_item& it : page.items) {
    items_[it.key] = it;
  }
  is_listing_ = page.more;
  complete_ = !page.more;
}

void watch_mirror::apply_events(const watch_answer& answer, const call_times& times) {
  if (answer.status == store_status::missing) {
    clear();
    return;
  }
  if (answer.status != store_status::ok || !complete_) {
    return;
  }
  for (const change_event& it : answer.events) {
    apply(it);
  }
  as_of_ = std::max(as_of_, answer.as_of);
  if (answer.events.empty()) {
    answer_delay_ = times.answered_at - times.age - times.confirmed_at();
  }
  confirmed_at_ = std::max(confirmed_at_, times.confirmed_at());
  confirmed_ = true;
}

void watch_mirror::apply(const change_event& it) {
  const auto present = items_.find(it.item.key);
  if (present != items_.end() && present->second.revision >= it.item.revision) {
    return;
  }
  if (it.removed) {
    if (present != items_.end()) {
      items_.erase(present);
    }
  } else {
    items_[it.item.key] = it.item;
  }
  history_.push_back(it);
  while (history_.size() > max_history_length) {
    history_start_ = std::max(history_start_, history_.front().item.revision);
    history_.pop_front();
  }
}

void watch_mirror::clear() {
  items_.clear();
  history_.clear();
  history_start_ = 0;
  as_of_ = 0;
  is_listing_ = false;
  complete_ = false;
  confirmed_ = false;
}

bool watch_mirror::is_fresh(time_point now, duration limit) const {
  return complete_ && confirmed_ && now - confirmed_at_ <= limit;
}

duration watch_mirror::fresh_for(time_point now, duration limit) const {
  return is_fresh(now, limit) ? confirmed_at_ + limit - now : duration::zero();
}

duration watch_mirror::next_wait(time_point now, duration interval, duration shortest) const {
  if (!complete_ || !confirmed_) {
    return shortest;
  }
  return std::clamp(confirmed_at_ + interval - answer_delay_ - now, shortest, interval);
}

list_answer watch_mirror::list() const {
  list_answer answer{.status = store_status::ok, .items = {}, .more = false, .as_of = as_of_};
  answer.items.reserve(items_.size());
  for (const auto& [key, it] : items_) {
    answer.items.push_back(it);
  }
  return answer;
}

std::optional<watch_answer> watch_mirror::changes(std::uint64_t after) const {
  if (after < history_start_) {
    return watch_answer{.status = store_status::missing, .events = {}, .as_of = 0};
  }
  watch_answer answer{.status = store_status::ok, .events = {}, .as_of = std::max(after, as_of_)};
  std::copy_if(history_.begin(), history_.end(), std::back_inserter(answer.events),
               [after](const change_event& it) { return it.item.revision > after; });
  return answer.events.empty() ? std::nullopt : std::optional(std::move(answer));
}

} // namespace boragedoor::instance
