#include "requests/crash_suspects.h"

#include <algorithm>
#include <iterator>

#include "base/hash.h"
#include "base/json_fields.h"

namespace boragedoor::requests {

namespace {

constexpr std::size_t max_name_bytes = 128;

bool is_valid_name(const std::string& name) {
  return !name.empty() && name.size() <= max_name_bytes;
}

bool read_record(const json& value, crash_record& record) {
  constexpr std::int64_t max_ms = std::int64_t{1} << 50;
  const auto at = integer_field(value, "at_ms");
  if (!at || *at < 0 || *at > max_ms) {
    return false;
  }
  record.at = wall_time(milliseconds(*at));
  return read_field(value, "fingerprint", record.fingerprint) &&
         read_field(value, "endpoint", record.endpoint) &&
         read_field(value, "incarnation", record.incarnation) &&
         is_valid_name(record.fingerprint) && is_valid_name(record.endpoint) &&
         is_valid_name(record.incarnation);
}

} // namespace

std::string request_fingerprint(std::string_view workspace, std::string_view model,
                                std::string_view body) {
  // The length prefixes give different splits of the same bytes different fingerprints.
  return sha256_hex(std::to_string(workspace.size()) + ":" + std::to_string(model.size()) + ":" +
                    std::string(workspace) + std::string(model) + std::string(body));
}

json to_json(std::span<const crash_record> records) {
  json list = json::array();
  for (const crash_record& it : records) {
    list.push_back({{"fingerprint", it.fingerprint},
                    {"endpoint", it.endpoint},
                    {"incarnation", it.incarnation},
                    {"at_ms", to_milliseconds(it.at)}});
  }
  return list;
}

result<std::vector<crash_record>> crash_records_from_json(const json& value) {
  std::vector<crash_record> records;
  const bool ok = value.is_array() && std::ranges::all_of(value, [&records](const json& it) {
                    return read_record(it, records.emplace_back());
                  });
  if (!ok) {
    return error{error_code::protocol, "malformed crash record"};
  }
  return records;
}

crash_suspects crash_suspects::create(suspect_options options) {
  return crash_suspects(options);
}

bool crash_suspects::insert(time_point now, wall_time wall, const crash_record& record) {
  if (record.at + options_.retention <= wall || record.at > wall + options_.max_clock_skew) {
    return false;
  }
  const crash_id id{record.endpoint, record.incarnation};
  crashed_process& process = crashes_[id];
  if (process.requests.empty()) {
    process.received_at = now;
  }
  const auto [existing, inserted] = process.requests.emplace(record.fingerprint, record.at);
  if (!inserted) {
    // Two instances reported the same crash for the same fingerprint. Keeping the earlier time
    // makes all instances converge to the same set.
    if (record.at >= existing->second) {
      return false;
    }
    by_time_.erase({existing->second, id, record.fingerprint});
    existing->second = record.at;
  }
  last_received_ = now;
  by_fingerprint_[record.fingerprint].insert(id);
  by_time_.insert({record.at, id, record.fingerprint});
  while (by_time_.size() > options_.capacity) {
    remove_oldest();
  }
  return true;
}

void crash_suspects::remove_oldest() {
  const auto [at, id, fingerprint] = *by_time_.begin();
  erase(at, id, fingerprint);
}

void crash_suspects::remove(const crash_record& record) {
  const crash_id id{record.endpoint, record.incarnation};
  const auto process = crashes_.find(id);
  if (process == crashes_.end()) {
    return;
  }
  const auto found = process->second.requests.find(record.fingerprint);
  if (found != process->second.requests.end()) {
    // The record may be known with an earlier time, from another instance.
    erase(wall_time(found->second), id, std::string(record.fingerprint));
  }
}

void crash_suspects::erase(wall_time at, const crash_id& id, const std::string& fingerprint) {
  by_time_.erase({at, id, fingerprint});
  const auto process = crashes_.find(id);
  process->second.requests.erase(fingerprint);
  if (process->second.requests.empty()) {
    crashes_.erase(process);
  }
  const auto ids = by_fingerprint_.find(fingerprint);
  ids->second.erase(id);
  if (ids->second.empty()) {
    by_fingerprint_.erase(ids);
  }
}

std::vector<crash_record> crash_suspects::record_crash(time_point now, wall_time wall,
                                                       std::string_view endpoint,
                                                       std::string_view incarnation,
                                                       std::span<const std::string> fingerprints) {
  // Messages carry milliseconds, and the local record must equal the copies that peers receive.
  const wall_time at(std::chrono::floor<milliseconds>(wall));
  std::vector<crash_record> records;
  for (const std::string& it : fingerprints) {
    records.push_back({it, std::string(endpoint), std::string(incarnation), at});
  }
  return merge(now, wall, records);
}

std::vector<crash_record> crash_suspects::merge(time_point now, wall_time wall,
                                                std::span<const crash_record> records) {
  expire(now, wall);
  std::vector<crash_record> added;
  std::ranges::copy_if(records, std::back_inserter(added),
                       [&](const crash_record& it) { return insert(now, wall, it); });
  return added;
}

void crash_suspects::expire(time_point /*now*/, wall_time wall) {
  while (!by_time_.empty() && std::get<wall_time>(*by_time_.begin()) + options_.retention <= wall) {
    remove_oldest();
  }
}

bool crash_suspects::is_suspect(std::string_view fingerprint) const {
  return by_fingerprint_.contains(fingerprint);
}

wall_time crash_suspects::crash_time(const crash_id& id) const {
  const auto& requests = crashes_.at(id).requests;
  return std::ranges::min_element(requests, {}, [](const auto& it) { return it.second; })->second;
}

bool crash_suspects::has_earlier_crash(std::string_view fingerprint, const crash_id& id) const {
  const auto& ids = by_fingerprint_.find(fingerprint)->second;
  return std::ranges::any_of(
      ids, [&](const crash_id& it) { return it != id && crash_time(it) <= crash_time(id); });
}

bool crash_suspects::is_only_suspect(std::string_view fingerprint, const crash_id& id) const {
  return std::ranges::none_of(crashes_.at(id).requests, [&](const auto& it) {
    return it.first != fingerprint && has_earlier_crash(it.first, id);
  });
}

std::vector<crash_suspects::crash_id>
crash_suspects::counted_crashes(std::string_view fingerprint) const {
  std::vector<crash_id> list;
  const auto it = by_fingerprint_.find(fingerprint);
  if (it != by_fingerprint_.end()) {
    std::ranges::copy_if(it->second, std::back_inserter(list), [&](const crash_id& id) {
      return options_.count_shared_crashes || is_only_suspect(fingerprint, id);
    });
  }
  return list;
}

bool crash_suspects::is_held(std::string_view fingerprint, std::set<crash_id> unconfirmed) const {
  std::ranges::move(counted_crashes(fingerprint), std::inserter(unconfirmed, unconfirmed.end()));
  return unconfirmed.size() >= options_.crashes_to_hold;
}

bool crash_suspects::is_quarantined(time_point now, std::string_view fingerprint) const {
  const std::vector<crash_id> list = counted_crashes(fingerprint);
  return static_cast<std::size_t>(std::ranges::count_if(list, [&](const crash_id& id) {
           return crashes_.at(id).received_at + options_.quarantine_delay <= now;
         })) >= options_.crashes_to_hold;
}

bool crash_suspects::separation_delay_passed(time_point now) const {
  return !last_received_ || now - *last_received_ >= options_.separation_delay;
}

std::vector<std::string> crash_suspects::suspects() const {
  std::vector<std::string> list;
  std::set<std::string_view> seen;
  for (const auto& [at, id, fingerprint] : by_time_) {
    if (seen.insert(fingerprint).second && !is_held(fingerprint)) {
      list.push_back(fingerprint);
    }
  }
  return list;
}

std::vector<crash_record> crash_suspects::records() const {
  std::vector<crash_record> list;
  for (const auto& [at, id, fingerprint] : by_time_) {
    list.push_back({fingerprint, id.first, id.second, at});
  }
  return list;
}

bool may_place(const crash_suspects& suspects, std::string_view fingerprint,
               std::span<const std::string> running) {
  if (suspects.is_held(fingerprint)) {
    return false;
  }
  return !suspects.is_suspect(fingerprint) ||
         std::ranges::none_of(running, [&](const std::string& it) {
           return it != fingerprint && suspects.is_suspect(it);
         });
}

std::optional<std::string> suspect_endpoint(const crash_suspects& suspects,
                                            std::string_view fingerprint,
                                            std::span<const std::string> endpoints) {
  std::vector<std::string> free;
  for (const std::string& it : suspects.suspects()) {
    if (free.empty()) {
      free.assign(endpoints.begin(), endpoints.end());
    }
    const auto best = std::ranges::max_element(free, {}, [&it](const std::string& endpoint) {
      return std::pair(hash64(endpoint, hash64(it)), endpoint);
    });
    if (best == free.end()) {
      return std::nullopt;
    }
    if (it == fingerprint) {
      return *best;
    }
    free.erase(best);
  }
  return std::nullopt;
}

} // namespace boragedoor::requests
