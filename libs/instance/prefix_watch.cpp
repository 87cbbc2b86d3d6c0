#include "instance/prefix_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragedoor::instance {

prefix_watch::prefix_watch(net::event_loop& loop, durable_store& store, std::string prefix,
                           const prefix_watch_options& options, observer seen)
    : loop_(loop), store_(store), prefix_(std::move(prefix)), options_(options),
      seen_(std::move(seen)) {}

prefix_watch::~prefix_watch() {
  *alive_ = false;
}

void prefix_watch::start() {
  started_ = true;
  list({});
}

void prefix_watch::list(const std::string& after) {
  if (after.empty()) {
    listed_.clear();
    list_revision_ = 0;
  }
  store_.list(prefix_, after, [this, alive = alive_](const list_answer& page) {
    if (*alive) {
      take_page(page);
    }
  });
}

void prefix_watch::take_page(const list_answer& page) {
  if (page.status != store_status::ok) {
    set_reachable(false);
    retry([this] { list({}); });
    return;
  }
  set_reachable(true);
  // Pages are no snapshot: the watch begins where the first one stood and repeats what came since.
  if (list_revision_ == 0) {
    list_revision_ = page.as_of;
  }
  for (const stored_item& it : page.items) {
    listed_[it.key] = it.revision;
    put(it);
  }
  if (page.more && !page.items.empty()) {
    list(page.items.back().key);
    return;
  }
  finish_list();
}

void prefix_watch::finish_list() {
  std::vector<std::string> gone;
  for (const auto& [key, revision] : known_) {
    // A key that was written after the list began may not be on it.
    if (!listed_.contains(key) && revision <= list_revision_) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    remove(key);
  }
  listed_.clear();
  revision_ = list_revision_;
  synced_ = true;
  if (seen_.on_synced) {
    seen_.on_synced();
  }
  watch();
}

void prefix_watch::watch() {
  store_.watch(prefix_, revision_, options_.wait, [this, alive = alive_](const watch_answer& it) {
    if (*alive) {
      take_events(it);
    }
  });
}

void prefix_watch::take_events(const watch_answer& answer) {
  switch (answer.status) {
  case store_status::ok:
    break;
  case store_status::missing:
    set_reachable(true);
    list({});
    return;
  case store_status::conflict:
  case store_status::refused:
  case store_status::unknown:
    set_reachable(false);
    retry([this] { watch(); });
    return;
  }
  set_reachable(true);
  for (const change_event& it : answer.events) {
    if (it.removed) {
      remove(it.item.key);
    } else {
      put(it.item);
    }
  }
  revision_ = std::max(revision_, answer.as_of);
  if (seen_.on_synced) {
    seen_.on_synced();
  }
  if (answer.events.empty() || options_.pause == duration::zero()) {
    watch();
  } else {
    again_after(options_.pause, [this] { watch(); });
  }
}

void prefix_watch::put(const stored_item& it) {
  std::uint64_t& revision = known_[it.key];
  if (revision < it.revision) {
    revision = it.revision;
    seen_.on_put(it);
  }
}

void prefix_watch::remove(const std::string& key) {
  if (known_.erase(key) > 0) {
    seen_.on_removed(key);
  }
}

void prefix_watch::set_reachable(bool reachable) {
  if (reachable) {
    delay_ = duration::zero();
  }
  if (std::exchange(reachable_, reachable) != reachable && seen_.on_reachable) {
    seen_.on_reachable(reachable);
  }
}

void prefix_watch::retry(std::function<void()> step) {
  delay_ = std::clamp(delay_ * 2, options_.first_retry, options_.longest_retry);
  again_after(delay_, std::move(step));
}

void prefix_watch::again_after(duration delay, std::function<void()> step) {
  loop_.post_after(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

} // namespace boragedoor::instance
