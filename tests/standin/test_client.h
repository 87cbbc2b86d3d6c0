#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/stand_in.h"

#include <catch2/catch.hpp>

namespace boragedoor::standin {

/// Far longer than anything takes, so that a slow machine changes no verdict.
constexpr duration generous_wait = seconds(60);

/// One call as it looks to its caller.
struct test_call {
  std::optional<int> status;
  net::headers fields;
  std::string body;
  bool failed = false;
  bool refused = false;
  // The call holds this record, so owning the call here would keep both forever.
  std::weak_ptr<net::http_call> handle;

  void cancel() const {
    if (const auto it = handle.lock()) {
      it->cancel();
    }
  }

  [[nodiscard]] bool is_done() const { return failed || status.has_value(); }

  /// The body, which must be JSON.
  [[nodiscard]] json value() const {
    const auto parsed = parse_json(body);
    REQUIRE(parsed);
    return parsed.value();
  }
};

/// A caller on the loop of the test.
class test_client {
public:
  test_client() : loop_(net::event_loop::create().value()), client_(*loop_) {}

  [[nodiscard]] net::event_loop& loop() { return *loop_; }

  /// Starts a call; its body grows as it arrives.
  std::shared_ptr<test_call> start(const stand_in& to, const std::string& method,
                                   const std::string& path, const json& body = {},
                                   const net::headers& fields = {}) {
    auto seen = std::make_shared<test_call>();
    net::http_call_spec spec;
    spec.target = to.local_address();
    spec.method = method;
    spec.path = path;
    spec.fields = fields;
    spec.body = body.is_null() ? "" : to_text(body);
    spec.progress_timeout = generous_wait;
    net::http_callbacks callbacks;
    callbacks.on_chunk = [seen](std::string_view data) { seen->body += data; };
    callbacks.on_reply = [seen](const net::http_reply& reply) {
      seen->status = reply.status;
      seen->fields = reply.fields;
    };
    callbacks.on_failure = [seen](const net::http_failure& failure) {
      seen->failed = true;
      seen->refused = failure.nothing_sent;
    };
    seen->handle = client_.send(std::move(spec), std::move(callbacks));
    return seen;
  }

  /// Calls and waits for the end.
  test_call send(const stand_in& to, const std::string& method, const std::string& path,
                 const json& body = {}, const net::headers& fields = {}) {
    const auto seen = start(to, method, path, body, fields);
    REQUIRE(wait([&] { return seen->is_done(); }));
    return *seen;
  }

  bool wait(const std::function<bool()>& done) { return loop_->run_until(done, generous_wait); }

  /// Orders a fault over HTTP.
  void fault(const stand_in& to, const json& body) {
    REQUIRE(send(to, "POST", "/fault", body).status == 200);
  }

private:
  std::unique_ptr<net::event_loop> loop_;
  net::http_client client_;
};

} // namespace boragedoor::standin
