#include "daemon/order_task.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(200);
constexpr duration order_timeout = seconds(5);
constexpr std::string_view shard_prefix = "dc/";

bool is_data_centre_shard(std::string_view shard) {
  return shard.starts_with(shard_prefix);
}

/// The desired state of an endpoint as the gate compares it.
std::string desired_version(const std::string& model, std::uint64_t version) {
  return to_text({{"kind", "load_version"}, {"model", model}, {"version", version}});
}

} // namespace

order_task::order_task(const daemon_context& context, endpoint_task& endpoints, shard_task& shards,
                       announcement_task& announcements)
    : context_(context), endpoints_(endpoints), shards_(shards),
      timer_(context.loop, [this] { tick(); }) {
  announcements.learned().connect([this](const announcement& it) {
    constexpr std::string_view prefix = "weights/";
    if (it.name.starts_with(prefix)) {
      versions_[it.name.substr(prefix.size())] = it.number;
    }
  });
  shards_.acquired().connect([this](const held_shard& it) {
    if (is_data_centre_shard(it.name)) {
      auto& state = state_of(it.name);
      state.held = true;
      state.stopping = false;
      state.gate.resume();
      start_rollout(it.name, state);
      endpoints_.observe_data_centre(it.name.substr(shard_prefix.size()), true);
    }
  });
  shards_.stopping().connect([this](const held_shard& it) {
    if (is_data_centre_shard(it.name)) {
      auto& state = state_of(it.name);
      state.stopping = true;
      state.gate.stop();
    }
  });
  shards_.lost().connect([this](const held_shard& it) {
    if (is_data_centre_shard(it.name)) {
      state_of(it.name).held = false;
      endpoints_.observe_data_centre(it.name.substr(shard_prefix.size()), false);
    }
  });
  shards_.step_down_asked().connect(
      [this](const step_down_request& request) { on_step_down(request); });
}

void order_task::start() {
  timer_.start_periodic(tick_period);
}

order_task::data_centre_state& order_task::state_of(const std::string& shard) {
  const auto found = data_centres_.find(shard);
  if (found != data_centres_.end()) {
    return found->second;
  }
  control::order_gate_options options;
  options.shard = shard;
  options.boot_id = context_.boot_id;
  return data_centres_
      .emplace(shard,
               data_centre_state{control::order_gate(std::move(options)), {}, {}, false, false, {}})
      .first->second;
}

control::order_permit order_task::permit(const std::string& shard) const {
  return {shards_.permit(shard), shards_.takeover_cleared(shard)};
}

void order_task::tick() {
  for (auto& [shard, it] : data_centres_) {
    if (it.held && !it.stopping) {
      roll_out(shard, it);
    }
    run(shard, it.gate.tick(permit(shard), context_.now()));
    if (it.held && it.stopping && it.gate.is_settled(context_.now())) {
      it.held = false;
      endpoints_.observe_data_centre(shard.substr(shard_prefix.size()), false);
      shards_.settled(shard);
    }
  }
}

void order_task::start_rollout(const std::string& shard, data_centre_state& it) {
  std::set<std::string> data_centres = {shard};
  for (const auto& endpoint : endpoints_.endpoints()) {
    data_centres.insert(std::string(shard_prefix) + endpoint.data_centre);
  }
  // Each holder takes an equal part of the weight store's rate, so that no holder has to ask
  // another.
  freshness::weight_rollout_options options;
  options.fetches_per_second /= static_cast<double>(data_centres.size());
  options.fetch_burst =
      std::max(1.0, options.fetch_burst / static_cast<double>(data_centres.size()));
  auto rollout = freshness::weight_rollout::create(options);
  if (rollout) {
    it.rollout.emplace(std::move(rollout).value());
  }
}

void order_task::roll_out(const std::string& shard, data_centre_state& it) {
  if (!it.rollout) {
    return;
  }
  const time_point now = context_.now();
  std::set<std::string> listed;
  for (const auto& endpoint : endpoints_.endpoints(shard.substr(shard_prefix.size()))) {
    // Before its first report an engine's version is not known.
    if (endpoint.kind != routing::endpoint_kind::engine || !endpoints_.has_reported(endpoint.id)) {
      continue;
    }
    listed.insert(endpoint.id);
    freshness::engine_view view;
    view.id = endpoint.id;
    view.data_centre = endpoint.data_centre;
    view.model = endpoint.model;
    view.version = endpoint.weight_version;
    view.running = endpoints_.outstanding(endpoint.id);
    view.ready = endpoint.state == routing::endpoint_state::ready;
    it.rollout->put(view);
    if (const auto version = versions_.find(endpoint.model); version != versions_.end()) {
      it.rollout->announce(endpoint.model, version->second, now);
    }
  }
  for (const auto& id : it.engines) {
    if (!listed.contains(id)) {
      it.rollout->remove(id);
    }
  }
  it.engines = std::move(listed);
  for (const auto& action : it.rollout->decide(now, context_.random)) {
    if (const auto* swap = std::get_if<freshness::swap_order>(&action)) {
      want_version(shard, swap->engine, swap->model, swap->version);
    } else if (const auto* back = std::get_if<freshness::roll_back_order>(&action)) {
      want_version(shard, back->engine, back->model, back->version);
    }
    // Engines that were set aside keep their version, which routing compares with what a request
    // needs.
  }
}

void order_task::want_version(const std::string& shard, const std::string& engine,
                              const std::string& model, std::uint64_t version) {
  auto handling = control::token_handling::ignores;
  for (const auto& endpoint : endpoints_.endpoints()) {
    if (endpoint.id == engine && endpoint.fencing == routing::fencing_support::checks_tokens) {
      handling = control::token_handling::checks;
    }
  }
  run(shard, state_of(shard).gate.request(engine, handling, desired_version(model, version),
                                          permit(shard), context_.now()));
}

void order_task::swap_answered(const std::string& shard, const control::order& it, bool applied) {
  auto& state = state_of(shard);
  const auto desired = parse_json(it.desired);
  const auto version =
      desired ? integer_field(desired.value(), "version").value_or(0) : std::int64_t{0};
  record(applied ? events::event_number::weights_swapped
                 : events::event_number::weights_swap_failed,
         shard, it);
  if (!applied) {
    // The same version may be ordered again after the delay that the rollout decides on.
    state.gate.clear_settled_state(it.target);
  }
  if (state.rollout && applied) {
    state.rollout->swap_finished(it.target, static_cast<std::uint64_t>(version));
  } else if (state.rollout) {
    state.rollout->swap_failed(it.target, context_.now(), context_.random);
  }
}

void order_task::run(const std::string& shard, const std::vector<control::order_action>& actions) {
  for (const auto& action : actions) {
    std::visit([this, &shard](const auto& it) { carry_out(shard, it); }, action);
  }
}

void order_task::record(events::event_number number, const std::string& shard,
                        const control::order& it, const std::string& reason) {
  events::event entry;
  entry.number = number;
  entry.shard = shard;
  entry.endpoint = it.target;
  entry.details = {{"order", it.id}, {"desired", it.desired}};
  if (!reason.empty()) {
    entry.details["reason"] = reason;
  }
  context_.record(std::move(entry));
}

void order_task::carry_out(const std::string& shard, const control::send_order& it) {
  net::address target;
  for (const auto& endpoint : endpoints_.endpoints()) {
    if (endpoint.id == it.order_to_send.target) {
      target = net::parse_address(endpoint.address);
    }
  }
  auto body = parse_json(it.order_to_send.desired);
  // The clock is read again here: the process may have been paused since the gate decided.
  if (target.port == 0 || !body || context_.now() >= it.not_after) {
    context_.post([this, shard, id = it.order_to_send.id] { finish(shard, id, false); });
    return;
  }
  body.value()["order_id"] = it.order_to_send.id;
  body.value()["fencing_token"] = it.token;
  net::http_call_spec spec;
  spec.target = target;
  spec.method = "POST";
  spec.path = "/admin/order";
  spec.body = to_text(body.value());
  spec.progress_timeout = order_timeout;
  record(events::event_number::order_sent, shard, it.order_to_send);
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, shard, what = it.order_to_send](const net::http_reply& reply) {
    // Any answer settles the order: the engine says whether it loaded the version.
    const auto reply_body = parse_json(reply.body);
    const bool definite = reply.status == 200 || (reply.status >= 400 && reply.status < 500) ||
                          (reply_body && bool_field(reply_body.value(), "applied") == false);
    record(reply.status == 200 ? events::event_number::order_confirmed
                               : events::event_number::order_refused,
           shard, what, "status " + std::to_string(reply.status));
    finish(shard, what.id, definite);
    if (definite) {
      swap_answered(shard, what, reply.status == 200);
    }
  };
  callbacks.on_failure = [this, shard, what = it.order_to_send](const net::http_failure& failure) {
    record(events::event_number::attempt_failed, shard, what, failure.cause.message);
    finish(shard, what.id, false);
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void order_task::finish(const std::string& shard, const std::string& order, bool settled) {
  auto& gate = state_of(shard).gate;
  run(shard, settled ? gate.on_settled(order, permit(shard), context_.now())
                     : gate.on_attempt_failed(order, context_.now()));
}

void order_task::on_step_down(const step_down_request& request) {
  if (!is_data_centre_shard(request.shard)) {
    return;
  }
  auto& state = state_of(request.shard);
  // The gate answers at once when nothing is in flight; otherwise the asker asks again, and until
  // then the answer is no.
  bool stopped = false;
  state.askers["asker"] = [&stopped](bool answer) { stopped = answer; };
  run(request.shard, state.gate.on_step_down("asker", request.token, context_.now()));
  state.askers.clear();
  request.answer(stopped);
}

void order_task::carry_out(const std::string& shard, const control::confirm_step_down& it) {
  auto& askers = state_of(shard).askers;
  const auto found = askers.find(it.requester);
  if (found != askers.end()) {
    found->second(true);
  }
}

} // namespace boragedoor::daemon
