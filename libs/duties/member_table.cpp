#include "duties/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/json.h"
#include "base/json_fields.h"
#include "base/member.h"

namespace boragedoor::duties {

namespace {

/// Members of a caller's data centre that suffice for it: the loss of one leaves another, so the
/// caller need not ask again before it can go on.
constexpr std::size_t enough_members = 2;

/// Members with at least this share of the most processor time count as strong.
constexpr double strong_share = 0.7;

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
                  {"draining", it.draining}});
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
    return error{error_code::protocol, "the stored member cannot be read"};
  }
  it.processor = number_field(from, "processor").value_or(it.processor);
  return it;
}

void member_table::put(std::string key, member it) {
  gone_.erase(it.id);
  by_key_[std::move(key)] = std::move(it);
}

void member_table::remove(std::string_view key, time_point now) {
  const auto it = by_key_.find(key);
  if (it != by_key_.end()) {
    gone_[it->second.id] = now;
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
  const auto it = gone_.find(id);
  const time_point since = it == gone_.end() ? watching_since : it->second;
  return now - since >= takeover_wait;
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
  return list.size() < least_shared ? nullptr : oldest_of(list);
}

const member* member_table::heir(std::string_view name) const {
  auto list = active();
  double most = 0;
  for (const member* it : list) {
    most = std::max(most, it->processor);
  }
  std::erase_if(list, [most](const member* it) { return it->processor < strong_share * most; });
  const auto it =
      std::max_element(list.begin(), list.end(), [name](const member* left, const member* right) {
        return rendezvous_weight(name, left->id) < rendezvous_weight(name, right->id);
      });
  return it == list.end() ? nullptr : *it;
}

std::vector<std::string> addresses_for(const std::vector<member>& members,
                                       std::string_view data_centre, std::size_t most) {
  // Sets, because the entry of a process that ended stays beside that of its successor until its
  // lease ends.
  std::set<std::string> near;
  std::set<std::string> all;
  for (const member& it : members) {
    if (it.draining) {
      continue;
    }
    all.insert(it.address);
    if (it.data_centre == data_centre) {
      near.insert(it.address);
    }
  }
  const std::set<std::string>& chosen = near.size() >= enough_members ? near : all;
  std::vector<std::string> list(chosen.begin(), chosen.end());
  list.resize(std::min(list.size(), most));
  return list;
}

} // namespace boragedoor::duties
