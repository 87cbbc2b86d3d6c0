#include "daemon/shard_task.h"

#include <utility>
#include <variant>

#include "usage/usage_figures.h"

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(100);

// A former holder that is alive answers within this time; silence is no evidence of anything.
constexpr duration step_down_timeout = seconds(1);

std::string lease_key(const std::string& shard) {
  return "lease/" + shard;
}

std::string holders_key(const std::string& shard) {
  return "holders/" + shard;
}

json to_json(const control::lease_record& it) {
  return {{"instance", it.instance},
          {"boot", it.boot_id},
          {"address", it.address},
          {"acquired_by", it.acquired_by}};
}

control::lease_record lease_record_from(const json& value) {
  return {string_field(value, "instance").value_or(""), string_field(value, "boot").value_or(""),
          string_field(value, "address").value_or(""),
          string_field(value, "acquired_by").value_or("")};
}

json to_json(const control::former_holder& it) {
  return {{"instance", it.instance},
          {"boot", it.boot_id},
          {"address", it.address},
          {"token", it.token}};
}

/// Reads the value of `holders/{shard}`. Nothing when it is damaged: then no former holder is
/// known, and the takeover must not go on as if there were none.
std::optional<std::vector<control::former_holder>> holders_from(const std::string& text) {
  const auto value = parse_json(text);
  if (!value || !value.value().is_array()) {
    return std::nullopt;
  }
  std::vector<control::former_holder> list;
  for (const json& row : value.value()) {
    control::former_holder it;
    it.instance = string_field(row, "instance").value_or("");
    it.boot_id = string_field(row, "boot").value_or("");
    it.address = string_field(row, "address").value_or("");
    it.token = static_cast<std::uint64_t>(integer_field(row, "token").value_or(0));
    list.push_back(std::move(it));
  }
  return list;
}

control::store_outcome to_outcome(const store::write_result& it) {
  switch (it.outcome) {
  case store::write_outcome::ok:
    return control::store_outcome::ok;
  case store::write_outcome::conflict:
    return control::store_outcome::conflict;
  case store::write_outcome::lease_missing:
    return control::store_outcome::lease_missing;
  case store::write_outcome::unknown:
  case store::write_outcome::not_executed:
    break;
  }
  return control::store_outcome::unknown;
}

std::vector<control::shard> shards_of(const config::configuration& configuration) {
  std::vector<control::shard> list;
  for (const auto& it : configuration.data_centres) {
    list.push_back({"dc/" + it.name, it.name});
  }
  for (const auto& it : configuration.trainers) {
    list.push_back({"trainer/" + it.name, ""});
  }
  for (std::uint32_t n = 0; n < usage::shard_count; ++n) {
    list.push_back({"usage/" + std::to_string(n), ""});
  }
  return list;
}

} // namespace

result<std::unique_ptr<shard_task>> shard_task::create(const daemon_context& context,
                                                       store::store_client& store, peer_task& peers,
                                                       announcement_task& announcements) {
  control::lease_holder_options options;
  options.instance = context.settings.instance.id;
  options.boot_id = context.boot_id;
  options.address = net::to_string(peers.local_address());
  options.ttl = context.settings.timing.lease_ttl;
  options.renew_interval = context.settings.timing.lease_renew;
  auto holder = control::lease_holder::create(std::move(options));
  if (!holder) {
    return holder.error();
  }
  return std::unique_ptr<shard_task>(
      new shard_task(context, store, peers, announcements, std::move(holder).value()));
}

shard_task::shard_task(const daemon_context& context, store::store_client& store, peer_task& peers,
                       announcement_task& announcements, control::lease_holder holder)
    : context_(context), store_(store), peers_(peers), announcements_(announcements),
      holder_(std::move(holder)), timer_(context.loop, [this] { tick(); }) {
  peers_.called().connect([this](const std::string& /*from*/, const json& request,
                                 const peer_task::answer_function& answer) {
    if (string_field(request, "type") == "step_down") {
      answer_step_down(request, answer);
    }
  });
}

void shard_task::start() {
  timer_.start_periodic(tick_period);
}

void shard_task::on_list(std::span<const listed_instance> list, duration lag) {
  list_lag_ = lag;
  members_.clear();
  for (const auto& it : list) {
    members_.push_back({it.id, it.data_centre, it.region, net::to_string(it.peers),
                        it.leaving ? member_state::leaving : member_state::live});
  }
  rank();
  for (auto& [shard, it] : takeovers_) {
    run(shard, it.state->on_instance_list(members_, context_.now()));
  }
}

void shard_task::on_configuration(const configuration_ptr& configuration) {
  shards_ = shards_of(*configuration);
  rank();
}

void shard_task::rank() {
  if (draining_ || members_.empty()) {
    return;
  }
  const auto ranks = control::rank_shards(context_.settings.instance.id, shards_, members_);
  run(holder_.on_ranks(ranks, context_.now()));
}

void shard_task::drain() {
  draining_ = true;
  run(holder_.drain(context_.now()));
}

void shard_task::tick() {
  const time_point now = context_.now();
  run(holder_.tick(now));
  std::vector<std::string> names;
  for (const auto& [shard, it] : takeovers_) {
    names.push_back(shard);
  }
  for (const auto& shard : names) {
    if (auto* it = find_takeover(shard)) {
      run(shard, it->state->tick(now));
    }
  }
}

bool shard_task::may_act(const std::string& shard) const {
  return holder_.may_act(shard, context_.now());
}

std::optional<control::lease_permit> shard_task::permit(const std::string& shard) const {
  return holder_.permit(shard);
}

bool shard_task::takeover_cleared(const std::string& shard) const {
  const auto it = takeovers_.find(shard);
  return it != takeovers_.end() && it->second.state->is_cleared(context_.now());
}

void shard_task::settled(const std::string& shard) {
  auto* it = find_takeover(shard);
  if (it == nullptr) {
    run(holder_.on_settled(shard, context_.now()));
    return;
  }
  // The lease is released only after this process has left the list of possible senders.
  if (!it->settled) {
    it->settled = true;
    run(shard, it->state->deregister(context_.now()));
  }
}

std::vector<held_shard> shard_task::held() const {
  std::vector<held_shard> list;
  for (const auto& name : holder_.held_shards()) {
    const auto permit = holder_.permit(name);
    list.push_back({name, permit ? permit->token : 0});
  }
  return list;
}

shard_task::takeover_entry* shard_task::find_takeover(const std::string& shard) {
  const auto it = takeovers_.find(shard);
  return it == takeovers_.end() ? nullptr : &it->second;
}

void shard_task::record(events::event_number number, const std::string& shard,
                        control::fencing_token token) {
  events::event it;
  it.number = number;
  it.shard = shard;
  if (token != 0) {
    it.details["token"] = token;
  }
  context_.record(std::move(it));
}

void shard_task::run(const lease_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { carry_out(it); }, action);
  }
}

void shard_task::run(const std::string& /*shard*/, const takeover_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { carry_out(it); }, action);
  }
}

void shard_task::carry_out(const control::grant_store_lease& it) {
  store_.create_lease(it.ttl, [this, request = it.request](const result<std::string>& lease) {
    run(holder_.on_granted(request, lease ? std::optional(lease.value()) : std::nullopt,
                           context_.now()));
  });
}

void shard_task::carry_out(const control::renew_store_lease& it) {
  store_.renew_lease(it.lease, [this, request = it.request](const result<void>& done) {
    auto outcome = control::store_outcome::ok;
    if (!done) {
      outcome = done.error().code == error_code::not_found ? control::store_outcome::lease_missing
                                                           : control::store_outcome::unknown;
    }
    run(holder_.on_renewed(request, outcome, context_.now()));
  });
}

void shard_task::carry_out(const control::revoke_store_lease& it) {
  store_.drop_lease(it.lease, [](const result<void>& /*done*/) {});
}

void shard_task::carry_out(const control::create_lease_key& it) {
  store::write_request request;
  request.key = lease_key(it.shard);
  request.value = to_text(to_json(it.record));
  request.expect_version = 0;
  request.lease = it.record.acquired_by;
  store_.write(std::move(request), [this, id = it.request](const store::write_result& done) {
    run(holder_.on_created(id, to_outcome(done), done.version, context_.now()));
  });
}

void shard_task::carry_out(const control::read_lease_key& it) {
  store_.get(lease_key(it.shard), [this, request = it.request](const auto& answer) {
    control::lease_read seen;
    seen.answered = answer.has_value();
    if (answer && answer.value()) {
      const auto value = parse_json(answer.value()->value);
      seen.entry =
          control::lease_entry{value ? lease_record_from(value.value()) : control::lease_record{},
                               answer.value()->version};
    }
    run(holder_.on_read(request, seen, context_.now()));
  });
}

void shard_task::carry_out(const control::delete_lease_key& it) {
  store_.remove(lease_key(it.shard), it.expect_version,
                [this, request = it.request](const store::write_result& done) {
                  run(holder_.on_deleted(request, to_outcome(done), context_.now()));
                });
}

void shard_task::carry_out(const control::shard_acquired& it) {
  record(events::event_number::lease_acquired, it.shard, it.token);
  control::takeover_options options;
  options.self = {context_.settings.instance.id, context_.boot_id,
                  net::to_string(peers_.local_address()), it.token};
  options.shard = it.shard;
  options.max_list_lag = list_lag_;
  takeovers_[it.shard] = {std::make_unique<control::takeover>(std::move(options)), false};
  announcements_.announce({"holder/" + it.shard,
                           it.token,
                           {{"instance", context_.settings.instance.id},
                            {"callers", net::to_string(context_.callers)},
                            {"peers", net::to_string(peers_.local_address())}}});
  acquired_.emit({it.shard, it.token});
  if (auto* entry = find_takeover(it.shard)) {
    run(it.shard, entry->state->tick(context_.now()));
  }
}

void shard_task::carry_out(const control::shard_stopping& it) {
  stopping_.emit({it.shard, it.token});
}

void shard_task::carry_out(const control::shard_lost& it) {
  record(events::event_number::lease_lost, it.shard, it.token);
  takeovers_.erase(it.shard);
  lost_.emit({it.shard, it.token});
}

void shard_task::carry_out(const control::shard_released& it) {
  record(events::event_number::lease_released, it.shard, 0);
  takeovers_.erase(it.shard);
}

void shard_task::carry_out(const control::read_holders& it) {
  store_.get(holders_key(it.shard), [this, shard = it.shard](const auto& answer) {
    auto* entry = find_takeover(shard);
    if (entry == nullptr) {
      return;
    }
    std::optional<std::vector<control::former_holder>> holders;
    std::uint64_t version = 0;
    if (answer && answer.value()) {
      holders = holders_from(answer.value()->value);
      version = answer.value()->version;
    } else if (answer) {
      holders.emplace();
    }
    run(shard, entry->state->on_read(std::move(holders), version, context_.now()));
  });
}

void shard_task::carry_out(const control::write_holders& it) {
  json list = json::array();
  for (const auto& holder : it.holders) {
    list.push_back(to_json(holder));
  }
  store::write_request request;
  request.key = holders_key(it.shard);
  request.value = to_text(list);
  request.expect_version = it.expect_version;
  store_.write(std::move(request), [this, shard = it.shard](const store::write_result& done) {
    if (auto* entry = find_takeover(shard)) {
      run(shard, entry->state->on_written(to_outcome(done), done.version, context_.now()));
    }
  });
}

void shard_task::carry_out(const control::request_step_down& it) {
  record(events::event_number::takeover_waiting, it.shard, it.token);
  const net::address target = net::parse_address(it.holder.address);
  peers_.call(target, {{"type", "step_down"}, {"shard", it.shard}, {"token", it.token}},
              step_down_timeout,
              [this, asked = it](const peer_reply& reply) { on_step_down_reply(asked, reply); });
}

void shard_task::on_step_down_reply(const control::request_step_down& asked,
                                    const peer_reply& reply) {
  auto* entry = find_takeover(asked.shard);
  if (entry == nullptr) {
    return;
  }
  auto kind = control::step_down_reply::no_answer;
  std::string boot;
  if (reply.refused) {
    kind = control::step_down_reply::refused;
  } else if (reply.answer) {
    boot = string_field(*reply.answer, "boot").value_or("");
    kind = bool_field(*reply.answer, "stepped_down").value_or(false)
               ? control::step_down_reply::stepped_down
               : control::step_down_reply::busy;
  }
  run(asked.shard, entry->state->on_step_down_reply(asked.holder, kind, boot, context_.now()));
}

void shard_task::answer_step_down(const json& request, const peer_task::answer_function& answer) {
  const auto shard = string_field(request, "shard").value_or("");
  const auto token = static_cast<std::uint64_t>(integer_field(request, "token").value_or(0));
  // Expires what is due first: a process that was paused learns here that its lease is gone.
  run(holder_.tick(context_.now()));
  const auto held = holder_.permit(shard);
  // A lower token that is still held here will expire before long; until then the answer is no.
  bool stopped = !held || held->token >= token;
  step_down_asked_.emit({shard, token, [&stopped](bool task) { stopped = stopped && task; }});
  answer({{"boot", context_.boot_id}, {"stepped_down", stopped}});
}

void shard_task::carry_out(const control::takeover_cleared& it) {
  record(events::event_number::takeover_cleared, it.shard, 0);
}

void shard_task::carry_out(const control::holder_removed& it) {
  run(holder_.on_settled(it.shard, context_.now()));
}

} // namespace boragedoor::daemon
