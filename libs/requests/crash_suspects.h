#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::requests {

/// A request was running when an endpoint lost its process.
struct crash_record {
  /// Fingerprint of workspace, model and body.
  std::string fingerprint;
  std::string endpoint;
  /// The process of the endpoint that died.
  std::string incarnation;
  /// When the reporting instance noticed.
  wall_time at{};

  friend auto operator<=>(const crash_record&, const crash_record&) = default;
};

/// SHA-256 of workspace, model and body.
std::string request_fingerprint(std::string_view workspace, std::string_view model,
                                std::string_view body);

json to_json(std::span<const crash_record> records);
/// Reads records from a peer; fails with `protocol` if any is malformed.
result<std::vector<crash_record>> crash_records_from_json(const json& value);

struct suspect_options {
  /// A record counts for this long. A request is resent within minutes if at all.
  duration keep = std::chrono::hours(1);
  /// Most records kept; the oldest go first. At about 300 bytes each this is under 1.5 MB.
  std::size_t capacity = 4096;
  /// Records further ahead of this instance's clock are refused, because they would never expire.
  duration clock_allowance = std::chrono::minutes(5);
};

/// Which requests are suspected of crashing endpoints, merged between instances as a grow-only set
/// with expiry.
///
/// A crash counts against a request if no other request that ran there had crashed with an earlier
/// incarnation, that is, if it was the only suspect, or nobody was one yet. Two such crashes
/// quarantine it. Requests that only shared an endpoint with it do not run with another suspect
/// afterwards (`may_place`), so they stay at one.
class crash_suspects {
public:
  static crash_suspects create(suspect_options options = {});

  /// An endpoint's process died with these requests of this instance running. Returns the records
  /// to send to peers.
  std::vector<crash_record> record_crash(time_point now, wall_time wall, std::string_view endpoint,
                                         std::string_view incarnation,
                                         std::span<const std::string> fingerprints);
  /// Records from a peer. Returns those that were new, to be passed on.
  std::vector<crash_record> merge(time_point now, wall_time wall,
                                  std::span<const crash_record> records);
  /// Drops expired records.
  void expire(time_point now, wall_time wall);

  [[nodiscard]] bool suspect(std::string_view fingerprint) const;
  [[nodiscard]] bool quarantined(std::string_view fingerprint) const;
  [[nodiscard]] std::vector<crash_record> records() const;
  [[nodiscard]] std::size_t size() const { return order_.size(); }

private:
  /// What is known of one process that died.
  struct crash {
    wall_time at{};
    std::set<std::string, std::less<>> fingerprints;
  };
  using crash_id = std::pair<std::string, std::string>;

  explicit crash_suspects(suspect_options options) : options_(options) {}
  bool insert(wall_time wall, const crash_record& it);
  void remove_oldest();
  [[nodiscard]] bool only_suspect(std::string_view fingerprint, const crash_id& id) const;
  [[nodiscard]] bool crashed_before(std::string_view fingerprint, const crash_id& id) const;

  suspect_options options_;
  std::map<crash_id, crash> crashes_;
  /// The crashes of each fingerprint.
  std::map<std::string, std::set<crash_id>, std::less<>> by_fingerprint_;
  /// All records, oldest first.
  std::set<std::tuple<wall_time, crash_id, std::string>> order_;
};

/// Whether a request may run on an endpoint where `running` run: no two suspects share an endpoint,
/// and a quarantined request runs nowhere.
bool may_place(const crash_suspects& suspects, std::string_view fingerprint,
               std::span<const std::string> running);

} // namespace boragedoor::requests
