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
/// lease, so it vanishes when the process stops renewing.
struct member {
  /// Instance name and start of the process: a restarted process is another member.
  std::string id;
  std::string instance;
  std::string data_centre;
  std::string region;
  /// "host:port" of the listener for callers.
  std::string address;
  /// "host:port" of the listener that relays calls to the store.
  std::string relay;
  /// Processor time that the instance has, in cores.
  double processor = 1;
  /// It finishes what it has and takes nothing new.
  bool draining = false;
  /// Revision at which the entry was created; lower is older.
  std::uint64_t created = 0;

  friend bool operator==(const member&, const member&) = default;
};

/// The instance of a member id.
std::string_view instance_of(std::string_view member_id);

std::string to_document(const member& it);
/// Fails with `protocol`. `created` comes from the store, not from the document.
result<member> member_from_document(std::string_view document);

/// The members that the store lists.
class member_table {
public:
  /// A member that is missing from the store for less than this may only have lost its lease while
  /// the store was away: nobody takes its work over before.
  static constexpr duration takeover_wait = milliseconds(1500);
  /// Members of a data centre from which on one of them watches for the others. Below, the calls
  /// saved are few, and each watches for itself and depends on no other.
  static constexpr std::size_t least_shared = 5;

  void put(std::string key, member it);
  void remove(std::string_view key, time_point now);

  [[nodiscard]] std::vector<member> all() const;
  [[nodiscard]] const member* find(std::string_view id) const;
  [[nodiscard]] bool is_live(std::string_view id) const { return find(id) != nullptr; }
  /// Whether a member has been missing for long enough to take its work over. One that was never
  /// seen counts as missing since `watching_since`.
  [[nodiscard]] bool is_gone(std::string_view id, time_point watching_since, time_point now) const;
  /// The member that entered first, draining ones aside: it holds the duties. Age makes the choice
  /// stable.
  [[nodiscard]] const member* oldest() const;
  /// The member that follows the store for all of a data centre; nullptr where there are too few
  /// for that to save calls. It is the oldest one there, so that it changes rarely.
  [[nodiscard]] const member* watcher_of(std::string_view data_centre) const;
  /// The member that takes something over, or takes it on, by its name: a job, for example. It is
  /// the same on every instance, never a draining one, and one of those with the most processor
  /// time, because a step of 128 texts takes more than a small instance has.
  [[nodiscard]] const member* heir(std::string_view name) const;

private:
  [[nodiscard]] std::vector<const member*> active() const;

  std::map<std::string, member, std::less<>> by_key_;
  /// When members that are gone were last listed.
  std::map<std::string, time_point, std::less<>> gone_;
};

/// Addresses that a caller is given: members of its data centre if there are enough of them, else
/// all. The caller picks one at random and keeps the answer, so one member alone is not enough.
std::vector<std::string> addresses_for(const std::vector<member>& members,
                                       std::string_view data_centre, std::size_t most);

} // namespace boragedoor::duties
