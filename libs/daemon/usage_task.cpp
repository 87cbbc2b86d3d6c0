#include "daemon/usage_task.h"

#include <charconv>
#include <utility>
#include <variant>

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(500);
constexpr duration flush_timeout = seconds(2);
constexpr duration report_timeout = seconds(5);
constexpr std::string_view shard_prefix = "usage/";

std::optional<std::uint32_t> usage_shard_of(std::string_view name) {
  if (!name.starts_with(shard_prefix)) {
    return std::nullopt;
  }
  name.remove_prefix(shard_prefix.size());
  std::uint32_t n = 0;
  const auto [end, ec] = std::from_chars(name.data(), name.data() + name.size(), n);
  if (ec != std::errc() || end != name.data() + name.size() || n >= usage::shard_count) {
    return std::nullopt;
  }
  return n;
}

std::string shard_name(std::uint32_t shard) {
  return std::string(shard_prefix) + std::to_string(shard);
}

} // namespace

usage_task::usage_task(const daemon_context& context, store::store_client& store, peer_task& peers,
                       shard_task& shards, announcement_task& announcements)
    : context_(context), store_(store), client_(store), peers_(peers), shards_(shards),
      flush_timer_(context.loop, [this] { flush(); }),
      tick_timer_(context.loop, [this] { tick(); }) {
  announcements.learned().connect([this](const announcement& it) {
    constexpr std::string_view prefix = "holder/";
    if (!it.name.starts_with(prefix)) {
      return;
    }
    if (const auto shard = usage_shard_of(std::string_view(it.name).substr(prefix.size()))) {
      holders_[*shard] = net::parse_address(string_field(it.value, "peers").value_or(""));
      if (counter_) {
        counter_->holder_changed(context_.now(), *shard);
      }
    }
  });
  peers_.called().connect([this](const std::string& /*from*/, const json& request,
                                 const peer_task::answer_function& answer) {
    const auto type = string_field(request, "type").value_or("");
    if (type == "usage_flush") {
      take_flush(request, answer);
    } else if (type == "usage_frozen" && request.contains("frozen")) {
      if (const auto it = usage::usage_window_frozen_from_json(request["frozen"]); it) {
        take_frozen(it.value());
      }
      answer(json::object());
    }
  });
  shards_.acquired().connect([this](const held_shard& it) {
    if (const auto shard = usage_shard_of(it.name)) {
      usage::window_options options;
      options.window_length = window_length_;
      options.grace = context_.settings.timing.usage_grace;
      held_.erase(*shard);
      held_.emplace(
          *shard,
          held_window{usage::usage_window::create(*shard, it.token, options), it.token, false, {}});
      run(*shard, find(*shard)->state.start(context_.now()));
    }
  });
  shards_.stopping().connect([this](const held_shard& it) {
    if (const auto shard = usage_shard_of(it.name)) {
      if (auto* held = find(*shard)) {
        held->stopping = true;
      } else {
        shards_.settled(it.name);
      }
    }
  });
  shards_.lost().connect([this](const held_shard& it) {
    if (const auto shard = usage_shard_of(it.name)) {
      held_.erase(*shard);
    }
  });
  shards_.step_down_asked().connect(
      [this](const step_down_request& request) { on_step_down(request); });
}

void usage_task::start() {
  flush_timer_.start_periodic(context_.settings.timing.usage_flush);
  tick_timer_.start_periodic(tick_period);
}

void usage_task::on_configuration(const configuration_ptr& configuration) {
  window_length_ = configuration->usage_window;
  if (!counter_) {
    counter_ = usage::usage_counter::create({context_.settings.instance.id, context_.boot_id},
                                            window_length_);
  }
}

void usage_task::on_list(std::span<const listed_instance> list) {
  instances_.clear();
  for (const auto& it : list) {
    instances_[it.id] = it.peers;
  }
}

void usage_task::record(const usage_fact& it) {
  if (counter_) {
    counter_->record(context_.now(), wall_now(), it.key, it.figures);
  }
}

usage_task::held_window* usage_task::find(std::uint32_t shard) {
  const auto it = held_.find(shard);
  return it == held_.end() ? nullptr : &it->second;
}

bool usage_task::is_self(const usage::usage_source& source) const {
  return source.instance == context_.settings.instance.id && source.boot == context_.boot_id;
}

void usage_task::flush() {
  if (!counter_) {
    return;
  }
  for (const auto& it : counter_->flush(context_.now())) {
    send_flush(it);
  }
}

void usage_task::send_flush(const usage::usage_flush& it) {
  if (find(it.shard) != nullptr) {
    run(it.shard, find(it.shard)->state.flush(context_.now(), it));
    return;
  }
  const auto holder = holders_.find(it.shard);
  if (holder == holders_.end()) {
    return;
  }
  peers_.call(holder->second, {{"type", "usage_flush"}, {"flush", usage::to_json(it)}},
              flush_timeout, [this](const peer_reply& reply) {
                if (!reply.answer || !reply.answer->contains("merged")) {
                  return;
                }
                const auto merged = usage::usage_flush_merged_from_json((*reply.answer)["merged"]);
                if (merged && counter_) {
                  counter_->merged(context_.now(), merged.value());
                }
              });
}

void usage_task::take_flush(const json& request, const peer_task::answer_function& answer) {
  if (!request.contains("flush")) {
    return;
  }
  const auto it = usage::usage_flush_from_json(request["flush"]);
  if (!it) {
    return;
  }
  auto* held = find(it.value().shard);
  if (held == nullptr) {
    answer({{"not_holder", true}});
    return;
  }
  held->answers[{it.value().source.instance, it.value().sequence}] = answer;
  run(it.value().shard, held->state.flush(context_.now(), it.value()));
}

void usage_task::tick() {
  std::vector<std::uint32_t> shards;
  for (const auto& [shard, it] : held_) {
    shards.push_back(shard);
  }
  for (const auto shard : shards) {
    auto* held = find(shard);
    if (held == nullptr) {
      continue;
    }
    const std::string name = shard_name(shard);
    const bool may_report =
        !held->stopping && shards_.may_act(name) && shards_.takeover_cleared(name);
    run(shard, held->state.tick(context_.now(), wall_now(), may_report));
    held = find(shard);
    if (held != nullptr && held->stopping && held->state.checkpointed() &&
        open_reports_[shard] == 0) {
      held_.erase(shard);
      shards_.settled(name);
    }
  }
}

void usage_task::run(std::uint32_t shard, const usage::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this, shard](const auto& it) { carry_out(shard, it); }, action);
  }
}

void usage_task::feed(std::uint32_t shard, std::uint64_t token, const feed_function& fn) {
  // An answer that belongs to an earlier hold of the shard must not reach a later window.
  if (auto* held = find(shard); held != nullptr && held->token == token) {
    run(shard, fn(held->state));
  }
}

std::uint64_t usage_task::token_of(std::uint32_t shard) {
  const auto* held = find(shard);
  return held == nullptr ? 0 : held->token;
}

void usage_task::carry_out(std::uint32_t shard, const store_put& it) {
  store_.run(it, [this, shard, token = token_of(shard)](const store_write_result& done) {
    feed(shard, token, [&](auto& window) { return window.finish_write(context_.now(), done); });
  });
}

void usage_task::carry_out(std::uint32_t shard, const store_delete& it) {
  store_.run(it, [this, shard, token = token_of(shard)](const store_write_result& done) {
    feed(shard, token, [&](auto& window) { return window.finish_write(context_.now(), done); });
  });
}

void usage_task::carry_out(std::uint32_t shard, const store_get& it) {
  store_.run(it, [this, shard, token = token_of(shard)](const store_read_result& done) {
    feed(shard, token, [&](auto& window) { return window.finish_read(context_.now(), done); });
  });
}

void usage_task::carry_out(std::uint32_t shard, const usage::usage_flush_merged& it) {
  if (is_self(it.source)) {
    counter_->merged(context_.now(), it);
    return;
  }
  auto* held = find(shard);
  if (held == nullptr) {
    return;
  }
  const auto found = held->answers.find({it.source.instance, it.sequence});
  if (found != held->answers.end()) {
    found->second({{"merged", usage::to_json(it)}});
    held->answers.erase(found);
  }
}

void usage_task::carry_out(std::uint32_t /*shard*/, const usage::usage_window_frozen& it) {
  if (is_self(it.source)) {
    take_frozen(it);
    return;
  }
  const auto target = instances_.find(it.source.instance);
  if (target != instances_.end()) {
    // A lost message is repaired at the instance's next flush of the window.
    peers_.call(target->second, {{"type", "usage_frozen"}, {"frozen", usage::to_json(it)}},
                flush_timeout, [](const peer_reply& /*reply*/) {});
  }
}

void usage_task::take_frozen(const usage::usage_window_frozen& it) {
  if (!counter_ || !is_self(it.source)) {
    return;
  }
  for (const auto& [key, figures] : counter_->frozen(context_.now(), it)) {
    events::event entry;
    entry.number = events::event_number::usage_late_fact;
    entry.workspace = key.workspace;
    entry.details = {{"window", it.window}, {"requests", figures.requests}};
    context_.record(std::move(entry));
  }
}

void usage_task::carry_out(std::uint32_t shard, const usage::send_report& it) {
  const std::string name = shard_name(shard);
  const auto* held = find(shard);
  // The permit is read again immediately before the send: this process may have been paused.
  if (held == nullptr || !shards_.may_act(name) || !shards_.takeover_cleared(name)) {
    return;
  }
  auto body = parse_json(it.body);
  if (!body) {
    return;
  }
  body.value()["fencing_token"] = held->token;
  net::http_call_spec spec;
  spec.target = context_.settings.platform.usage_intake;
  spec.method = "POST";
  spec.path = "/usage";
  spec.body = to_text(body.value());
  spec.progress_timeout = report_timeout;
  ++open_reports_[shard];
  const auto finish = [this, shard, token = held->token, id = it.report_id](bool confirmed) {
    --open_reports_[shard];
    if (auto* open = find(shard); open != nullptr && open->token == token) {
      run(shard, open->state.finish_report(context_.now(), id, confirmed));
    }
  };
  net::http_callbacks callbacks;
  callbacks.on_reply = [finish](const net::http_reply& reply) { finish(reply.status == 200); };
  callbacks.on_failure = [finish](const net::http_failure& /*failure*/) { finish(false); };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void usage_task::carry_out(std::uint32_t shard, const usage::window_note& it) {
  events::event entry;
  entry.shard = shard_name(shard);
  entry.details["window"] = it.window;
  switch (it.change) {
  case usage::window_change::frozen:
    entry.number = events::event_number::usage_window_frozen;
    break;
  case usage::window_change::reported:
    entry.number = events::event_number::usage_window_reported;
    break;
  case usage::window_change::damaged:
    entry.number = events::event_number::store_document_damaged;
    break;
  case usage::window_change::readback:
    entry.number = events::event_number::store_readback;
    break;
  }
  context_.record(std::move(entry));
}

void usage_task::carry_out(std::uint32_t shard, const usage::window_stopped& /*it*/) {
  held_.erase(shard);
}

void usage_task::on_step_down(const step_down_request& request) {
  const auto shard = usage_shard_of(request.shard);
  if (!shard) {
    return;
  }
  // Without a lease no report is started; those on their way must have ended.
  request.answer(!shards_.may_act(request.shard) && open_reports_[*shard] == 0);
}

void usage_task::show(std::uint64_t window, std::function<void(result<json>)> done) {
  std::uint64_t wanted = window;
  if (wanted == 0) {
    wanted = usage::window_of(wall_now(), window_length_) - 1;
  }
  client_.list("usage/" + std::to_string(wanted) + "/", [wanted, done = std::move(done)](
                                                            const result<store::listing>& answer) {
    if (!answer) {
      done(answer.error());
      return;
    }
    json shards = json::array();
    for (const auto& entry : answer.value().entries) {
      const auto frozen = usage::frozen_window_from_text(entry.value);
      if (frozen) {
        shards.push_back({{"shard", frozen.value().shard},
                          {"report_id", frozen.value().report_id},
                          {"figures", usage::to_json(usage::total(frozen.value().included))}});
      }
    }
    done(json{{"window", wanted}, {"shards", std::move(shards)}});
  });
}

} // namespace boragedoor::daemon
