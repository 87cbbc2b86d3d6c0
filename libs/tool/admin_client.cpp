#include "tool/admin_client.h"

#include <optional>
#include <utility>

namespace boragedoor::tool {

namespace {

constexpr int http_ok = 200;
constexpr int http_multiple_choices = 300;
constexpr int http_unauthorized = 401;
constexpr int http_not_found = 404;
constexpr int http_server_error = 500;

bool is_success(int status) {
  return status >= http_ok && status < http_multiple_choices;
}

const json& error_object(const json& body) {
  static const json none = json::object();
  const auto it = body.find("error");
  return body.is_object() && it != body.end() && it->is_object() ? *it : none;
}

bool says_not_executed(const admin_reply& reply) {
  return string_field(error_object(reply.body), "executed") == "no";
}

/// Room for the events that a daemon keeps in memory (8,192 of about 400 bytes) and for a
/// configuration of 1 MB, with a large margin.
constexpr std::size_t max_reply_bytes = 64UL * 1024 * 1024;

std::string describe(const net::address& target, std::string_view what) {
  return to_string(target) + ": " + std::string(what);
}

} // namespace

/// What became of a request at one target.
struct admin_client::attempt {
  std::optional<admin_reply> reply;
  /// Why there is no usable reply.
  std::string failure;
  /// True when the target certainly did not execute the request.
  bool not_executed = false;
};

result<std::unique_ptr<admin_client>> admin_client::create(admin_options options) {
  BOOST_OUTCOME_TRY(loop, net::event_loop::create());
  return std::unique_ptr<admin_client>(new admin_client(std::move(options), std::move(loop)));
}

admin_client::admin_client(admin_options options, std::unique_ptr<net::event_loop> loop)
    : options_(std::move(options)), loop_(std::move(loop)),
      http_(std::make_unique<net::http_client>(*loop_)) {}

admin_client::attempt admin_client::send(const net::address& target, const admin_request& request) {
  net::http_call_spec spec;
  spec.target = target;
  spec.method = request.method;
  spec.path = request.path;
  spec.fields = {{"Authorization", "Bearer " + options_.token}};
  if (!request.body.is_null()) {
    spec.fields.emplace_back("Content-Type", "application/json");
    spec.body = to_text(request.body);
  }
  spec.progress_timeout = options_.timeout;
  spec.total_timeout = options_.timeout;
  spec.max_body_bytes = max_reply_bytes;

  std::optional<net::http_reply> reply;
  std::optional<net::http_failure> failure;
  net::http_callbacks callbacks;
  callbacks.on_reply = [&](net::http_reply it) { reply = std::move(it); };
  callbacks.on_failure = [&](net::http_failure it) { failure = std::move(it); };
  const auto call = http_->send(std::move(spec), std::move(callbacks));
  loop_->run_until([&] { return reply || failure; }, options_.timeout + seconds(1));
  if (!reply && !failure) {
    call->cancel();
    failure = net::http_failure{{error_code::timeout, "no reply in time"}, false};
  }
  if (failure) {
    return {std::nullopt, describe(target, failure->cause.message), failure->nothing_sent};
  }
  // Bodies of refusals may be empty; a success without a readable body is no usable reply.
  auto body = parse_json(reply->body);
  if (!body && is_success(reply->status)) {
    return {std::nullopt, describe(target, "the reply is not JSON"), false};
  }
  return {admin_reply{reply->status, body ? body.value() : json::object(), target}, {}, false};
}

result<admin_reply> admin_client::call_target(const net::address& target,
                                              const admin_request& request) {
  auto it = send(target, request);
  if (!it.reply) {
    return error{error_code::unavailable, it.failure};
  }
  return std::move(*it.reply);
}

result<admin_reply> admin_client::call(const admin_request& request) {
  std::string failures;
  bool maybe_executed = false;
  std::optional<admin_reply> refusal;
  for (const auto& target : options_.targets) {
    attempt it = send(target, request);
    if (it.reply) {
      it.reply->maybe_executed_before = maybe_executed;
      if (it.reply->status < http_server_error) {
        return std::move(*it.reply);
      }
      it.not_executed = says_not_executed(*it.reply);
      it.failure = describe(target, to_error(*it.reply).message);
      refusal = std::move(it.reply);
    }
    failures += (failures.empty() ? "" : "; ") + it.failure;
    maybe_executed = maybe_executed || !it.not_executed;
    if (!it.not_executed && !request.repeatable) {
      return error{error_code::outcome_unknown, "the outcome is unknown (" + failures + "); see '" +
                                                    request.outcome_command +
                                                    "' before you try again"};
    }
  }
  if (refusal) {
    return std::move(*refusal);
  }
  return error{error_code::unavailable,
               "no target replied (" + failures + "); check --target and that the daemons run"};
}

result<json> admin_client::fetch(const admin_request& request) {
  BOOST_OUTCOME_TRY(reply, call(request));
  if (!is_success(reply.status)) {
    return to_error(reply);
  }
  return std::move(reply.body);
}

error to_error(const admin_reply& reply) {
  if (reply.status == http_unauthorized) {
    return {error_code::unauthorized,
            "the daemon refused the operator token; check --token_file or BORAGEDOOR_TOKEN"};
  }
  const json& detail = error_object(reply.body);
  const std::string status = "status " + std::to_string(reply.status);
  std::string message = string_field(detail, "message").value_or("no reason given");
  message += " (" + string_field(detail, "code").value_or(status) + " from " +
             to_string(reply.target) + ')';
  if (reply.maybe_executed_before) {
    message += "; an earlier target may have executed the request already";
  }
  error_code code = error_code::invalid_argument;
  if (reply.status == http_not_found) {
    code = error_code::not_found;
  } else if (reply.status >= http_server_error) {
    code = error_code::unavailable;
  }
  return {code, std::move(message)};
}

} // namespace boragedoor::tool
