#include "daemon/trainer_gateway.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace boragedoor::daemon {

namespace {

// Longest wait of a poll; longer ones would look like silent connections to the trainer.
constexpr std::int64_t max_wait_ms = 25'000;
constexpr std::int64_t default_wait_ms = 5'000;

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::vector<std::string> split(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const std::size_t slash = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, slash));
    path.remove_prefix(std::min(slash + 1, path.size()));
  }
  return parts;
}

std::string query_value(const net::http_request& request, std::string_view name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

api_error error_of(const error& it) {
  switch (it.code) {
  case error_code::invalid_argument:
  case error_code::protocol:
    return bad_request_error(it.message);
  case error_code::not_found:
    return not_found_error(it.message);
  case error_code::conflict:
    return {409, "conflict", it.message, retry::executed::no, {}};
  default:
    return unavailable_error("unavailable", it.message, seconds(1));
  }
}

} // namespace

trainer_gateway::trainer_gateway(const daemon_context& context, const access_control& access,
                                 trainer_task& trainers, announcement_task& announcements)
    : context_(context), access_(access), trainers_(trainers) {
  announcements.learned().connect([this](const announcement& it) {
    constexpr std::string_view prefix = "holder/trainer/";
    if (it.name.starts_with(prefix)) {
      holders_[it.name.substr(prefix.size())] = string_field(it.value, "callers").value_or("");
    }
  });
}

void trainer_gateway::handle(const exchange_ptr& exchange, std::string_view rest) {
  const auto owner = access_.authenticate(exchange->request().fields);
  if (!owner) {
    respond_error(*exchange, owner.error());
    return;
  }
  const auto parts = split(rest);
  const auto& method = exchange->request().method;
  const auto* trainer =
      parts.empty() ? nullptr : config::find_trainer(*access_.configuration(), parts[0]);
  if (trainer == nullptr || trainer->workspace != owner.value().workspace) {
    respond_error(*exchange, not_found_error("the workspace has no such trainer"));
    return;
  }
  if (parts.size() == 2 && parts[1] == "versions" && method == "POST") {
    announce(exchange, *trainer);
    return;
  }
  const auto step =
      parts.size() >= 3 && parts[1] == "steps" ? parse_number(parts[2]) : std::nullopt;
  if (!step) {
    respond_error(*exchange, not_found_error("no such trainer route"));
    return;
  }
  if (redirect(exchange, trainer->name)) {
    return;
  }
  const auto n = parts.size() == 6 ? parse_number(parts[4]) : std::nullopt;
  if (parts.size() == 3 && method == "PUT") {
    open_step(exchange, trainer->name, *step);
  } else if (parts.size() == 4 && parts[3] == "batches" && method == "GET") {
    next_batch(exchange, trainer->name, *step);
  } else if (n && parts[3] == "batches" && parts[5] == "ack" && method == "POST") {
    acknowledge(exchange, trainer->name, *step, *n);
  } else {
    respond_error(*exchange, not_found_error("no such trainer route"));
  }
}

bool trainer_gateway::redirect(const exchange_ptr& exchange, const std::string& trainer) {
  if (trainers_.holds(trainer)) {
    return false;
  }
  const auto holder = holders_.find(trainer);
  if (holder == holders_.end() || holder->second.empty() ||
      holder->second == net::to_string(context_.callers)) {
    respond_error(*exchange,
                  unavailable_error("no_holder", "no instance holds this trainer yet", seconds(1)));
    return true;
  }
  json body = to_json(api_error{
      307, "not_holder", "another instance serves this trainer", retry::executed::no, {}});
  body["holder"] = holder->second;
  exchange->respond_json(307, body,
                         {{"Location", "http://" + holder->second + exchange->request().path}});
  return true;
}

void trainer_gateway::open_step(const exchange_ptr& exchange, const std::string& trainer,
                                std::uint64_t step) {
  auto spec = ledger::step_spec_from_text(exchange->request().body);
  if (!spec) {
    respond_error(*exchange, bad_request_error(spec.error().message));
    return;
  }
  const auto* known = config::find_trainer(*access_.configuration(), trainer);
  std::int64_t samples = 0;
  for (const auto& group : spec.value().groups) {
    samples += group.size;
  }
  const auto limit = access_.configuration()->limits.max_step_samples;
  if (spec.value().model != known->model || (limit > 0 && samples > limit) ||
      spec.value().max_tokens > static_cast<std::uint64_t>(known->max_tokens) ||
      spec.value().staleness_bound > static_cast<std::uint64_t>(known->staleness_bound)) {
    respond_error(*exchange,
                  bad_request_error("the step exceeds the trainer's configuration: model, "
                                    "number of samples, max_tokens or staleness_bound"));
    return;
  }
  trainers_.open_step(trainer, step, std::move(spec).value(),
                      [exchange, step](const result<void>& done) {
                        if (done) {
                          exchange->respond_json(200, {{"step", step}});
                        } else {
                          respond_error(*exchange, error_of(done.error()));
                        }
                      });
}

void trainer_gateway::next_batch(const exchange_ptr& exchange, const std::string& trainer,
                                 std::uint64_t step) {
  const auto& request = exchange->request();
  const auto after = parse_number(query_value(request, "after")).value_or(0);
  const auto wait = parse_number(query_value(request, "wait_ms"));
  const std::int64_t wait_ms =
      wait ? std::min(static_cast<std::int64_t>(std::min<std::uint64_t>(*wait, max_wait_ms)),
                      max_wait_ms)
           : default_wait_ms;
  const auto number = trainers_.poll_batch(
      trainer, step, after, milliseconds(wait_ms), [exchange](const batch_answer& it) {
        switch (it.kind) {
        case ledger::batch_reply_kind::batch:
          exchange->respond(200, {{"Content-Type", "application/json"}}, it.content);
          return;
        case ledger::batch_reply_kind::none_yet:
          exchange->respond(204, {}, "");
          return;
        case ledger::batch_reply_kind::complete:
          // Nothing follows; the header tells this from a wait that ended without a batch.
          exchange->respond(204, {{"x-step-complete", "true"}}, "");
          return;
        case ledger::batch_reply_kind::refused:
          respond_error(*exchange, error_of(it.reason));
          return;
        }
      });
  exchange->on_caller_left([this, number] { trainers_.cancel_poll(number); });
}

void trainer_gateway::acknowledge(const exchange_ptr& exchange, const std::string& trainer,
                                  std::uint64_t step, std::uint64_t n) {
  trainers_.acknowledge(trainer, step, n, [exchange, n](const result<void>& done) {
    if (done) {
      exchange->respond_json(200, {{"acknowledged", n}});
    } else {
      respond_error(*exchange, error_of(done.error()));
    }
  });
}

void trainer_gateway::announce(const exchange_ptr& exchange, const config::trainer& trainer) {
  const auto body = parse_json(exchange->request().body);
  const std::int64_t version =
      body ? integer_field(body.value(), "version").value_or(0) : std::int64_t{0};
  const auto model = body ? string_field(body.value(), "model") : std::nullopt;
  if (version < 1 || model != trainer.model) {
    respond_error(*exchange, bad_request_error("\"version\" must be a positive integer and "
                                               "\"model\" the trainer's model"));
    return;
  }
  trainers_.announce_version(trainer.name, trainer.model, static_cast<std::uint64_t>(version));
  exchange->respond_json(200, {{"model", *model}, {"version", version}});
}

} // namespace boragedoor::daemon
