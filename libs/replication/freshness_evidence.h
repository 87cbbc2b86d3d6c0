#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/member.h"
#include "base/time.h"

namespace boragedoor::replication {

/// Ages of evidence as encoded in a heartbeat: in units of 100 ms, rounded up. 255 means unknown or
/// older.
struct evidence_ages {
  static constexpr std::uint8_t unknown = 255;

  std::uint8_t store = unknown;
  /// Hash of the sorted data-centre names, which give the order of `data_centres`.
  std::uint32_t names_hash = 0;
  std::vector<std::uint8_t> data_centres;

  friend bool operator==(const evidence_ages&, const evidence_ages&) = default;
};

struct freshness_options {
  std::string self;
  std::string data_centre;
  /// Evidence of this age or older is not used.
  duration max_age = seconds(10);
  /// Added to each received age for the transit time of the heartbeat.
  duration transit_allowance = milliseconds(200);
  /// A heartbeat is accepted only if it echoes one that this process sent within this time.
  /// Otherwise heartbeats that were buffered while this process was paused would be accepted as
  /// recent.
  duration max_echo_age = seconds(3);
};

/// Decides whether an instance may assume that it knows all withdrawals (isolation rule): either
/// the store's head was read recently, or every data centre with other instances was heard
/// recently.
class freshness_evidence {
public:
  explicit freshness_evidence(freshness_options options) : options_(std::move(options)) {}

  /// Applies the platform's instance list.
  void on_instance_list(std::span<const member> members);
  /// Reports a read of the store's head that was sent at `sent`.
  void on_store_read(time_point sent);
  /// Reports that this instance sends the heartbeat with this sequence number to its peers.
  void on_heartbeat_sent(std::uint64_t sequence, time_point now);
  /// `echo` is the sequence of this process's last heartbeat that the peer has received, or 0 for
  /// none. Returns whether the heartbeat was accepted as evidence.
  bool on_heartbeat(std::string_view peer_data_centre, std::uint64_t echo,
                    const evidence_ages& ages, time_point now);

  [[nodiscard]] evidence_ages ages(time_point now) const;
  [[nodiscard]] bool is_fresh(time_point now) const;
  /// Returns the time since the last known read of the store's head by any instance.
  [[nodiscard]] std::optional<duration> store_age(time_point now) const;

private:
  [[nodiscard]] bool is_recent(std::optional<time_point> at, time_point now) const;
  void update_time(std::optional<time_point>& at, std::uint8_t age, time_point now) const;

  struct data_centre_state {
    std::string name;
    std::optional<time_point> last_heard;
    /// True if another instance that is not leaving is listed in this data centre.
    bool has_others = false;
  };

  freshness_options options_;
  std::vector<data_centre_state> data_centres_;
  std::uint32_t names_hash_ = 0;
  bool has_list_ = false;
  std::optional<time_point> last_store_read_;
  std::deque<std::pair<std::uint64_t, time_point>> sent_heartbeats_;
};

} // namespace boragedoor::replication
