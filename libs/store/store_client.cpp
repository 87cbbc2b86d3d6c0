#include "store/store_client.h"

#include <utility>

#include "base/json.h"

namespace boragedoor::store {

namespace {

// The store answers in milliseconds; a call that takes longer than this is treated as lost.
constexpr duration call_timeout = seconds(2);

// Added to the wait of a watch, so that the store's own answer comes first.
constexpr duration watch_margin = seconds(2);

constexpr int read_back_attempts = 5;
constexpr duration read_back_delay = milliseconds(200);

// JSON escapes can make a value of the greatest size several times as long.
constexpr std::size_t max_reply_bytes = 8 * max_value_bytes;

constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_not_found = 404;

error unexpected(const net::http_reply& reply) {
  return {reply.status == status_too_many ? error_code::overloaded : error_code::unavailable,
          "the store answered with status " + std::to_string(reply.status)};
}

std::uint64_t version_of(const json& value, std::string_view name = "version") {
  return static_cast<std::uint64_t>(integer_field(value, name).value_or(0));
}

entry entry_from(const json& value) {
  return {string_field(value, "key").value_or(""), string_field(value, "value").value_or(""),
          version_of(value), bool_field(value, "deleted").value_or(false)};
}

result<listing> listing_from(const net::http_reply& reply, const char* field) {
  BOOST_OUTCOME_TRY(value, parse_json(reply.body));
  listing all;
  all.revision = version_of(value, "revision");
  const auto rows = value.is_object() ? value.find(field) : value.end();
  if (rows == value.end() || !rows->is_array()) {
    return error{error_code::protocol, "the store's answer has no list of entries"};
  }
  for (const json& row : *rows) {
    all.entries.push_back(entry_from(row));
  }
  return all;
}

write_result write_result_from(const result<net::http_reply>& reply, bool nothing_sent,
                               write_outcome when_not_found) {
  if (!reply) {
    return {nothing_sent ? write_outcome::not_executed : write_outcome::unknown, 0};
  }
  const auto value = parse_json(reply.value().body);
  const std::uint64_t version = value ? version_of(value.value()) : 0;
  switch (reply.value().status) {
  case 200:
    return {write_outcome::ok, version};
  case status_conflict:
    return {write_outcome::conflict, version};
  case status_not_found:
    return {when_not_found, 0};
  case status_too_many:
    return {write_outcome::not_executed, 0};
  default:
    // A server error can hide a write that took effect.
    return {write_outcome::unknown, 0};
  }
}

} // namespace

store_client::store_client(net::event_loop& loop, net::http_client& http, net::address target)
    : loop_(loop), http_(http), target_(std::move(target)) {}

void store_client::call(const char* kind, std::string method, std::string path, std::string body,
                        duration timeout, const reply_handler& done) {
  ++calls_[kind];
  net::http_call_spec spec;
  spec.target = target_;
  spec.method = std::move(method);
  spec.path = std::move(path);
  spec.body = std::move(body);
  spec.progress_timeout = timeout;
  spec.total_timeout = timeout;
  spec.max_body_bytes = max_reply_bytes;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, done](net::http_reply reply) {
    constexpr int first_server_error = 500;
    note_availability(reply.status < first_server_error);
    done(std::move(reply), false);
  };
  callbacks.on_failure = [this, done](const net::http_failure& failure) {
    note_availability(false);
    done(failure.cause, failure.nothing_sent);
  };
  http_.send(std::move(spec), std::move(callbacks));
}

void store_client::note_availability(bool available) {
  if (available != available_) {
    available_ = available;
    availability_changed_.emit(available);
  }
}

void store_client::get(const std::string& key,
                       std::function<void(result<std::optional<entry>>)> done) {
  call("get", "GET", "/kv/" + net::encode_path(key), "", call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         if (!reply) {
           done(reply.error());
         } else if (reply.value().status == status_not_found) {
           done(std::optional<entry>());
         } else if (reply.value().status != 200) {
           done(unexpected(reply.value()));
         } else if (const auto value = parse_json(reply.value().body); value) {
           done(std::optional<entry>(entry_from(value.value())));
         } else {
           done(value.error());
         }
       });
}

void store_client::list(const std::string& prefix, std::function<void(result<listing>)> done) {
  call("list", "GET", "/kv?prefix=" + net::encode_component(prefix), "", call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         if (!reply) {
           done(reply.error());
         } else if (reply.value().status != 200) {
           done(unexpected(reply.value()));
         } else {
           done(listing_from(reply.value(), "entries"));
         }
       });
}

void store_client::watch(const std::string& prefix, std::uint64_t after, duration wait,
                         std::function<void(result<listing>)> done) {
  const auto wait_ms = to_milliseconds(wait);
  call("watch", "GET",
       "/watch?prefix=" + net::encode_component(prefix) + "&after=" + std::to_string(after) +
           "&timeout_ms=" + std::to_string(wait_ms),
       "", wait + watch_margin,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         if (!reply) {
           done(reply.error());
         } else if (reply.value().status == status_gone) {
           done(error{error_code::not_found, "the store no longer keeps that revision"});
         } else if (reply.value().status != 200) {
           done(unexpected(reply.value()));
         } else {
           done(listing_from(reply.value(), "events"));
         }
       });
}

void store_client::write(write_request request, std::function<void(write_result)> done) {
  json body = {{"value", std::move(request.value)}};
  if (request.expect_version) {
    body["expect_version"] = *request.expect_version;
  }
  if (!request.lease.empty()) {
    body["lease"] = request.lease;
  }
  call("put", "PUT", "/kv/" + net::encode_path(request.key), to_text(body), call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool nothing_sent) {
         done(write_result_from(reply, nothing_sent, write_outcome::lease_missing));
       });
}

void store_client::write_settled(write_request request, std::function<void(write_result)> done) {
  write(request, [this, request, done = std::move(done)](write_result first) mutable {
    if (first.outcome != write_outcome::unknown) {
      done(first);
      return;
    }
    read_back(std::move(request), read_back_attempts, std::move(done));
  });
}

void store_client::read_back(write_request request, int attempts_left,
                             std::function<void(write_result)> done) {
  if (attempts_left == 0) {
    done({write_outcome::unknown, 0});
    return;
  }
  const std::string key = request.key;
  get(key, [this, request = std::move(request), attempts_left,
            done = std::move(done)](const result<std::optional<entry>>& seen) mutable {
    if (seen) {
      const auto& found = seen.value();
      if (found && found->value == request.value) {
        done({write_outcome::ok, found->version});
      } else {
        // The write may still be on its way to the store, or it took effect and another one has
        // replaced it since.
        done({write_outcome::unknown, 0});
      }
      return;
    }
    loop_.post_after(read_back_delay, [this, request = std::move(request), attempts_left,
                                       done = std::move(done)]() mutable {
      read_back(std::move(request), attempts_left - 1, std::move(done));
    });
  });
}

void store_client::remove(const std::string& key, std::optional<std::uint64_t> expect_version,
                          std::function<void(write_result)> done) {
  std::string path = "/kv/" + net::encode_path(key);
  if (expect_version) {
    path += "?expect_version=" + std::to_string(*expect_version);
  }
  call("delete", "DELETE", std::move(path), "", call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool nothing_sent) {
         done(write_result_from(reply, nothing_sent, write_outcome::conflict));
       });
}

void store_client::create_lease(duration ttl, std::function<void(result<std::string>)> done) {
  const json body = {{"ttl_ms", to_milliseconds(ttl)}};
  call("lease_create", "POST", "/lease", to_text(body), call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         if (!reply) {
           done(reply.error());
           return;
         }
         const auto value = parse_json(reply.value().body);
         if (reply.value().status != 200 || !value || !value.value().contains("lease")) {
           done(unexpected(reply.value()));
           return;
         }
         const json& lease = value.value()["lease"];
         done(lease.is_string() ? lease.get<std::string>() : to_text(lease));
       });
}

namespace {

result<void> lease_result(const result<net::http_reply>& reply) {
  if (!reply) {
    return reply.error();
  }
  if (reply.value().status == status_not_found) {
    return error{error_code::not_found, "the lease has expired"};
  }
  if (reply.value().status != 200) {
    return unexpected(reply.value());
  }
  return success();
}

} // namespace

void store_client::renew_lease(const std::string& lease, std::function<void(result<void>)> done) {
  call("lease_renew", "POST", "/lease/" + net::encode_component(lease) + "/renew", "", call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         done(lease_result(reply));
       });
}

void store_client::drop_lease(const std::string& lease, std::function<void(result<void>)> done) {
  call("lease_drop", "DELETE", "/lease/" + net::encode_component(lease), "", call_timeout,
       [done = std::move(done)](const result<net::http_reply>& reply, bool /*nothing_sent*/) {
         done(lease_result(reply));
       });
}

} // namespace boragedoor::store
