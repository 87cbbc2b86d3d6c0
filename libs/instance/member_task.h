#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <sigc++/signal.h>

#include "duties/duty_claim.h"
#include "duties/member_lease.h"
#include "duties/member_table.h"
#include "instance/duty_intake.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"
#include "instance/shared_store.h"

namespace boragedoor::instance {

/// Prefix of the member entries in the store.
inline constexpr std::string_view member_prefix = "boragedoor/members/";

/// Keeps the member entry of this process in the store and follows the entries of the others. The
/// oldest member holds the duties that only one instance may perform.
class member_task {
public:
  /// `address` is where this process serves callers; `relay` is where it forwards calls to the
  /// store.
  member_task(instance_context& context, std::string address, std::string relay,
              duration lease_ttl);

  void start();
  /// Marks the member entry as draining and gives up the duties. The entry stays until `leave`.
  void drain();
  /// Removes the member entry.
  void leave();

  /// Whether the member entry was written and its lease is valid by the local clock.
  [[nodiscard]] bool is_member(time_point now) const;
  /// Relay addresses of the other members.
  [[nodiscard]] std::vector<net::address> relays() const;
  /// Relay addresses of the other members that are not draining, for requests to endpoints.
  [[nodiscard]] std::vector<dispatch::endpoint_relay> endpoint_relays() const;
  /// The role in which this process watches the store.
  [[nodiscard]] watch_role role() const;
  /// Whether this process knows enough members to choose the role in which it watches the store.
  /// Processes that start together enter within half a second; until then each of them would watch
  /// the store by itself, and every entry would cost the store one call for each of them.
  [[nodiscard]] bool knows_role(time_point now) const;
  /// Pause of this process between a watch response and the next watch call.
  [[nodiscard]] duration watch_pause() const;
  [[nodiscard]] const duties::member_table& members() const { return members_; }
  [[nodiscard]] time_point watching_since() const { return watching_since_; }
  /// This process as the holder of the duties if it holds them at `now`; nullopt otherwise.
  [[nodiscard]] std::optional<duty_holder> permit(time_point now) const;

  /// Reports whether this process is cut off from the endpoints. If it stays so while it holds the
  /// duties, it hands them to the next member, which may order the endpoints.
  void set_cut_off(bool cut_off);
  /// Reports that a receiver has seen a higher token. This process gives up the duties until it has
  /// claimed them again.
  void reject_token(std::uint64_t token);

  sigc::signal<void()> changed;

private:
  void request_lease();
  void register_member();
  void renew();
  void tick();
  void claim_duties();
  void continue_claim(const read_answer& found);
  void write_claim(const duties::claim_write& claim);
  void record_claim();
  /// Gives up the duties and records it, if this process holds them.
  void release_duties(std::string_view reason);
  /// Gives up the duties and becomes the youngest member.
  void yield_duties();
  [[nodiscard]] std::string key() const;

  instance_context& context_;
  std::string address_;
  std::string relay_;
  duties::member_lease lease_;
  duties::duty_claim claim_;
  duties::member_table members_;
  prefix_watch watch_;
  net::timer timer_;
  time_point watching_since_{};
  std::int64_t started_ms_ = 0;
  bool draining_ = false;
  /// Since when this process is cut off from the endpoints, if it is, and whether it has given up
  /// the duties since then. Once is enough: if all members are cut off, none can do better.
  std::optional<time_point> cut_off_since_;
  bool has_yielded_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
