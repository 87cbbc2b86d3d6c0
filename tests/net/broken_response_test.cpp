#include "net/http_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <catch2/catch.hpp>

#include "http1/invalid_heads.h"
#include "http1/raw_peer.h"

namespace boragedoor::net {

namespace {

constexpr duration patience = seconds(5);

struct seen_end {
  std::optional<http_reply> reply;
  std::optional<http_failure> failure;
  std::string data;
};

} // namespace

// Guards against the answer of a server in trouble that reaches the caller as a sound one.
TEST_CASE("responses that are broken") {
  auto loop = event_loop::create().value();
  std::function<void(http1::raw_connection&)> answer;
  http1::raw_server server(*loop, [&](http1::raw_connection& it) {
    if (it.received.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    if (it.received.starts_with("GET")) {
      it.received.clear();
      it.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    answer(it);
  });
  http_client client(*loop);
  const bool streamed = GENERATE(false, true);
  const bool used_connection = GENERATE(false, true);
  INFO((streamed ? "streamed" : "collected")
       << (used_connection ? ", on a used connection" : ", on a new connection"));
  const auto call = [&](std::string method, std::string body) {
    http_call_spec spec;
    spec.target = server.address();
    spec.method = std::move(method);
    spec.body = std::move(body);
    seen_end end;
    http_callbacks callbacks;
    if (streamed) {
      callbacks.on_chunk = [&](std::string_view data) { end.data += data; };
    }
    callbacks.on_reply = [&](http_reply it) { end.reply = std::move(it); };
    callbacks.on_failure = [&](http_failure it) { end.failure = std::move(it); };
    client.send(std::move(spec), std::move(callbacks));
    REQUIRE(loop->run_until([&] { return end.reply || end.failure; }, patience));
    return end;
  };
  if (used_connection) {
    REQUIRE(call("GET", "").reply);
  }

  SECTION("a response without a length that ends while its request is being written fails") {
    constexpr std::size_t received_before_end = 64UL * 1024;
    enum class ending { reset, close_then_reset, close };
    const ending how = GENERATE(ending::reset, ending::close_then_reset, ending::close);
    const std::size_t size = GENERATE(256UL * 1024, 2UL * 1024 * 1024, 16UL * 1024 * 1024);
    INFO("ending " << static_cast<int>(how) << ", size " << size);
    answer = [&](http1::raw_connection& it) {
      if (!std::exchange(it.is_answered, true)) {
        it.send("HTTP/1.1 200 OK\r\n\r\npart");
        if (how != ending::reset) {
          it.close();
        }
      }
      if (it.received.size() > received_before_end && how != ending::close) {
        it.received.clear();
        it.reset();
      }
    };
    const seen_end end = call("POST", std::string(size, 'x'));
    CHECK((end.failure && !end.failure->nothing_sent));
  }

  SECTION("a response without a length fails while its request waits in the system's buffers") {
    constexpr duration until_written = milliseconds(100);
    answer = [&](http1::raw_connection& it) {
      it.set_reading(false);
      loop->post_after(until_written, [&] {
        it.send("HTTP/1.1 200 OK\r\n\r\npart");
        it.close();
      });
    };
    const seen_end end = call("POST", std::string(2UL * 1024 * 1024, 'x'));
    CHECK((end.failure && !end.failure->nothing_sent));
  }

  SECTION("a response without a length that comes after its request was received is whole") {
    const std::size_t size = 4UL * 1024 * 1024;
    answer = [&](http1::raw_connection& it) {
      if (it.received.size() > size) {
        it.received.clear();
        it.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        it.close();
      }
    };
    const seen_end end = call("POST", std::string(size, 'x'));
    REQUIRE(end.reply);
    CHECK((streamed ? end.data : end.reply->body) == "whole");
  }

  SECTION("a response whose status is none, or an interim one that is not skipped, fails") {
    const std::string_view status =
        GENERATE(from_range(testing::invalid_statuses),
                 values<std::string_view>({"101 Switching", "103 Early"}));
    INFO(status);
    answer = [&](http1::raw_connection& it) {
      it.received.clear();
      it.send("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 2\r\n\r\nok");
    };
    const seen_end end = call("POST", "body");
    CHECK((end.failure && end.failure->cause.code == error_code::protocol));
  }

  SECTION("a response with a line in its head that is no field fails") {
    const std::string_view line = GENERATE(from_range(testing::invalid_field_lines));
    const std::string_view framing = GENERATE("", "Content-Length: 2\r\n");
    const bool first = GENERATE(false, true);
    INFO(line << (first ? ", as the first line" : "") << ", " << framing);
    answer = [&](http1::raw_connection& it) {
      it.received.clear();
      const std::string other = "X-Other: 1\r\n";
      const std::string odd = std::string(line) + "\r\n";
      it.send("HTTP/1.1 200 OK\r\n" + (first ? odd + other : other + odd) + std::string(framing) +
              "\r\nok");
      if (framing.empty()) {
        it.close();
      }
    };
    const seen_end end = call("POST", "body");
    CHECK((end.failure && end.failure->cause.code == error_code::protocol));
  }

  SECTION("interim responses are skipped") {
    answer = [&](http1::raw_connection& it) {
      it.received.clear();
      it.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    const seen_end end = call("POST", "body");
    REQUIRE(end.reply);
    CHECK(end.reply->status == 200);
    CHECK((streamed ? end.data : end.reply->body) == "ok");
  }
}

} // namespace boragedoor::net
