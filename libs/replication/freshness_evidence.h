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

/// Ages as a heartbeat carries them, in units of 100 ms, rounded up; 255 means unknown or older.
struct carried_ages {
  static constexpr std::uint8_t unknown = 255;

  std::uint8_t store = unknown;
  /// Hash of the sorted data-centre names that `data_centres` follows.
  std::uint32_t names_hash = 0;
  std::vector<std::uint8_t> data_centres;

  friend bool operator==(const carried_ages&, const carried_ages&) = default;
};

struct freshness_options {
  std::string self;
  std::string data_centre;
  /// Age from which evidence no longer counts.
  duration limit = seconds(10);
  /// Added to each carried age for the time that the heartbeat took.
  duration transit_allowance = milliseconds(200);
  /// A heartbeat counts only if it echoes one of ours sent within this time. Otherwise heartbeats
  /// that waited in a buffer while this process was paused would pass for fresh ones.
  duration echo_limit = seconds(3);
};

/// Decides whether an instance may believe that it knows all withdrawals (isolation rule).
class freshness_evidence {
public:
  explicit freshness_evidence(freshness_options options) : options_(std::move(options)) {}

  /// Takes over the platform's list.
  void on_list(std::span<const member> members);
  /// The store's head was read; `sent` is when the read was sent.
  void on_store_read(time_point sent);
  /// This instance sends the heartbeat with this sequence number to its peers.
  void on_heartbeat_sent(std::uint64_t sequence, time_point now);
  /// `echo` is the sequence of the last heartbeat of ours that the peer had received, 0 for none.
  /// Returns whether the heartbeat counted.
  bool on_heartbeat(std::string_view peer_data_centre, std::uint64_t echo, const carried_ages& ages,
                    time_point now);

  [[nodiscard]] carried_ages ages(time_point now) const;
  [[nodiscard]] bool is_fresh(time_point now) const;
  /// Time since the store's head was last read by anybody, as far as known.
  [[nodiscard]] std::optional<duration> store_age(time_point now) const;

private:
  [[nodiscard]] bool is_recent(std::optional<time_point> at, time_point now) const;
  void advance(std::optional<time_point>& at, std::uint8_t age, time_point now) const;

  struct data_centre_state {
    std::string name;
    std::optional<time_point> heard;
    /// True if the list has an instance other than this one there.
    bool has_others = false;
  };

  freshness_options options_;
  std::vector<data_centre_state> data_centres_;
  std::uint32_t names_hash_ = 0;
  bool has_list_ = false;
  std::optional<time_point> store_read_;
  std::deque<std::pair<std::uint64_t, time_point>> sent_;
};

} // namespace boragedoor::replication
