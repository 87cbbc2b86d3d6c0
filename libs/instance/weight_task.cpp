#include "instance/weight_task.h"

#include <utility>

#include "instance/call_limits.h"

namespace boragedoor::instance {

namespace {

using events::event_number;

constexpr duration tick_interval = milliseconds(25);
constexpr duration call_timeout = seconds(1);
/// Loading takes about 0.9 s, and reports lag by some hundred milliseconds.
constexpr duration first_poll_delay = milliseconds(960);
constexpr duration poll_interval = milliseconds(40);
constexpr duration load_timeout = milliseconds(3800);

constexpr int accepted = 202;
constexpr int already_holds = 200;
constexpr int superseded = 412;

} // namespace

weight_task::weight_task(instance_context& context, member_task& members)
    : context_(context), members_(members), timer_(context.loop, [this] { tick(); }) {}

void weight_task::start() {
  timer_.start_periodic(tick_interval);
}

std::vector<duties::engine_state> weight_task::ready_engines() const {
  std::vector<duties::engine_state> found;
  context_.endpoints.for_each([&](const dispatch::endpoint_entry& it) {
    const std::string& id = it.description.id;
    if (!it.versions.empty() && it.description.state == routing::endpoint_state::ready) {
      found.push_back({id, context_.endpoints.load_of(id, context_.loop.now()), it.versions,
                       it.description.max_running});
    }
  });
  return found;
}

void weight_task::tick() {
  const time_point now = context_.loop.now();
  if (!members_.permit(now) || !schedule_.wants_decision(now)) {
    return;
  }
  if (steps_) {
    schedule_.set_steps(steps_());
  }
  for (const duties::load_order& order : schedule_.decide(ready_engines(), now)) {
    request_report(order, false, now + load_timeout);
  }
}

void weight_task::request_report(const duties::load_order& order, bool order_sent,
                                 time_point deadline) {
  const auto* entry = context_.endpoints.find(order.engine);
  if (entry == nullptr || context_.loop.now() > deadline) {
    record_failure(order, entry == nullptr ? "gone" : "no_effect");
    return;
  }
  if (context_.endpoints.is_evacuated(entry->description.data_centre)) {
    record_failure(order, "evacuated");
    return;
  }
  context_.outgoing.request_report(
      *entry, call_timeout,
      [this, order, order_sent, deadline,
       process = routing::endpoint_process{order.engine, entry->process_start_ms}](
          http1::call_outcome outcome, const http1::response& it) {
        context_.note_departure(process, context_.protocol.read(it));
        const auto report = outcome == http1::call_outcome::complete
                                ? context_.protocol.read_report(it)
                                : std::nullopt;
        if (report) {
          handle_report(order, *report, order_sent, deadline);
        } else {
          record_failure(order, "no_report");
        }
      });
}

void weight_task::handle_report(const duties::load_order& order, const engine_report& report,
                                bool order_sent, time_point deadline) {
  for (const auto& [model, version] : report.versions) {
    context_.endpoints.note_version(order.engine, model, version);
  }
  const auto loaded_version = report.versions.find(order.model);
  if (loaded_version != report.versions.end() && loaded_version->second >= order.version) {
    schedule_.loaded(order.engine, order.model, loaded_version->second, context_.loop.now());
    context_.record(event_number::weights_swapped, {}, order.engine,
                    {{"model", order.model}, {"version", loaded_version->second}});
    return;
  }
  if (order_sent || report.order_in_progress) {
    request_report_after(order, poll_interval, deadline);
    return;
  }
  send_order(order, report.order_sequence, deadline);
}

void weight_task::send_order(const duties::load_order& order, std::uint64_t sequence,
                             time_point deadline) {
  const auto permit = members_.permit(context_.loop.now());
  const auto* entry = context_.endpoints.find(order.engine);
  if (!permit || entry == nullptr) {
    record_failure(order, "no_permit");
    return;
  }
  http1::call_spec spec;
  spec.target = entry->address;
  spec.message = context_.protocol.order({.endpoint = order.engine,
                                          .model = order.model,
                                          .version = order.version,
                                          .mode = load_mode::retain,
                                          .holder = permit->name,
                                          .fencing_token = permit->fencing_token,
                                          // Makes the engine reject the order if it arrives late.
                                          .expected_sequence = sequence});
  spec.may_send = permit->is_current;
  // Responses to orders bear no id, so a late one of an earlier request could be taken for them.
  spec.new_connection = true;
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = call_timeout;
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, order, deadline, token = permit->fencing_token](
                         http1::call_outcome outcome, const http1::response& it) {
    const int status = outcome == http1::call_outcome::complete ? it.status : 0;
    context_.record(status == accepted || status == already_holds ? event_number::order_confirmed
                                                                  : event_number::order_refused,
                    {}, order.engine,
                    {{"model", order.model},
                     {"version", order.version},
                     {"status", status},
                     {"outcome", to_string(outcome)},
                     {"fencing_token", token}});
    if (status == superseded) {
      members_.reject_token(token);
    }
    if (status == accepted || status == already_holds) {
      request_report_after(order, first_poll_delay, deadline);
    } else {
      record_failure(order, "refused");
    }
  };
  context_.record(event_number::order_sent, {}, order.engine,
                  {{"model", order.model},
                   {"version", order.version},
                   {"purpose", to_string(order.purpose)},
                   {"fencing_token", permit->fencing_token},
                   {"expected_sequence", sequence}});
  context_.count("boragedoor_weight_loads_total", "loads of weights ordered, by what they are for",
                 to_string(order.purpose));
  context_.calls.send(std::move(spec), std::move(callbacks));
}

void weight_task::request_report_after(const duties::load_order& order, duration delay,
                                       time_point deadline) {
  context_.loop.post_after(delay, [this, alive = alive_, order, deadline] {
    if (*alive) {
      request_report(order, true, deadline);
    }
  });
}

void weight_task::record_failure(const duties::load_order& order, std::string_view reason) {
  context_.record(event_number::weights_swap_failed, {}, order.engine,
                  {{"model", order.model}, {"version", order.version}, {"reason", reason}});
  schedule_.failed(order.engine, context_.loop.now());
}

} // namespace boragedoor::instance
