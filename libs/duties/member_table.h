#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::duties {

/// One process that serves callers, as it describes itself in the store. Its entry is bound to a
/// lease and is removed when the process stops renewing the lease.
struct member {
  /// Instance name and process start, separated by '/': a restarted process is a different member.
  std::string id;
  std::string instance;
  std::string data_centre;
  std::string region;
  /// "host:port" of the listener for callers.
  std::string address;
  /// "host:port" of the listener that relays calls to the store.
  std::string relay;
  /// Processor time available to the instance, in cores.
  double processor = 1;
  /// The member finishes its current work and accepts no new work.
  bool draining = false;
  /// Start of the process by the wall clock, in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
  /// Store revision at which the entry was created; lower is older.
  std::uint64_t created = 0;
  /// Store revision of the last change of the entry.
  std::uint64_t revision = 0;

  friend bool operator==(const member&, const member&) = default;
};

/// Returns the instance name in a member id.
std::string_view instance_of(std::string_view member_id);

std::string to_document(const member& it);
/// Fails with `protocol` if the document is malformed. Leaves the revisions at 0, because they come
/// from the store and not from the document.
result<member> member_from_document(std::string_view document);

/// The members that have an entry in the store, and when others lost theirs.
class member_table {
public:
  /// Time that a member must be missing from the store before its work is taken over. A member that
  /// is missing for less may only have lost its lease during a store outage.
  static constexpr duration takeover_delay = milliseconds(1500);
  /// Minimum number of members of a data centre for one of them to watch the store for all. With
  /// fewer, sharing saves few calls, so each member watches for itself and depends on no other.
  static constexpr std::size_t min_shared_watch_members = 5;

  void put(std::string key, member it);
  void remove(std::string_view key, time_point now);

  [[nodiscard]] std::vector<member> all() const;
  [[nodiscard]] const member* find(std::string_view id) const;
  [[nodiscard]] bool is_live(std::string_view id) const { return find(id) != nullptr; }
  /// Whether a member has been missing long enough for its work to be taken over. A member that was
  /// never seen counts as missing since `watching_since`.
  [[nodiscard]] bool is_gone(std::string_view id, time_point watching_since, time_point now) const;
  /// The oldest member that is not draining, which performs the duties; nullptr if there is none.
  /// Choosing by age keeps the choice stable.
  [[nodiscard]] const member* oldest() const;
  /// The member that watches the store for all members of a data centre; nullptr if fewer than
  /// `min_shared_watch_members` of them are not draining. It is the oldest one there, so that it
  /// rarely changes.
  [[nodiscard]] const member* watcher_of(std::string_view data_centre) const;
  /// The member that watches the store for those of the other data centres that watch for theirs:
  /// the oldest of them. Nullptr if there is none.
  [[nodiscard]] const member* first_watcher() const;
  /// The member that is to run a piece of work, for example a job, chosen by rendezvous hashing of
  /// its id; nullptr if there is none. Every instance with the same members chooses the same one.
  /// It is never a draining member, and is one of those with the most processor time, because a
  /// step of 128 texts needs more than a small instance has.
  [[nodiscard]] const member* assigned_member(std::string_view work_id) const;
  /// The members that work is assigned to: those with the most processor time, without the ones
  /// that drain.
  [[nodiscard]] std::vector<const member*> candidates() const;
  /// The members that `assigned_member` chooses from, in the order of preference: each is chosen
  /// when those before it are gone.
  [[nodiscard]] std::vector<const member*> candidates_for(std::string_view work_id) const;
  /// Whether a member started at least `min_age` before a process that started at `started_ms`, so
  /// that the process has joined a running deployment and knows its members from the first list.
  [[nodiscard]] bool has_older_member(std::int64_t started_ms, duration min_age) const;

private:
  [[nodiscard]] std::vector<const member*> active() const;

  std::map<std::string, member, std::less<>> by_key_;
  /// By member id: when the entries of missing members were removed.
  std::map<std::string, time_point, std::less<>> removed_at_;
};

/// Addresses to return to a caller: those of the members of its data centre if there are enough of
/// them, otherwise all. The caller caches the answer and picks an address at random, so a single
/// member is not enough.
std::vector<std::string> addresses_for(const std::vector<member>& members,
                                       std::string_view data_centre, std::size_t max_addresses);

} // namespace boragedoor::duties
