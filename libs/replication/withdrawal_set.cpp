#include "replication/withdrawal_set.h"

#include <algorithm>

#include "base/hash.h"

namespace boragedoor::replication {

namespace {

std::size_t bucket_of(std::string_view key_id) {
  return hash64(key_id) % withdrawal_buckets;
}

} // namespace

void withdrawal_set::toggle_in_digest(std::string_view key_id) {
  const std::uint64_t hash = hash64(key_id);
  digest_ ^= hash;
  buckets_.at(bucket_of(key_id)) ^= static_cast<std::uint32_t>(hash >> 32U);
}

bool withdrawal_set::is_prunable(const withdrawal& candidate) const {
  return is_listed_ && revision_ >= candidate.listed_revision && !is_listed_(candidate.key_id);
}

std::vector<withdrawal> withdrawal_set::merge(std::span<const withdrawal> entries) {
  std::vector<withdrawal> added;
  for (const withdrawal& it : entries) {
    if (entries_.contains(it.key_id) || is_prunable(it)) {
      continue;
    }
    entries_.emplace(it.key_id, entry{it.listed_revision, {}, false});
    toggle_in_digest(it.key_id);
    added.push_back(it);
  }
  return added;
}

bool withdrawal_set::contains(std::string_view key_id) const {
  return entries_.contains(key_id);
}

std::vector<withdrawal> withdrawal_set::delta(const withdrawal_buckets_digest& other) const {
  std::vector<withdrawal> list;
  for (const auto& [key_id, it] : entries_) {
    const std::size_t bucket = bucket_of(key_id);
    if (buckets_.at(bucket) != other.at(bucket)) {
      list.push_back({key_id, it.listed_revision});
    }
  }
  return list;
}

std::vector<withdrawal> withdrawal_set::all() const {
  std::vector<withdrawal> list;
  for (const auto& [key_id, it] : entries_) {
    list.push_back({key_id, it.listed_revision});
  }
  return list;
}

void withdrawal_set::add_holder(std::string_view key_id, std::string_view instance) {
  const auto it = entries_.find(key_id);
  if (it != entries_.end() && it->second.holders.size() < min_holders) {
    it->second.holders.emplace(instance);
  }
}

void withdrawal_set::on_stored(std::string_view key_id) {
  if (const auto it = entries_.find(key_id); it != entries_.end()) {
    it->second.stored = true;
  }
}

bool withdrawal_set::is_durable(std::string_view key_id, std::size_t other_instances) const {
  const auto it = entries_.find(key_id);
  if (it == entries_.end()) {
    return false;
  }
  const std::size_t needed = std::min(min_holders, other_instances);
  return it->second.stored || (needed > 0 && it->second.holders.size() >= needed);
}

std::size_t withdrawal_set::prune(std::uint64_t revision,
                                  const std::function<bool(std::string_view key_id)>& is_listed) {
  revision_ = revision;
  is_listed_ = is_listed;
  std::size_t n = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (is_prunable({it->first, it->second.listed_revision})) {
      toggle_in_digest(it->first);
      it = entries_.erase(it);
      ++n;
    } else {
      ++it;
    }
  }
  return n;
}

} // namespace boragedoor::replication
