#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::requests {

/// Records that a request was running on an endpoint when the endpoint's process crashed.
struct crash_record {
  /// Result of `request_fingerprint`.
  std::string fingerprint;
  std::string endpoint;
  /// Identifies the endpoint process that crashed.
  std::string incarnation;
  /// When the reporting instance detected the crash, by that instance's clock.
  wall_time at{};

  friend auto operator<=>(const crash_record&, const crash_record&) = default;
};

/// Returns the SHA-256 of workspace, model and body in hexadecimal.
std::string request_fingerprint(std::string_view workspace, std::string_view model,
                                std::string_view body);

json to_json(std::span<const crash_record> records);
/// Parses records received from a peer; fails with `protocol` if any is malformed.
result<std::vector<crash_record>> crash_records_from_json(const json& value);

struct suspect_options {
  /// Number of counted crashes after which a request is held. A single crash does not show which of
  /// the running requests caused it.
  std::size_t crashes_to_hold = 2;
  /// Whether a crash counts against all requests that were running. Then suspects need not be kept
  /// apart, but more crashes are needed to tell them from harmless requests, and the records of a
  /// request that completes must be removed.
  bool count_shared_crashes = false;
  /// How long a record is kept. Callers resend a request within minutes, if at all.
  duration retention = std::chrono::hours(1);
  /// Maximum number of records; the oldest are evicted first. At about 300 bytes each, 4096 take
  /// less than 1.5 MB.
  std::size_t capacity = 4096;
  /// How long to wait for records from other instances before quarantining a request. Records take
  /// a few milliseconds per hop over at most 5 hops; the rest allows for late crash detection.
  duration quarantine_delay = seconds(2);
  /// How long no suspect is started after a new record. In this time every instance receives the
  /// record (a few milliseconds per hop over at most 5 hops) and moves its own suspects away from
  /// endpoints that are assigned to other suspects.
  duration separation_delay = milliseconds(250);
  /// Records with a time further ahead of this instance's clock than this are rejected, because
  /// they would never expire.
  duration max_clock_skew = std::chrono::minutes(5);
};

/// Identifies requests that crash endpoints. Instances exchange crash records, and each keeps the
/// union of all records until they expire or are evicted.
///
/// A suspect is a request that was running at a crash. A crash counts against a request if none of
/// the other requests in the crashed process had been running at an earlier crash, that is, if the
/// request was the only suspect or there were no suspects yet. After two such crashes the request
/// is held, and after `quarantine_delay` it is quarantined. `suspect_options` can change both the
/// number and which crashes count.
///
/// For example, if a harmless request was running at several crashes that another request caused,
/// only the earliest of them counts against the harmless one.
///
/// Known limitation: a harmless request is held as well if it ran with two different harmful
/// requests, each at its first crash, because the rule cannot tell the three apart.
class crash_suspects {
public:
  /// Endpoint id and incarnation.
  using crash_id = std::pair<std::string, std::string>;

  static crash_suspects create(suspect_options options = {});

  /// Records that an endpoint process crashed while it ran these requests of this instance. Returns
  /// the records to send to peers.
  std::vector<crash_record> record_crash(time_point now, wall_time wall, std::string_view endpoint,
                                         std::string_view incarnation,
                                         std::span<const std::string> fingerprints);
  /// Adds records received from a peer. Returns the new ones, to be forwarded to other peers.
  std::vector<crash_record> merge(time_point now, wall_time wall,
                                  std::span<const crash_record> records);
  /// Removes a record, for example because the request has completed since.
  void remove(const crash_record& record);
  /// Removes records older than the retention period.
  void expire(time_point now, wall_time wall);

  /// Returns whether the request was running during any recorded crash.
  [[nodiscard]] bool is_suspect(std::string_view fingerprint) const;
  /// Returns whether enough crashes count against the request according to the records received so
  /// far. A held request must not run on any endpoint. `unconfirmed` are further crashes that count
  /// against it.
  [[nodiscard]] bool is_held(std::string_view fingerprint,
                             std::set<crash_id> unconfirmed = {}) const;
  /// Returns whether the request is held and all instances have had time to report which other
  /// requests were running at those crashes.
  [[nodiscard]] bool is_quarantined(time_point now, std::string_view fingerprint) const;
  /// Returns whether all instances have had time to move each suspect to its own endpoint.
  [[nodiscard]] bool separation_delay_passed(time_point now) const;
  /// Returns the suspects that are not held, in the order in which they became suspects.
  [[nodiscard]] std::vector<std::string> suspects() const;
  [[nodiscard]] std::vector<crash_record> records() const;
  [[nodiscard]] std::size_t size() const { return by_time_.size(); }

private:
  /// An endpoint process that crashed.
  struct crashed_process {
    /// Fingerprints of the requests that were running, with the crash time reported for each.
    std::map<std::string, wall_time, std::less<>> requests;
    /// When this instance received the first record of the crash.
    time_point received_at{};
  };

  explicit crash_suspects(suspect_options options) : options_(options) {}
  bool insert(time_point now, wall_time wall, const crash_record& record);
  void remove_oldest();
  /// Removes the record of a request at a crash, made at the time `at`.
  void erase(wall_time at, const crash_id& id, const std::string& fingerprint);
  /// Returns the earliest time at which an instance detected the crash.
  [[nodiscard]] wall_time crash_time(const crash_id& id) const;
  /// Returns the crashes that count against a request.
  [[nodiscard]] std::vector<crash_id> counted_crashes(std::string_view fingerprint) const;
  [[nodiscard]] bool is_only_suspect(std::string_view fingerprint, const crash_id& id) const;
  [[nodiscard]] bool has_earlier_crash(std::string_view fingerprint, const crash_id& id) const;

  suspect_options options_;
  /// When the newest record was received.
  std::optional<time_point> last_received_;
  std::map<crash_id, crashed_process> crashes_;
  /// Crashes during which each fingerprint was running.
  std::map<std::string, std::set<crash_id>, std::less<>> by_fingerprint_;
  /// All records, oldest first.
  std::set<std::tuple<wall_time, crash_id, std::string>> by_time_;
};

/// Returns whether a request may run on an endpoint on which this instance already runs the
/// requests `running`. Two suspects must not share an endpoint, and a held request must not run at
/// all.
bool may_place(const crash_suspects& suspects, std::string_view fingerprint,
               std::span<const std::string> running);

/// Returns the endpoint assigned to a suspect, out of all `endpoints` that serve its model, or
/// nothing if the request is held or `endpoints` is empty. Instances do not know each other's
/// running requests, but they have the same suspects, so all compute the same assignment. Two
/// suspects share an endpoint only if there are more suspects than endpoints. Older suspects keep
/// their endpoint when new ones are added.
std::optional<std::string> suspect_endpoint(const crash_suspects& suspects,
                                            std::string_view fingerprint,
                                            std::span<const std::string> endpoints);

} // namespace boragedoor::requests
