#include "net/http_client.h"
#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "http1/raw_peer.h"

namespace boragedoor::net {

namespace {

const address any_port{"127.0.0.1", 0};

/// A plain blocking socket, for callers that misbehave in ways the client cannot.
int connect_raw(const address& target) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(target.port);
  ::inet_pton(AF_INET, target.host.c_str(), &name.sin_addr);
  REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
  return fd;
}

struct outcome {
  int status = 0;
  std::string body;
  std::vector<std::string> chunks;
  std::optional<http_failure> failure;
  bool done = false;
};

http_callbacks record_into(outcome& it, bool chunked = false) {
  http_callbacks callbacks;
  if (chunked) {
    callbacks.on_chunk = [&it](std::string_view data) { it.chunks.emplace_back(data); };
  }
  callbacks.on_reply = [&it](const http_reply& reply) {
    it.status = reply.status;
    it.body = reply.body;
    it.done = true;
  };
  callbacks.on_failure = [&it](http_failure failure) {
    it.failure = std::move(failure);
    it.done = true;
  };
  return callbacks;
}

} // namespace

TEST_CASE("HTTP between a client and a server of one loop") {
  auto loop = event_loop::create().value();
  std::shared_ptr<http_exchange> held;
  http_handler handler = [](const std::shared_ptr<http_exchange>& exchange) {
    exchange->respond(200, {}, "hello");
  };
  auto server = http_server::listen(*loop, any_port, {}, [&](auto exchange) {
                  handler(std::move(exchange));
                }).value();
  http_client client(*loop);
  http_call_spec spec;
  spec.target = server->local_address();
  outcome seen;
  const auto wait = [&] { return loop->run_until([&] { return seen.done; }, seconds(5)); };

  SECTION("a whole reply arrives, and the connection is reused for the next") {
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    CHECK(seen.status == 200);
    CHECK(seen.body == "hello");
    seen = {};
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    CHECK(seen.body == "hello");
  }

  SECTION("a streamed reply arrives piece by piece") {
    handler = [](const std::shared_ptr<http_exchange>& exchange) {
      exchange->start_stream(200, {{"Content-Type", "text/event-stream"}});
      exchange->send_chunk("one ");
      exchange->send_chunk("two");
      exchange->finish_stream();
    };
    client.send(spec, record_into(seen, true));
    REQUIRE(wait());
    std::string all;
    for (const auto& it : seen.chunks) {
      all += it;
    }
    CHECK(all == "one two");
  }

  SECTION("a stream that breaks in the middle is a failure, never a short answer") {
    handler = [](const std::shared_ptr<http_exchange>& exchange) {
      exchange->start_stream(200, {});
      exchange->send_chunk("part");
      exchange->abort();
    };
    client.send(spec, record_into(seen, true));
    REQUIRE(wait());
    REQUIRE(seen.failure);
    CHECK_FALSE(seen.failure->nothing_sent);
  }

  SECTION("a refused connection proves that nothing was sent") {
    spec.target.port = server->local_address().port;
    server.reset();
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    REQUIRE(seen.failure);
    CHECK(seen.failure->nothing_sent);
  }

  SECTION("a server that takes the request and never answers runs into the progress deadline") {
    handler = [&](const std::shared_ptr<http_exchange>& exchange) { held = exchange; };
    spec.progress_timeout = milliseconds(50);
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    REQUIRE(seen.failure);
    CHECK(seen.failure->cause.code == error_code::timeout);
    CHECK_FALSE(seen.failure->nothing_sent);
  }

  SECTION("a caller that leaves before the first byte is noticed") {
    bool left = false;
    handler = [&](const std::shared_ptr<http_exchange>& exchange) {
      held = exchange;
      exchange->on_caller_left([&left] { left = true; });
    };
    const auto call = client.send(spec, record_into(seen));
    REQUIRE(loop->run_until([&] { return held != nullptr; }, seconds(5)));
    call->cancel();
    CHECK(loop->run_until([&] { return left; }, seconds(5)));
    CHECK_FALSE(held->is_open());
    CHECK(server->open_exchanges() == 0);
  }

  SECTION("a caller that leaves in mid-stream is noticed") {
    bool left = false;
    handler = [&](const std::shared_ptr<http_exchange>& exchange) {
      held = exchange;
      exchange->on_caller_left([&left] { left = true; });
      exchange->start_stream(200, {});
      exchange->send_chunk("part");
    };
    std::shared_ptr<http_call> call;
    http_callbacks callbacks = record_into(seen, true);
    bool got_part = false;
    callbacks.on_chunk = [&](std::string_view /*data*/) { got_part = true; };
    call = client.send(spec, callbacks);
    REQUIRE(loop->run_until([&] { return got_part; }, seconds(5)));
    call->cancel();
    CHECK(loop->run_until([&] { return left; }, seconds(5)));
  }

  SECTION("a body over the limit is refused and other callers are served") {
    spec.method = "POST";
    spec.body = std::string(2UL * 1024 * 1024, 'x');
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    CHECK((seen.failure.has_value() || seen.status == 413));
    seen = {};
    spec.body = "small";
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    CHECK(seen.status == 200);
  }

  SECTION("a body arrives whole with every method that can carry one") {
    std::string got;
    handler = [&](const std::shared_ptr<http_exchange>& exchange) {
      got = exchange->request().method + ' ' + exchange->request().body;
      exchange->respond(200, {}, "");
    };
    for (const std::string method : {"POST", "PUT", "PATCH", "DELETE"}) {
      seen = {};
      spec.method = method;
      spec.body = "first";
      client.send(spec, record_into(seen));
      REQUIRE(wait());
      CHECK(got == method + " first");
      // The next request on the connection must not find the rest of the body before it.
      seen = {};
      spec.body = "";
      client.send(spec, record_into(seen));
      REQUIRE(wait());
      CHECK(seen.status == 200);
      CHECK(got == method + ' ');
    }
  }

  SECTION("pipelined requests on one connection get one reply each, in order") {
    int n = 0;
    handler = [&](const std::shared_ptr<http_exchange>& exchange) {
      exchange->respond(200, {}, "reply" + std::to_string(++n));
    };
    const int fd = connect_raw(server->local_address());
    const std::string_view text =
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    std::string got;
    loop->run_until(
        [&] {
          char buf[4096];
          const ssize_t size = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
          if (size > 0) {
            got.append(buf, static_cast<std::size_t>(size));
          }
          return got.find("reply2") != std::string::npos;
        },
        seconds(5));
    ::close(fd);
    CHECK(got.find("reply1") < got.find("reply2"));
    CHECK(got.find("reply2") != std::string::npos);
  }

  SECTION("malformed and truncated input costs no other caller anything") {
    for (const std::string_view text :
         {"nonsense\r\n\r\n", "GET\r\n", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "GET / HTTP/9.9\r\n\r\n"}) {
      const int fd = connect_raw(server->local_address());
      REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
      loop->run_until([] { return false; }, milliseconds(20));
      ::close(fd);
    }
    client.send(spec, record_into(seen));
    REQUIRE(wait());
    CHECK(seen.status == 200);
  }
}

// Guards against a request that runs long after its call was given up: the system goes on sending
// what it holds of a connection that was closed in order.
TEST_CASE("a request whose call is given up is not sent on by the system") {
  constexpr duration until_written = milliseconds(100);
  auto loop = event_loop::create().value();
  bool reads = false;
  http1::raw_server server(*loop, [&](http1::raw_connection& it) { it.set_reading(reads); });
  http_client client(*loop);
  http_call_spec spec;
  spec.target = server.address();
  spec.method = "POST";
  spec.body = std::string(16UL * 1024 * 1024, 'x');
  outcome seen;
  const auto wait_until_written = [&] {
    REQUIRE(loop->run_until(
        [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); },
        seconds(5)));
    loop->run_until([] { return false; }, until_written);
  };
  std::size_t arrived = 0;
  const auto note_arrived = [&] {
    arrived = server.connections[0]->received.size() + server.connections[0]->unread();
  };

  SECTION("because it is cancelled") {
    const auto call = client.send(spec, record_into(seen));
    wait_until_written();
    note_arrived();
    call->cancel();
  }
  SECTION("because it takes too long") {
    spec.total_timeout = 4 * until_written;
    client.send(spec, record_into(seen));
    wait_until_written();
    REQUIRE(loop->run_until([&] { return seen.done; }, seconds(5)));
    CHECK(seen.failure);
    note_arrived();
  }

  loop->run_until([] { return false; }, until_written);
  reads = true;
  server.connections[0]->set_reading(true);
  REQUIRE(loop->run_until([&] { return server.connections[0]->closed_by_peer; }, seconds(5)));
  CHECK(server.connections[0]->reset_by_peer);
  CHECK(server.connections[0]->received.size() <= arrived);
}

} // namespace boragedoor::net
