#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <sigc++/signal.h>

#include "duties/member_table.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"
#include "instance/shared_store.h"

namespace boragedoor::instance {

/// Prefix of the members' keys in the store.
inline constexpr std::string_view member_prefix = "boragedoor/members/";

/// Permission to act for all instances. Compare `valid_until` with the clock right before a call.
struct duty_permit {
  /// Grows with each new holder.
  std::uint64_t fencing_token = 0;
  time_point valid_until{};
};

/// Keeps this process on the list of members and follows the others. The oldest member holds the
/// duties that only one instance may do.
class member_task {
public:
  /// `address` is where callers reach this process, `relay` where it relays calls to the store.
  member_task(instance_context& context, std::string address, std::string relay,
              duration lease_ttl);

  void start();
  /// Tells callers and other members to turn elsewhere; the entry stays until `leave`.
  void drain();
  /// Leaves the list.
  void leave();

  /// Whether this process is on the list, as far as it knows.
  [[nodiscard]] bool is_member(time_point now) const;
  /// Relays of the other members.
  [[nodiscard]] std::vector<net::address> relays() const;
  /// How this process is to follow the store.
  [[nodiscard]] watch_role role() const;
  /// Pause of this process between the answer to a watch and the next one.
  [[nodiscard]] duration watch_pause() const;
  [[nodiscard]] const duties::member_table& members() const { return members_; }
  [[nodiscard]] time_point watching_since() const { return watching_since_; }
  /// The permit if this process holds the duties now.
  [[nodiscard]] std::optional<duty_permit> permit(time_point now) const;

  /// A receiver has seen a higher token: this process claims the duties anew before it acts again.
  void reject_token(std::uint64_t token);

  sigc::signal<void()> changed;

private:
  void grant();
  void enter();
  void renew();
  void tick();
  void claim_duties();
  void take_claim(const read_answer& found);
  [[nodiscard]] std::string key() const;

  instance_context& context_;
  std::string address_;
  std::string relay_;
  duration lease_ttl_;
  duties::member_table members_;
  prefix_watch watch_;
  net::timer timer_;
  time_point watching_since_{};
  std::uint64_t lease_ = 0;
  /// Until when the lease certainly lasts: counted from when its last renewal was sent.
  time_point valid_until_{};
  time_point next_renewal_{};
  bool entered_ = false;
  bool call_open_ = false;
  bool draining_ = false;
  bool leaving_ = false;
  /// Token of this process as holder of the duties; 0 while another one holds them.
  std::uint64_t token_ = 0;
  /// Highest token that was rejected.
  std::uint64_t rejected_token_ = 0;
  bool claim_open_ = false;
  time_point next_claim_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
