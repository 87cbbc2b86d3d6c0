#include "daemon/caller_gateway.h"

#include <algorithm>
#include <utility>

#include "configuration/routes.h"
#include "daemon/completion_request.h"
#include "net/event_stream.h"

namespace boragedoor::daemon {

namespace {

// Addresses in one answer: enough to survive the loss of a data centre, few enough to stay small.
constexpr std::size_t addresses_per_answer = 6;

// A caller that reads slower than its stream is produced must not fill this instance's memory.
constexpr std::size_t max_pending_bytes = 4UL * 1024 * 1024;

constexpr duration service_deadline = seconds(30);

json usage_of(const completion_result& it) {
  return {{"prompt_tokens", it.prompt_tokens},
          {"completion_tokens", it.completion_tokens},
          {"total_tokens", it.prompt_tokens + it.completion_tokens}};
}

json choice(const std::string& text, const json& finish_reason) {
  return {{"index", 0}, {"text", text}, {"finish_reason", finish_reason}};
}

json frame(const completion_spec& spec, const std::string& text, const json& finish_reason) {
  return {{"id", spec.request_id},
          {"object", "text_completion"},
          {"model", spec.model},
          {"choices", json::array({choice(text, finish_reason)})}};
}

std::string query_text(const net::http_request& request) {
  std::string text;
  for (const auto& [key, value] : request.query) {
    text += (text.empty() ? '?' : '&') + net::encode_component(key) + '=' +
            net::encode_component(value);
  }
  return text;
}

} // namespace

caller_gateway::caller_gateway(const daemon_context& context, const access_control& access,
                               completion_task& completions, service_task& services)
    : context_(context), access_(access), completions_(completions), services_(services) {}

void caller_gateway::on_list(std::span<const listed_instance> list) {
  list_.assign(list.begin(), list.end());
  std::erase_if(draining_, [&](const std::string& id) {
    return std::ranges::find(list_, id, &listed_instance::id) == list_.end();
  });
}

void caller_gateway::on_draining(const std::string& instance) {
  draining_.insert(instance);
}

std::string caller_gateway::next_request_id() {
  return context_.settings.instance.id + '-' + context_.boot_id.substr(0, 8) + '-' +
         std::to_string(++last_request_);
}

void caller_gateway::refuse(const exchange_ptr& exchange, const api_error& reason) {
  events::event it;
  it.number = events::event_number::request_refused;
  it.details = {{"reason", reason.code}, {"path", exchange->request().path}};
  context_.record(std::move(it));
  respond_error(*exchange, reason);
}

void caller_gateway::lookup(const exchange_ptr& exchange) const {
  const auto& self = context_.settings.instance;
  const auto wanted = exchange->request().query.find("data_centre");
  const std::string near =
      wanted == exchange->request().query.end() ? self.data_centre : wanted->second;
  std::string region;
  for (const auto& it : list_) {
    if (it.data_centre == near) {
      region = it.region;
    }
  }
  std::vector<const listed_instance*> live;
  for (const auto& it : list_) {
    const bool is_self = it.id == self.id;
    if (!it.leaving && !draining_.contains(it.id) && (!is_self || serving_)) {
      live.push_back(&it);
    }
  }
  // Instances of equal distance come in random order, which spreads the callers.
  std::shuffle(live.begin(), live.end(), context_.random);
  std::ranges::stable_sort(live, {}, [&](const listed_instance* it) {
    return it->data_centre == near ? 0 : it->region == region ? 1 : 2;
  });
  if (live.size() > addresses_per_answer) {
    live.resize(addresses_per_answer);
  }
  json rows = json::array();
  for (const auto* it : live) {
    rows.push_back({{"instance", it->id},
                    {"address", net::to_string(it->callers)},
                    {"data_centre", it->data_centre}});
  }
  exchange->respond_json(
      200, {{"addresses", rows}, {"keep_ms", context_.settings.timing.address_keep.count()}});
}

void caller_gateway::complete(const exchange_ptr& exchange) {
  const auto owner = access_.authenticate(exchange->request().fields);
  if (!owner) {
    refuse(exchange, owner.error());
    return;
  }
  auto parsed = parse_completion_request(exchange->request().body, *access_.configuration(),
                                         owner.value().workspace, context_.now());
  if (const auto* reason = std::get_if<api_error>(&parsed)) {
    refuse(exchange, *reason);
    return;
  }
  auto& request = std::get<completion_request>(parsed);
  request.spec.request_id = next_request_id();
  request.spec.key_id = owner.value().key_id;
  if (request.stream) {
    stream_completion(exchange, std::move(request.spec));
  } else {
    whole_completion(exchange, std::move(request.spec));
  }
}

void caller_gateway::whole_completion(const exchange_ptr& exchange, completion_spec spec) {
  completion_callbacks callbacks;
  callbacks.on_complete = [exchange, spec](const completion_result& done) {
    json body = frame(spec, done.text, done.finish_reason);
    body["weight_versions"] = done.weight_versions;
    body["usage"] = usage_of(done);
    exchange->respond_json(200, body, {{"x-request-id", spec.request_id}});
  };
  callbacks.on_failure = [exchange](const api_error& reason) { respond_error(*exchange, reason); };
  const auto number = completions_.submit(std::move(spec), std::move(callbacks));
  exchange->on_caller_left([this, number] { completions_.cancel(number); });
}

void caller_gateway::stream_completion(const exchange_ptr& exchange, completion_spec spec) {
  const auto number = std::make_shared<std::uint64_t>(0);
  const auto started = std::make_shared<bool>(false);
  const auto begin = [exchange, started, id = spec.request_id] {
    if (!*started) {
      *started = true;
      exchange->start_stream(200, {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-cache"},
                                   {"x-request-id", id}});
    }
  };
  completion_callbacks callbacks;
  callbacks.on_token = [this, exchange, begin, spec, number](const requests::relayed_frame& it) {
    begin();
    json body = frame(spec, it.text, nullptr);
    body["weight_version"] = it.weight_version;
    exchange->send_chunk(net::format_event(to_text(body)));
    if (exchange->pending_bytes() > max_pending_bytes) {
      exchange->abort();
      context_.post([this, number] { completions_.cancel(*number); });
    }
  };
  callbacks.on_complete = [exchange, begin, spec](const completion_result& done) {
    begin();
    json body = frame(spec, "", done.finish_reason);
    body["weight_versions"] = done.weight_versions;
    body["usage"] = usage_of(done);
    exchange->send_chunk(net::format_event(to_text(body)) + net::format_event("[DONE]"));
    exchange->finish_stream();
  };
  callbacks.on_failure = [exchange, started](const api_error& reason) {
    if (!*started) {
      respond_error(*exchange, reason);
      return;
    }
    // The stream ends without its end marker, so no caller takes it for a whole answer.
    exchange->send_chunk(net::format_event(to_text(to_json(reason))));
    exchange->finish_stream();
  };
  *number = completions_.submit(std::move(spec), std::move(callbacks));
  exchange->on_caller_left([this, number] { completions_.cancel(*number); });
}

void caller_gateway::call_service(const exchange_ptr& exchange, std::string_view rest) {
  const auto& request = exchange->request();
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string service(rest.substr(0, slash));
  const std::string path = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
  const auto& configuration = access_.configuration();
  if (!configuration) {
    refuse(exchange,
           unavailable_error("not_ready", "this instance has no configuration yet", seconds(1)));
    return;
  }
  const auto route = config::find_route(*configuration, service, request.method, path);
  const auto pool = std::ranges::find(configuration->pools, service, &config::pool::service);
  if (!route || pool == configuration->pools.end()) {
    refuse(exchange, not_found_error("no route for " + request.method + ' ' + path +
                                     " of service \"" + service + '"'));
    return;
  }
  service_call_spec spec;
  if (!route->open) {
    const auto owner = access_.authenticate(request.fields);
    if (!owner) {
      refuse(exchange, owner.error());
      return;
    }
    spec.workspace = owner.value().workspace;
    spec.key_id = owner.value().key_id;
  }
  spec.request_id = next_request_id();
  spec.service = service;
  spec.pool = pool->name;
  spec.method = request.method;
  spec.path = net::encode_path(path) + query_text(request);
  spec.content_type = net::find_header(request.fields, "Content-Type");
  spec.body = request.body;
  spec.idempotent = route->idempotent;
  spec.idempotency_key = net::find_header(request.fields, "Idempotency-Key");
  spec.deadline = context_.now() + service_deadline;
  service_callbacks callbacks;
  callbacks.on_answer = [exchange, id = spec.request_id](const service_answer& it) {
    net::headers fields = {{"x-request-id", id}};
    if (!it.content_type.empty()) {
      fields.emplace_back("Content-Type", it.content_type);
    }
    exchange->respond(it.status, fields, it.body);
  };
  callbacks.on_failure = [exchange](const api_error& reason) { respond_error(*exchange, reason); };
  const auto number = services_.submit(std::move(spec), std::move(callbacks));
  exchange->on_caller_left([this, number] { services_.cancel(number); });
}

} // namespace boragedoor::daemon
