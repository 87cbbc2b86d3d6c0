#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "control/lease_holder.h"
#include "control/takeover.h"
#include "daemon/announcement_task.h"
#include "daemon/configuration_task.h"
#include "daemon/daemon_context.h"
#include "daemon/membership_task.h"
#include "daemon/peer_task.h"
#include "store/store_client.h"

namespace boragedoor::daemon {

/// A shard that this instance holds.
struct held_shard {
  std::string name;
  control::fencing_token token = 0;
};

/// A new holder asks whether this process has stopped acting on a shard.
struct step_down_request {
  std::string shard;
  /// Token of the new holder.
  control::fencing_token token = 0;
  /// Takes the answer. A task that does the shard's work answers false while something that it
  /// sent is still open.
  std::function<void(bool stopped)> answer;
};

/// Owns the leases of this instance and clears former holders out of the way. Tasks that do a
/// shard's work learn of it by the signals and ask for a permit before each send.
class shard_task {
public:
  static result<std::unique_ptr<shard_task>> create(const daemon_context& context,
                                                    store::store_client& store, peer_task& peers,
                                                    announcement_task& announcements);

  void start();
  void on_list(std::span<const listed_instance> list, duration lag);
  void on_configuration(const configuration_ptr& configuration);

  /// Starts to give up every shard; `is_drained` tells when that is done.
  void drain();
  [[nodiscard]] bool is_drained() const { return holder_.is_drained(); }

  [[nodiscard]] bool may_act(const std::string& shard) const;
  [[nodiscard]] std::optional<control::lease_permit> permit(const std::string& shard) const;
  /// True when orders may go to receivers that ignore fencing tokens.
  [[nodiscard]] bool takeover_cleared(const std::string& shard) const;
  /// The task of a stopping shard has nothing open any more.
  void settled(const std::string& shard);
  [[nodiscard]] std::vector<held_shard> held() const;

  sigc::signal<void(const held_shard&)>& acquired() { return acquired_; }
  /// The shard is to be given up: settle what is open, then call `settled`.
  sigc::signal<void(const held_shard&)>& stopping() { return stopping_; }
  /// The shard is no longer held; stop at once.
  sigc::signal<void(const held_shard&)>& lost() { return lost_; }
  /// Emitted for each request to step down. Without an answer from any task the lease decides.
  sigc::signal<void(const step_down_request&)>& step_down_asked() { return step_down_asked_; }

private:
  struct takeover_entry {
    std::unique_ptr<control::takeover> state;
    bool settled = false;
  };
  using lease_actions = std::vector<control::lease_action>;
  using takeover_actions = std::vector<control::takeover_action>;

  shard_task(const daemon_context& context, store::store_client& store, peer_task& peers,
             announcement_task& announcements, control::lease_holder holder);

  void tick();
  void rank();
  void run(const lease_actions& actions);
  void run(const std::string& shard, const takeover_actions& actions);

  void carry_out(const control::grant_store_lease& it);
  void carry_out(const control::renew_store_lease& it);
  void carry_out(const control::revoke_store_lease& it);
  void carry_out(const control::create_lease_key& it);
  void carry_out(const control::read_lease_key& it);
  void carry_out(const control::delete_lease_key& it);
  void carry_out(const control::shard_acquired& it);
  void carry_out(const control::shard_stopping& it);
  void carry_out(const control::shard_lost& it);
  void carry_out(const control::shard_released& it);

  void carry_out(const control::read_holders& it);
  void carry_out(const control::write_holders& it);
  void carry_out(const control::request_step_down& it);
  void carry_out(const control::takeover_cleared& it);
  void carry_out(const control::holder_removed& it);

  void answer_step_down(const json& request, const peer_task::answer_function& answer);
  void on_step_down_reply(const control::request_step_down& asked, const peer_reply& reply);
  takeover_entry* find_takeover(const std::string& shard);
  void record(events::event_number number, const std::string& shard, control::fencing_token token);

  const daemon_context& context_;
  store::store_client& store_;
  peer_task& peers_;
  announcement_task& announcements_;
  control::lease_holder holder_;
  net::timer timer_;
  std::vector<member> members_;
  std::vector<control::shard> shards_;
  duration list_lag_ = seconds(10);
  std::map<std::string, takeover_entry> takeovers_;
  bool draining_ = false;
  sigc::signal<void(const held_shard&)> acquired_;
  sigc::signal<void(const held_shard&)> stopping_;
  sigc::signal<void(const held_shard&)> lost_;
  sigc::signal<void(const step_down_request&)> step_down_asked_;
};

} // namespace boragedoor::daemon
