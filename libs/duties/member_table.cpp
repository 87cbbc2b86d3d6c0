#include "duties/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/json.h"
#include "base/json_fields.h"
#include "base/member.h"

namespace boragedoor::duties {

namespace {

/// Minimum number of members in a caller's data centre to return only their addresses. If one of
/// them fails, the caller can use the other without another lookup.
constexpr std::size_t min_local_members = 2;

/// Work is assigned only to members with at least this share of the highest processor time.
constexpr double min_processor_share = 0.7;

const member* oldest_of(const std::vector<const member*>& list) {
  const auto it =
      std::min_element(list.begin(), list.end(), [](const member* left, const member* right) {
        return left->created < right->created;
      });
  return it == list.end() ? nullptr : *it;
}

} // namespace

std::string_view instance_of(std::string_view member_id) {
  return member_id.substr(0, member_id.rfind('/'));
}

std::string to_document(const member& it) {
  return to_cbor({{"id", it.id},
                  {"instance", it.instance},
                  {"data_centre", it.data_centre},
                  {"region", it.region},
                  {"address", it.address},
                  {"relay", it.relay},
                  {"processor", it.processor},
                  {"draining", it.draining},
                  {"started_ms", it.started_ms}});
}

result<member> member_from_document(std::string_view document) {
  const auto parsed = parse_cbor(document);
  if (!parsed) {
    return parsed.error();
  }
  const json& from = parsed.value();
  member it;
  if (!read_field(from, "id", it.id) || !read_field(from, "instance", it.instance) ||
      !read_field(from, "data_centre", it.data_centre) || !read_field(from, "region", it.region) ||
      !read_field(from, "address", it.address) || !read_field(from, "relay", it.relay) ||
      !read_field(from, "draining", it.draining)) {
    return error{error_code::protocol, "stored member document is malformed"};
  }
  it.processor = number_field(from, "processor").value_or(it.processor);
  it.started_ms = integer_field(from, "started_ms").value_or(it.started_ms);
  return it;
}

void member_table::put(std::string key, member it) {
  removed_at_.erase(it.id);
  by_key_[std::move(key)] = std::move(it);
}

void member_table::remove(std::string_view key, time_point now) {
  const auto it = by_key_.find(key);
  if (it != by_key_.end()) {
    removed_at_[it->second.id] = now;
    by_key_.erase(it);
  }
}

std::vector<member> member_table::all() const {
  std::vector<member> list;
  list.reserve(by_key_.size());
  for (const auto& [key, it] : by_key_) {
    list.push_back(it);
  }
  return list;
}

const member* member_table::find(std::string_view id) const {
  const auto it = std::find_if(by_key_.begin(), by_key_.end(),
                               [id](const auto& entry) { return entry.second.id == id; });
  return it == by_key_.end() ? nullptr : &it->second;
}

bool member_table::is_gone(std::string_view id, time_point watching_since, time_point now) const {
  if (is_live(id)) {
    return false;
  }
  const auto it = removed_at_.find(id);
  const time_point since = it == removed_at_.end() ? watching_since : it->second;
  return now - since >= takeover_delay;
}

std::vector<const member*> member_table::active() const {
  std::vector<const member*> list;
  for (const auto& [key, it] : by_key_) {
    if (!it.draining) {
      list.push_back(&it);
    }
  }
  return list;
}

const member* member_table::oldest() const {
  return oldest_of(active());
}

const member* member_table::watcher_of(std::string_view data_centre) const {
  auto list = active();
  std::erase_if(list, [&](const member* it) { return it->data_centre != data_centre; });
  return list.size() < min_shared_watch_members ? nullptr : oldest_of(list);
}

const member* member_table::first_watcher() const {
  std::set<std::string_view> data_centres;
  for (const auto& [key, it] : by_key_) {
    data_centres.insert(it.data_centre);
  }
  std::vector<const member*> watchers;
  for (const std::string_view it : data_centres) {
    if (const member* watcher = watcher_of(it); watcher != nullptr) {
      watchers.push_back(watcher);
    }
  }
  return oldest_of(watchers);
}

std::vector<const member*> member_table::candidates() const {
  auto list = active();
  double max_processor = 0;
  for (const member* it : list) {
    max_processor = std::max(max_processor, it->processor);
  }
  std::erase_if(list, [max_processor](const member* it) {
    return it->processor < min_processor_share * max_processor;
  });
  return list;
}

std::vector<const member*> member_table::candidates_for(std::string_view work_id) const {
  auto list = candidates();
  std::sort(list.begin(), list.end(), [work_id](const member* left, const member* right) {
    return rendezvous_weight(work_id, left->id) > rendezvous_weight(work_id, right->id);
  });
  return list;
}

const member* member_table::assigned_member(std::string_view work_id) const {
  const auto list = candidates_for(work_id);
  return list.empty() ? nullptr : list.front();
}

bool member_table::has_older_member(std::int64_t started_ms, duration min_age) const {
  const auto age_ms = to_milliseconds(min_age);
  return std::any_of(by_key_.begin(), by_key_.end(), [&](const auto& it) {
    return it.second.started_ms != 0 && it.second.started_ms + age_ms <= started_ms;
  });
}

std::vector<std::string> addresses_for(const std::vector<member>& members,
                                       std::string_view data_centre, std::size_t max_addresses) {
  // Sets remove duplicates: after a restart, the entry of the old process remains beside the new
  // one until its lease expires.
  std::set<std::string> local;
  std::set<std::string> all;
  for (const member& it : members) {
    if (it.draining) {
      continue;
    }
    all.insert(it.address);
    if (it.data_centre == data_centre) {
      local.insert(it.address);
    }
  }
  const std::set<std::string>& chosen = local.size() >= min_local_members ? local : all;
  std::vector<std::string> list(chosen.begin(), chosen.end());
  list.resize(std::min(list.size(), max_addresses));
  return list;
}

} // namespace boragedoor::duties
