#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "endpoint_links.h"
#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

constexpr std::string_view plain_head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                                        "Response-Signature: sig\r\nContent-Length: 11\r\n\r\n";
constexpr std::string_view plain_body = "whole body.";
constexpr std::string_view unframed_head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: sig\r\n\r\n";
constexpr std::string_view stream_head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view stream_text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::string_view stream_body =
    "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Bytes of the text in the first `n` bytes of `stream_body`.
std::size_t data_bytes(std::size_t n) {
  constexpr std::size_t chunk_bytes = 20;
  constexpr std::size_t size_line_bytes = 3;
  constexpr std::size_t text_bytes = 15;
  std::size_t sum = 0;
  for (std::size_t start = size_line_bytes; start < n && sum < stream_text.size();
       start += chunk_bytes) {
    sum += std::min(n - start, text_bytes);
  }
  return sum;
}

/// How a replica ends a response early.
enum class ending { close, reset };

/// What a caller sees of a response.
struct seen_response {
  int status = 0;
  std::string body;
  bool ended = false;
  bool complete = false;
};

/// A service whose first replica sends the beginning of a response and ends the connection, and
/// whose second one answers every request with an error. The first one is preferred, because the
/// second one states that it is busy.
struct broken_response_fixture : platform_fixture {
  broken_response_fixture()
      : raw(*loop, [this](http1::raw_connection& it) {
          if (it.received.find("\r\n\r\n") == std::string::npos) {
            return;
          }
          it.received.clear();
          it.send(std::string_view(response).substr(0, sent_bytes));
          how == ending::close ? it.close() : it.reset();
        }) {}

  void announce(const std::string& id, const std::string& service, const net::address& address) {
    announce_raw_replica(store, id, service, address);
    REQUIRE(loop->run_until([&] { return first->context().endpoints.find(id) != nullptr; },
                            wait_limit));
  }

  /// Announces the raw replica. With `relayed`, the first instance reaches no endpoint, so the
  /// second one forwards.
  void use(const std::string& service, bool relayed) {
    announce("raw", service, raw.address());
    if (relayed) {
      start("second", second);
      REQUIRE(loop->run_until(
          [&] {
            return second->context().endpoints.find("raw") != nullptr &&
                   first->members().members().all().size() == 2;
          },
          wait_limit));
      links = put_links_before(*loop, first->context().endpoints);
      set_links(links, link_state::refusing);
    }
    raw_entry = *first->context().endpoints.find("raw");
  }

  seen_response ask(const std::string& target) {
    seen_response seen;
    http1::call_spec spec;
    spec.target = first->callers_address();
    spec.message = {"POST",
                    target,
                    {{"Host", "a.example"},
                     {"Attempt-Id", "a1"},
                     {"Deadline-Ms", "2000"},
                     {"Authorization", "Bearer key-n"}},
                    "body"};
    spec.new_connection = true;
    http1::call_callbacks callbacks;
    callbacks.on_head = [&](const http1::response& head) {
      seen.status = head.status;
      return true;
    };
    callbacks.on_data = [&](std::string_view data) { seen.body += data; };
    callbacks.on_end = [&](http1::call_outcome outcome, const http1::response&) {
      seen.ended = true;
      seen.complete = outcome == http1::call_outcome::complete;
    };
    caller.send(std::move(spec), std::move(callbacks));
    REQUIRE(loop->run_until([&] { return seen.ended; }, wait_limit));
    return seen;
  }

  /// Has the whole response sent and closed in order.
  seen_response ask_whole(const std::string& target, std::string whole) {
    response = std::move(whole);
    sent_bytes = response.size();
    how = ending::close;
    seen_response seen = ask(target);
    forget_failures();
    return seen;
  }

  /// Otherwise the replica is soon avoided.
  void forget_failures() {
    first->context().endpoints.remove("raw");
    first->context().endpoints.put(raw_entry);
  }

  /// Plays a response that ends after each of its bytes in turn and calls `check`.
  void for_each_break(std::string_view whole, const std::string& target,
                      const std::function<void(const seen_response&)>& check) {
    response = whole;
    for (const ending one : {ending::close, ending::reset}) {
      how = one;
      for (sent_bytes = 0; sent_bytes < response.size(); ++sent_bytes) {
        INFO("after " << sent_bytes << " bytes, " << (one == ending::close ? "closed" : "reset"));
        check(ask(target));
        forget_failures();
      }
    }
  }

  http1::raw_server raw;
  dispatch::endpoint_entry raw_entry;
  std::string response;
  std::size_t sent_bytes = 0;
  ending how = ending::close;
  std::vector<std::unique_ptr<link_stand_in>> links;
};

} // namespace

// Guards against a response whose replica stopped in its head or body reaching the caller as a
// whole one, and against the error of the next replica inside a stream.
TEST_CASE("a response that ends early never reaches the caller as a complete one") {
  broken_response_fixture it;
  const bool relayed = GENERATE(false, true);

  SECTION(relayed ? "of a look-up, through another instance" : "of a look-up") {
    it.use("plain", relayed);
    it.plain->omit_signature = true;
    const std::string whole = std::string(plain_head) + std::string(plain_body);
    it.for_each_break(whole, "/plans/7", [&](const seen_response& seen) {
      CHECK(seen.complete);
      CHECK(seen.status == 502);
      CHECK(seen.body.find("answer to") == std::string::npos);
    });
  }

  SECTION(relayed ? "without a length, through another instance" : "without a length") {
    it.use("plain", relayed);
    it.plain->omit_signature = true;
    it.for_each_break(unframed_head, "/plans/7", [&](const seen_response& seen) {
      CHECK(seen.complete);
      CHECK(seen.status == 502);
    });
  }

  SECTION(relayed ? "of a stream, through another instance" : "of a stream") {
    it.use("models", relayed);
    const std::string whole = std::string(stream_head) + std::string(stream_body);
    it.for_each_break(whole, "/chat/1", [&](const seen_response& seen) {
      if (it.sent_bytes < stream_head.size()) {
        CHECK(seen.complete);
        CHECK(seen.status == 502);
      } else {
        CHECK_FALSE(seen.complete);
        CHECK(seen.status == 200);
        CHECK(stream_text.starts_with(seen.body));
        if (it.how == ending::close) {
          CHECK(seen.body.size() == data_bytes(it.sent_bytes - stream_head.size()));
        }
      }
    });
  }
}

// Guards against a stream with a part of an event at its end that reaches the caller as complete:
// the connection of a crashed replica is closed in order by its system.
TEST_CASE("a stream that ends inside an event never reaches the caller as a complete one") {
  constexpr std::string_view head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: sig\r\n"
      "Content-Type: text/event-stream\r\n";
  const bool relayed = GENERATE(false, true);
  const bool resumable = GENERATE(true, false);
  INFO((relayed ? "relayed, " : "") << (resumable ? "resumable" : "not resumable"));
  const std::string target = "/chat/1";
  broken_response_fixture it;
  json configuration = make_configuration(4);
  for (json& route : configuration["routes"]) {
    if (route["name"] == "chat") {
      route["resumable"] = resumable;
    }
  }
  it.store.put("op/config", configuration);
  REQUIRE(
      it.loop->run_until([&] { return it.first->context().routes.version() == 4; }, wait_limit));
  it.use("models", relayed);

  SECTION("after each of its bytes, without a length") {
    const std::string line_end =
        GENERATE(std::string("\n"), std::string("\r\n"), std::string("\r"));
    const std::string first_event = "id: 1" + line_end + "data: a" + line_end + line_end;
    const std::string text = first_event + "id: 2" + line_end + "data: b" + line_end + line_end;
    for (std::size_t n = 0; n <= text.size(); ++n) {
      INFO("after " << n << " bytes of " << text);
      const auto seen = it.ask_whole(target, std::string(head) + "\r\n" + text.substr(0, n));
      CHECK(seen.status == 200);
      CHECK(seen.body == text.substr(0, n));
      CHECK(seen.complete == (n == 0 || n == first_event.size() || n == text.size()));
    }
  }

  SECTION("although its length or its chunks are complete") {
    const std::string part = "id: 1\ndata: a\n\nid: 2\nda";
    const std::string framing =
        GENERATE_COPY("Content-Length: " + std::to_string(part.size()) + "\r\n\r\n" + part,
                      "Transfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}", part.size()) +
                          "\r\n" + part + "\r\n0\r\n\r\n");
    const auto seen = it.ask_whole(target, std::string(head) + framing);
    CHECK(seen.body == part);
    CHECK_FALSE(seen.complete);
  }

  SECTION("but one that ends behind an event does") {
    const std::string text = GENERATE(
        std::string(stream_text), std::string(stream_text) + ": a comment",
        std::string(stream_text) + ": a comment\n", std::string(stream_text) + "\n",
        std::string(stream_text) + "id: 3\ndata: " + std::string(300UL * 1024, 'x') + "\n\n");
    const auto seen = it.ask_whole(target, std::string(head) + "\r\n" + text);
    CHECK(seen.body == text);
    CHECK(seen.complete);
  }

  SECTION("but a response that is no stream of events does") {
    const auto seen =
        it.ask_whole(target, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: sig\r\n"
                             "Content-Type: application/json\r\n\r\n{}");
    CHECK(seen.body == "{}");
    CHECK(seen.complete);
  }
}

} // namespace boragedoor::platform
