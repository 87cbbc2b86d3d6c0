#include "daemon/engine_attempt.h"

#include <optional>
#include <utility>

#include "base/json.h"
#include "net/event_stream.h"

namespace boragedoor::daemon {

struct engine_attempt::impl : std::enable_shared_from_this<engine_attempt::impl> {
  engine_callbacks callbacks;
  std::string attempt;
  std::uint64_t first_index = 0;
  std::uint64_t next_index = 0;
  std::shared_ptr<net::http_call> call;
  net::event_stream_parser parser;
  std::optional<engine_completion> completion;
  bool ended = false;
  int status = 0;

  void fail(attempt_fault fault, bool nothing_sent, std::string message) {
    if (ended) {
      return;
    }
    ended = true;
    if (call) {
      call->cancel();
    }
    const auto fn = std::move(callbacks.on_failure);
    callbacks = {};
    fn({fault, nothing_sent, std::move(message)});
  }

  void receive(std::string_view bytes) {
    if (status != 200) {
      return;
    }
    const auto keep = shared_from_this();
    for (const auto& data : parser.feed(bytes)) {
      if (ended) {
        return;
      }
      take_event(data);
    }
    if (parser.overflowed()) {
      fail(attempt_fault::wrong_answer, false, "the endpoint sent an oversized frame");
    }
  }

  void take_event(const std::string& data) {
    if (data == "[DONE]") {
      if (!completion) {
        fail(attempt_fault::wrong_answer, false, "the stream ended without a last frame");
        return;
      }
      ended = true;
      const auto fn = std::move(callbacks.on_complete);
      callbacks = {};
      fn(*completion);
      return;
    }
    const auto value = parse_json(data);
    if (!value || string_field(value.value(), "attempt") != attempt) {
      fail(attempt_fault::wrong_answer, false, "the endpoint sent a frame of another attempt");
      return;
    }
    if (const auto reason = string_field(value.value(), "finish_reason")) {
      take_completion(*reason, value.value());
    } else {
      take_token(value.value());
    }
  }

  void take_token(const json& value) {
    const auto index = integer_field(value, "index");
    const auto text = string_field(value, "text");
    const auto version = integer_field(value, "weight_version");
    if (!index || !text || !version || completion ||
        static_cast<std::uint64_t>(*index) != first_index + next_index) {
      fail(attempt_fault::wrong_answer, false, "the endpoint sent a frame out of order");
      return;
    }
    callbacks.on_frame({next_index++, *text, static_cast<std::uint64_t>(*version)});
  }

  void take_completion(const std::string& reason, const json& value) {
    engine_completion it;
    it.finish_reason = reason;
    const auto versions = value.find("weight_versions");
    if (versions != value.end() && versions->is_array()) {
      for (const json& version : *versions) {
        if (version.is_number_unsigned()) {
          it.weight_versions.push_back(version.get<std::uint64_t>());
        }
      }
    }
    const auto usage = value.find("usage");
    if (usage != value.end()) {
      it.prompt_tokens =
          static_cast<std::uint64_t>(integer_field(*usage, "prompt_tokens").value_or(0));
      it.cached_tokens =
          static_cast<std::uint64_t>(integer_field(*usage, "cached_tokens").value_or(0));
    }
    completion = std::move(it);
  }

  void connection_ended() {
    if (status != 200) {
      fail(attempt_fault::refused, false,
           "the endpoint answered with status " + std::to_string(status));
    } else {
      fail(attempt_fault::connection, false, "the stream ended early");
    }
  }
};

std::unique_ptr<engine_attempt> engine_attempt::start(const daemon_context& context,
                                                      const engine_request& request,
                                                      engine_callbacks callbacks) {
  auto state = std::make_shared<impl>();
  state->callbacks = std::move(callbacks);
  state->attempt = request.attempt;
  state->first_index = request.first_index;

  json body = {
      {"model", request.model}, {"prompt", request.prompt}, {"max_tokens", request.max_tokens},
      {"stream", true},         {"seed", request.seed},     {"priority", request.priority}};
  if (!request.resume_text.empty()) {
    body["resume_text"] = request.resume_text;
  }
  net::http_call_spec spec;
  spec.target = request.target;
  spec.method = "POST";
  spec.path = "/v1/completions";
  spec.fields = {{"Content-Type", "application/json"}, {"x-attempt-id", request.attempt}};
  spec.body = to_text(body);
  spec.progress_timeout = context.settings.timing.progress_timeout;
  spec.max_body_bytes = 64UL * 1024 * 1024;

  // The call outlives the attempt by one loop iteration at most, so it holds the state weakly.
  const std::weak_ptr<impl> weak = state;
  net::http_callbacks events;
  events.on_headers = [weak](const net::http_reply& reply) {
    if (const auto it = weak.lock()) {
      it->status = reply.status;
    }
  };
  events.on_chunk = [weak](std::string_view bytes) {
    if (const auto it = weak.lock()) {
      it->receive(bytes);
    }
  };
  events.on_reply = [weak](const net::http_reply& /*reply*/) {
    if (const auto it = weak.lock()) {
      it->connection_ended();
    }
  };
  events.on_failure = [weak](const net::http_failure& failure) {
    if (const auto it = weak.lock()) {
      const auto fault = failure.cause.code == error_code::timeout ? attempt_fault::silent
                                                                   : attempt_fault::connection;
      it->fail(fault, failure.nothing_sent, failure.cause.message);
    }
  };
  state->call = context.http.send(std::move(spec), std::move(events));
  return std::unique_ptr<engine_attempt>(new engine_attempt(std::move(state)));
}

engine_attempt::engine_attempt(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

engine_attempt::~engine_attempt() {
  const bool unfinished = !impl_->ended;
  impl_->ended = true;
  if (unfinished) {
    impl_->call->cancel();
  }
}

} // namespace boragedoor::daemon
