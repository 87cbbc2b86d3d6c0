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
  /// Wait for the records of other instances before a request is quarantined. They take a few
  /// milliseconds for each of at most 5 hops; the rest is for noticing the crash.
  duration settle = seconds(2);
  /// Wait before a suspect runs again, counted from the newest record. By then every instance has
  /// the record (a few milliseconds for each of at most 5 hops) and has moved its own suspects away
  /// from the endpoints of others.
  duration separation = milliseconds(250);
  /// Records further ahead of this instance's clock are refused, because they would never expire.
  duration clock_allowance = std::chrono::minutes(5);
};

/// Which requests are suspected of crashing endpoints, merged between instances as a grow-only set
/// with expiry.
///
/// A crash counts against a request if no other request that ran there had crashed with an earlier
/// incarnation, that is, if it was the only suspect, or nobody was one yet. Two such crashes
/// quarantine it. Of requests that share every crash with the one that causes them, only the
/// earliest crash counts against the innocent. Two harmful requests at the same time can hold an
/// innocent one that ran with both, each at its first crash; the rule cannot tell them apart.
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
  /// Whether two crashes count against the request as far as is known. It runs nowhere for now.
  [[nodiscard]] bool held(std::string_view fingerprint) const;
  /// Whether it is held and all instances had time to report what else ran there.
  [[nodiscard]] bool quarantined(time_point now, std::string_view fingerprint) const;
  /// Whether all instances had time to move their suspects to endpoints of their own.
  [[nodiscard]] bool is_settled(time_point now) const;
  /// Suspects that are not held, in the order in which they became suspects.
  [[nodiscard]] std::vector<std::string> suspects() const;
  [[nodiscard]] std::vector<crash_record> records() const;
  [[nodiscard]] std::size_t size() const { return order_.size(); }

private:
  /// Endpoint and incarnation.
  using crash_id = std::pair<std::string, std::string>;
  /// What is known of one process that died.
  struct process_end {
    /// The requests that ran there, and when each was reported.
    std::map<std::string, wall_time, std::less<>> requests;
    /// When this instance first heard of it.
    time_point heard{};
  };

  explicit crash_suspects(suspect_options options) : options_(options) {}
  bool insert(time_point now, wall_time wall, const crash_record& it);
  void remove_oldest();
  /// When the first instance noticed the crash.
  [[nodiscard]] wall_time time_of(const crash_id& id) const;
  /// The crashes that count against a request.
  [[nodiscard]] std::vector<crash_id> counted(std::string_view fingerprint) const;
  [[nodiscard]] bool only_suspect(std::string_view fingerprint, const crash_id& id) const;
  [[nodiscard]] bool crashed_before(std::string_view fingerprint, const crash_id& id) const;

  suspect_options options_;
  /// When the newest record was heard.
  std::optional<time_point> last_heard_;
  std::map<crash_id, process_end> crashes_;
  /// The crashes of each fingerprint.
  std::map<std::string, std::set<crash_id>, std::less<>> by_fingerprint_;
  /// All records, oldest first.
  std::set<std::tuple<wall_time, crash_id, std::string>> order_;
};

/// Whether a request may run on an endpoint where `running` of this instance run: no two suspects
/// share an endpoint, and a request that is held or quarantined runs nowhere.
bool may_place(const crash_suspects& suspects, std::string_view fingerprint,
               std::span<const std::string> running);

/// The endpoint that a suspect is to run on, out of all that serve its model; nothing if it is held
/// or there is none. Instances do not know each other's running requests, but they have the same
/// suspects, so they come to the same choice: no two suspects get one endpoint unless there are
/// more suspects than endpoints. Older suspects keep theirs when others are added.
std::optional<std::string> suspect_endpoint(const crash_suspects& suspects,
                                            std::string_view fingerprint,
                                            std::span<const std::string> endpoints);

} // namespace boragedoor::requests
