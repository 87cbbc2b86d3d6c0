#include "standin/engine_server.h"

#include <utility>

#include "base/hash.h"

namespace boragedoor::standin {

namespace {

constexpr std::size_t incarnation_bytes = 6;
constexpr std::int64_t default_max_tokens = 16;

std::string sse(const json& value) {
  return "data: " + to_text(value) + "\n\n";
}

json usage(const request_finished& it) {
  return {{"prompt_tokens", it.prompt_tokens},
          {"completion_tokens", it.completion_tokens},
          {"cached_tokens", it.cached_tokens}};
}

json closing(const call& caller, const request_finished& it) {
  return {{"attempt", caller.attempt()},
          {"finish_reason", it.finish_reason},
          {"weight_versions", it.weight_versions},
          {"usage", usage(it)}};
}

// Seeds may use all 64 bits, which `integer_field` does not accept.
std::uint64_t read_seed(const json& body) {
  const auto it = body.find("seed");
  return it != body.end() && it->is_number_integer() ? it->get<std::uint64_t>() : 0;
}

engine_request read_request(const json& body) {
  engine_request it;
  it.prompt = string_field(body, "prompt").value_or("");
  it.max_tokens = integer_field(body, "max_tokens").value_or(default_max_tokens);
  it.seed = read_seed(body);
  it.priority = integer_field(body, "priority").value_or(0);
  it.resume_text = string_field(body, "resume_text").value_or("");
  return it;
}

} // namespace

result<std::unique_ptr<engine_server>> engine_server::create(net::event_loop& loop,
                                                             const engine_options& options) {
  auto it = std::unique_ptr<engine_server>(new engine_server(loop, options));
  engine_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); },
                               [plain] { plain->crashed(); }}));
  return it;
}

engine_server::engine_server(net::event_loop& loop, const engine_options& options)
    : loop_(loop), options_(options), state_(options.engine), orders_(options.order_fencing),
      incarnation_(secure_random_hex(incarnation_bytes) + "-0"),
      step_timer_(loop, [this] { pump(); }) {}

std::string engine_server::classify(const net::http_request& request) {
  static const std::map<std::string, std::string, std::less<>> kinds{
      {"POST /v1/completions", "completion"},
      {"POST /admin/order", "order"},
      {"GET /orders", "orders"},
      {"GET /load", "load"},
      {"GET /cache-events", "cache_events"},
      {"GET /kv-export", "kv_export"},
      {"POST /kv-import", "kv_import"},
      {"GET /healthz", "healthz"},
  };
  const auto it = kinds.find(request.method + ' ' + request.path);
  return it == kinds.end() ? "other" : it->second;
}

void engine_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "completion") {
    complete(it);
  } else if (kind == "order") {
    order(it);
  } else if (kind == "orders") {
    json body = orders_.list();
    body["greatest"] = orders_.greatest_token("");
    it->answer(200, body);
  } else if (kind == "load") {
    load(*it);
  } else if (kind == "healthz") {
    it->answer(200, {{"status", "ok"}, {"incarnation", incarnation_}});
  } else if (kind == "other") {
    it->answer(404, error_body("not_found", "no such route"));
  } else {
    cache_call(*it, kind);
  }
}

void engine_server::crashed() {
  state_.crash(loop_.now());
  step_timer_.cancel();
  completions_.clear();
  order_callers_.clear();
  orders_.interrupt();
  ++crashes_;
  incarnation_ = incarnation_.substr(0, incarnation_.find('-')) + '-' + std::to_string(crashes_);
}

void engine_server::complete(const std::shared_ptr<call>& it) {
  const auto body = object_body(*it);
  if (!body || refuse(*it, *body)) {
    return;
  }
  engine_request request = read_request(*body);
  const bool stream = bool_field(*body, "stream").value_or(false);
  if (stream) {
    it->start_stream(200, {{"Content-Type", "text/event-stream"}, {"x-attempt-id", it->attempt()}});
  }
  const std::string prompt = request.prompt;
  const std::uint64_t id = state_.submit(std::move(request), loop_.now());
  completions_[id] = {it, stream, prompt, ""};
  it->on_caller_left([this, id] {
    completions_.erase(id);
    state_.cancel(id, loop_.now());
    pump();
  });
  pump();
}

bool engine_server::refuse(call& it, const json& body) {
  const std::string model = string_field(body, "model").value_or("");
  const std::string adapter = string_field(body, "adapter").value_or("");
  if (!string_field(body, "prompt") || integer_field(body, "max_tokens").value_or(1) < 1) {
    it.answer(400, error_body("invalid_argument",
                              "prompt must be a string and max_tokens a whole number from 1"));
  } else if (state_.is_draining()) {
    it.answer(503, error_body("unavailable", "the engine drains"));
  } else if (!options_.model.empty() && model != options_.model) {
    it.answer(404, error_body("not_found", "the model is not loaded"));
  } else if (!adapter.empty() && !state_.has_adapter(adapter)) {
    it.answer(404, error_body("not_found", "the adapter is not loaded"));
  } else {
    return false;
  }
  return true;
}

void engine_server::order(const std::shared_ptr<call>& it) {
  const auto body = object_body(*it);
  if (!body) {
    return;
  }
  const auto id = string_field(*body, "order_id");
  const auto token = integer_field(*body, "fencing_token");
  if (!id || !token) {
    it->answer(400, error_body("invalid_argument", "order_id and fencing_token are needed"));
    return;
  }
  switch (orders_.receive(*id, "", *token, *body, wall_now())) {
  case order_book::verdict::stale:
    it->answer(409, {{"fencing_token", orders_.greatest_token("")}});
    return;
  case order_book::verdict::repeated:
    it->answer(200, {{"applied", true}, {"repeated", true}});
    return;
  case order_book::verdict::in_progress:
    order_callers_[*id].push_back(it);
    return;
  case order_book::verdict::execute:
    execute(it, *id, *body);
    return;
  }
}

void engine_server::execute(const std::shared_ptr<call>& it, const std::string& order_id,
                            const json& body) {
  const std::string kind = string_field(body, "kind").value_or("");
  const time_point now = loop_.now();
  if (kind == "load_version" && integer_field(body, "version")) {
    const bool fails = http().plan().take(fault_kind::swap_failure, "order", now).has_value();
    order_callers_[order_id].push_back(it);
    state_.start_swap(order_id, *integer_field(body, "version"), fails, now);
    pump();
    return;
  }
  bool known = true;
  if (kind == "load_adapter" && string_field(body, "adapter")) {
    state_.load_adapter(*string_field(body, "adapter"));
  } else if (kind == "set_role" && string_field(body, "role")) {
    state_.set_role(*string_field(body, "role"), now);
  } else if (kind == "drain") {
    state_.drain(now);
  } else {
    known = false;
  }
  orders_.finish(order_id, known);
  if (known) {
    it->answer(200, {{"applied", true}, {"repeated", false}});
  } else {
    it->answer(400, error_body("invalid_argument", "unknown kind of order, or a field is missing"));
  }
}

void engine_server::load(call& it) {
  const time_point now = loop_.now();
  const engine_load load = state_.load(now);
  it.answer(200, {{"endpoint", options_.endpoint},
                  {"incarnation", incarnation_},
                  {"running", load.running},
                  {"queued", load.queued},
                  {"kv_used", load.kv_used},
                  {"kv_total", options_.engine.kv_total},
                  {"tokens_per_second", load.tokens_per_second},
                  {"weight_version", load.weight_version},
                  {"role", load.role},
                  {"draining", load.draining},
                  {"as_of_ms", to_milliseconds(wall_now() - (now - load.as_of))}});
}

void engine_server::cache_call(call& it, const std::string& kind) {
  const time_point now = loop_.now();
  if (kind == "cache_events") {
    it.answer(200, state_.cache().events_after(query_integer(it.request(), "after", 0), now));
    return;
  }
  if (kind == "kv_export") {
    const json chain = state_.cache().export_chain(query_text(it.request(), "prefix_hash"));
    if (chain.is_null()) {
      it.answer(404, error_body("not_found", "the prefix is not cached"));
    } else {
      it.answer(200, chain);
    }
    return;
  }
  if (const auto body = object_body(it)) {
    it.answer(200, {{"imported", state_.cache().import_chain(*body, now)}});
  }
}

void engine_server::pump() {
  const std::int64_t crashes = crashes_;
  for (const auto& event : state_.advance(loop_.now())) {
    std::visit([this](const auto& it) { apply(it); }, event);
    if (crashes_ != crashes) {
      // What was computed before the crash is lost with the process.
      return;
    }
  }
  if (const auto due = state_.next_due()) {
    step_timer_.start_once(*due - loop_.now());
  } else {
    step_timer_.cancel();
  }
}

void engine_server::apply(const request_started& it) {
  const auto found = completions_.find(it.id);
  if (found == completions_.end()) {
    return;
  }
  if (const auto marker = http().plan().take_crash(found->second.prompt, loop_.now())) {
    http().crash(marker->length);
  }
}

void engine_server::apply(const token_made& it) {
  const auto found = completions_.find(it.id);
  if (found == completions_.end()) {
    return;
  }
  completion& target = found->second;
  if (!target.caller->is_open()) {
    // The connection was dropped without notice, as in an outage.
    completions_.erase(found);
    state_.cancel(it.id, loop_.now());
    return;
  }
  target.text += it.text;
  if (target.stream) {
    target.caller->send_frame(sse({{"attempt", target.caller->attempt()},
                                   {"index", it.index},
                                   {"text", it.text},
                                   {"weight_version", it.weight_version}}));
  }
}

void engine_server::apply(const request_finished& it) {
  const auto found = completions_.find(it.id);
  if (found == completions_.end()) {
    return;
  }
  const completion target = std::move(found->second);
  completions_.erase(found);
  json last = closing(*target.caller, it);
  if (target.stream) {
    target.caller->send_frame(sse(last));
    target.caller->send_frame("data: [DONE]\n\n");
    target.caller->finish_stream();
    return;
  }
  last["text"] = target.text;
  target.caller->answer(200, last, {{"x-attempt-id", target.caller->attempt()}});
}

void engine_server::apply(const swap_finished& it) {
  orders_.finish(it.order_id, it.applied);
  const auto callers = order_callers_.extract(it.order_id);
  if (callers.empty()) {
    return;
  }
  bool repeated = false;
  for (const auto& caller : callers.mapped()) {
    if (it.applied) {
      caller->answer(200, {{"applied", true}, {"repeated", repeated}});
    } else {
      json body = error_body("unavailable", "the version could not be loaded");
      body["applied"] = false;
      caller->answer(500, body);
    }
    repeated = true;
  }
}

} // namespace boragedoor::standin
