#include "standin/store_state.h"

#include <algorithm>
#include <utility>

namespace boragedoor::standin {

std::optional<store_state::entry> store_state::get(std::string_view key, time_point now) {
  expire(now);
  const auto it = records_.find(key);
  if (it == records_.end()) {
    return std::nullopt;
  }
  return entry{it->first, it->second.value, it->second.version};
}

std::vector<store_state::entry> store_state::list(std::string_view prefix, time_point now) {
  expire(now);
  std::vector<entry> found;
  for (auto it = records_.lower_bound(prefix);
       it != records_.end() && it->first.starts_with(prefix); ++it) {
    found.push_back({it->first, it->second.value, it->second.version});
  }
  return found;
}

store_state::outcome store_state::put(const std::string& key, std::string value,
                                      std::optional<std::int64_t> expect_version,
                                      const std::optional<std::string>& lease_id, time_point now) {
  expire(now);
  if (lease_id && !leases_.contains(*lease_id)) {
    return {status::unknown_lease, 0};
  }
  const auto found = records_.find(key);
  const std::int64_t current = found == records_.end() ? 0 : found->second.version;
  if (expect_version && *expect_version != current) {
    return {status::conflict, current};
  }
  if (found != records_.end()) {
    detach(key, found->second);
  }
  ++revision_;
  records_[key] = {value, revision_, lease_id.value_or("")};
  if (lease_id) {
    leases_.find(*lease_id)->second.keys.insert(key);
  }
  remember({key, std::move(value), revision_});
  return {status::done, revision_};
}

store_state::outcome store_state::remove(const std::string& key,
                                         std::optional<std::int64_t> expect_version,
                                         time_point now) {
  expire(now);
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return {status::not_found, 0};
  }
  if (expect_version && *expect_version != found->second.version) {
    return {status::conflict, found->second.version};
  }
  erase(key);
  return {status::done, revision_};
}

std::string store_state::create_lease(duration ttl, time_point now) {
  expire(now);
  std::string id = "lease-" + std::to_string(++lease_count_);
  leases_[id] = {ttl, now + ttl, {}};
  return id;
}

std::optional<duration> store_state::renew_lease(std::string_view id, time_point now) {
  expire(now);
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return std::nullopt;
  }
  it->second.end = now + it->second.ttl;
  return it->second.ttl;
}

bool store_state::delete_lease(std::string_view id, time_point now) {
  expire(now);
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    return false;
  }
  drop_lease(std::string(id));
  return true;
}

void store_state::expire(time_point now) {
  std::vector<std::string> ended;
  for (const auto& [id, it] : leases_) {
    if (it.end <= now) {
      ended.push_back(id);
    }
  }
  for (const auto& id : ended) {
    drop_lease(id);
  }
}

std::optional<time_point> store_state::next_expiry() const {
  const auto it =
      std::min_element(leases_.begin(), leases_.end(), [](const auto& left, const auto& right) {
        return left.second.end < right.second.end;
      });
  return it == leases_.end() ? std::nullopt : std::optional(it->second.end);
}

bool store_state::has_history_after(std::int64_t revision) const {
  return revision >= forgotten_ && revision <= revision_;
}

std::vector<store_state::change> store_state::changes_after(std::int64_t revision,
                                                            std::string_view prefix) const {
  auto it = std::upper_bound(history_.begin(), history_.end(), revision,
                             [](std::int64_t n, const change& next) { return n < next.version; });
  std::vector<change> found;
  for (; it != history_.end(); ++it) {
    if (it->key.starts_with(prefix)) {
      found.push_back(*it);
    }
  }
  return found;
}

void store_state::remember(change it) {
  history_.push_back(std::move(it));
  while (history_.size() > history_limit_) {
    forgotten_ = history_.front().version;
    history_.pop_front();
  }
}

void store_state::detach(const std::string& key, const record& it) {
  const auto found = leases_.find(it.lease);
  if (found != leases_.end()) {
    found->second.keys.erase(key);
  }
}

void store_state::erase(const std::string& key) {
  const auto found = records_.find(key);
  detach(key, found->second);
  records_.erase(found);
  remember({key, std::nullopt, ++revision_});
}

void store_state::drop_lease(const std::string& id) {
  // Erasing a key takes it off the lease, so the loop runs over a copy.
  const auto keys = leases_.find(id)->second.keys;
  for (const auto& key : keys) {
    erase(key);
  }
  leases_.erase(id);
}

} // namespace boragedoor::standin
