#include "http1/server.h"

#include <optional>

#include <catch2/catch.hpp>

#include "raw_peer.h"

namespace boragedoor::http1 {

namespace {

const net::address any_port{"127.0.0.1", 0};
constexpr duration patience = seconds(5);

response refusal(int status, std::string_view message) {
  return {status, {}, std::string(message)};
}

} // namespace

TEST_CASE("a server and callers that send any bytes") {
  auto loop = net::event_loop::create().value();
  std::shared_ptr<exchange> held;
  std::vector<request> requests;
  bool hold = false;
  auto created = server::listen(
      *loop, any_port,
      [&](std::shared_ptr<exchange> it) {
        requests.push_back(it->received());
        if (hold) {
          held = std::move(it);
        } else {
          it->respond({200, {}, "body of " + it->received().target});
        }
      },
      &refusal);
  REQUIRE(created);
  auto server = std::move(created).value();
  const auto caller = connect_raw(*loop, server->local_address());
  const auto expect = [&](std::string_view text) {
    return loop->run_until([&] { return caller->received.find(text) != std::string::npos; },
                           patience);
  };

  SECTION("a kept connection answers requests in their order, also those that are sent ahead") {
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(expect("body of /2"));
    CHECK(caller->received.find("body of /1") < caller->received.find("body of /2"));
    CHECK_FALSE(caller->closed_by_peer);
  }

  SECTION("a request target with other bytes than visible characters is refused") {
    // Guards against a target that the next receiver ends at another place. Receivers may take
    // tabs and form feeds for the end of the target (RFC 9112, 3).
    const auto bytes = GENERATE(std::string("\t"), std::string("\f"), std::string("\v"),
                                std::string("\x7f"), std::string("\x85"), std::string("\xc3\xa9"));
    caller->send("GET /1" + bytes + "HTTP/1.1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(expect("\r\n\r\n"));
    CHECK(caller->received.starts_with("HTTP/1.1 400"));
    CHECK(requests.empty());
  }

  SECTION("a response is complete before its connection closes") {
    // The first write callback comes when the output is still empty; it once closed the connection.
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(loop->run_until([&] { return caller->closed_by_peer; }, patience));
    CHECK(caller->received.find("Connection: close") != std::string::npos);
    CHECK(caller->received.find("body of /1") != std::string::npos);
  }

  SECTION("a request that is dropped unanswered after its server is gone harms nothing") {
    // Guards against a use of the freed server, as the sanitizer showed.
    hold = true;
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop->run_until([&] { return held != nullptr; }, patience));
    server.reset();
    held.reset();
    CHECK(loop->run_until([&] { return caller->closed_by_peer; }, patience));
  }

  SECTION("bodies arrive with a length and in chunks") {
    caller->send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhel");
    caller->send("loPOST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(expect("body of /2"));
    CHECK(requests.at(0).body == "hello");
    CHECK(requests.at(1).body == "abcde");
  }

  SECTION("requests that could be read in two ways are refused and end their connection") {
    const auto bad = GENERATE(
        std::string("GET / HTTP/1.1\r\nHost: h\r\nName: a\0b\r\n\r\n", 38),
        std::string("GET / HTTP/1.1\r\nHost : h\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: h\r\nName: a\r\n b\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: h\r\nAuthorization: a\r\nauthorization: b\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"),
        std::string("not a request\r\n\r\n"));
    caller->send(bad);
    REQUIRE(loop->run_until([&] { return caller->closed_by_peer; }, patience));
    CHECK(caller->received.starts_with("HTTP/1.1 400 "));
    CHECK(requests.empty());
  }

  SECTION("input over the limits is refused before it is read") {
    server->set_limits({.header_bytes = 64, .body_bytes = 10});
    SECTION("header fields") {
      caller->send("GET / HTTP/1.1\r\nHost: h\r\nName: " + std::string(100, 'x'));
      REQUIRE(expect("HTTP/1.1 431 "));
    }
    SECTION("a body with a length") {
      caller->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
      REQUIRE(expect("HTTP/1.1 413 "));
    }
    SECTION("a body in chunks") {
      caller->send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n");
      REQUIRE(expect("HTTP/1.1 413 "));
    }
    CHECK(requests.empty());
  }

  SECTION("a caller gets the refusal of a large body that it goes on sending") {
    // Guards against a reset of the connection, with which a caller that sends its whole request
    // before it reads loses the response.
    const std::string body(8UL * 1024 * 1024, 'x');
    caller->set_reading(false);
    caller->send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
    REQUIRE(loop->run_until([&] { return caller->unsent() == 0; }, patience));
    caller->set_reading(true);
    REQUIRE(expect("the body is too large"));
    CHECK(caller->received.find("413") != std::string::npos);
    CHECK(requests.empty());
  }

  SECTION("a body for which there is no memory is refused") {
    auto small = server::listen(
                     *loop, any_port, [&](const std::shared_ptr<exchange>& it) { it->respond({}); },
                     &refusal, byte_budget::create(*loop, 200'000))
                     .value();
    small->set_limits({.body_bytes = 10'000'000});
    const auto one = connect_raw(*loop, small->local_address());
    SECTION("at its head if its length is known") {
      one->send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n");
    }
    SECTION("while it arrives otherwise") {
      one->send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" +
                std::string(300'000, 'x'));
    }
    REQUIRE(loop->run_until([&] { return one->closed_by_peer; }, patience));
    CHECK(one->received.find("503") != std::string::npos);
    CHECK(one->received.find("no memory") != std::string::npos);
  }

  SECTION("a caller that is slow with its header fields is refused") {
    server->set_limits({.header_timeout = milliseconds(30)});
    caller->send("GET / HT");
    REQUIRE(expect("HTTP/1.1 408 "));
  }

  SECTION("a caller that leaves before the response is noticed") {
    hold = true;
    bool left = false;
    auto leaving = connect_raw(*loop, server->local_address());
    leaving->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop->run_until([&] { return held != nullptr; }, patience));
    held->on_left([&] { left = true; });
    leaving->reset();
    REQUIRE(loop->run_until([&] { return left; }, patience));
    CHECK_FALSE(held->is_open());
    held->respond({200, {}, "nobody hears it"});
  }

  SECTION("a stream that is broken off does not look complete") {
    hold = true;
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop->run_until([&] { return held != nullptr; }, patience));
    held->start({200, {}, "piece"});
    REQUIRE(expect("piece"));
    held->abort();
    REQUIRE(loop->run_until([&] { return caller->closed_by_peer; }, patience));
    CHECK(caller->received.find("0\r\n\r\n") == std::string::npos);
  }

  SECTION("a stream that is broken off arrives up to its break") {
    // Guards against events that had arrived and are dropped because their server breaks off.
    const std::string piece(32UL * 1024 * 1024, 'b');
    hold = true;
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop->run_until([&] { return held != nullptr; }, patience));
    held->start({200, {}, {}});
    held->send_chunk(piece);
    held->break_off();
    REQUIRE(loop->run_until([&] { return caller->closed_by_peer; }, patience));
    CHECK(caller->received.size() > piece.size());
    CHECK(caller->received.find("0\r\n\r\n") == std::string::npos);
  }

  SECTION("a connection is busy until its caller has received the whole response") {
    // More than the buffers of the system hold.
    const std::string body(32UL * 1024 * 1024, 'b');
    hold = true;
    SECTION("on a kept connection") {
      caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    SECTION("on one that ends with the response") {
      caller->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
    REQUIRE(loop->run_until([&] { return held != nullptr; }, patience));
    CHECK(server->busy_connections() == 1);
    caller->set_reading(false);
    held->respond({200, {}, body});
    held.reset();
    loop->run_until([] { return false; }, milliseconds(100));
    CHECK(server->busy_connections() == 1);
    caller->set_reading(true);
    REQUIRE(loop->run_until([&] { return server->busy_connections() == 0; }, patience));
    REQUIRE(loop->run_until([&] { return caller->received.size() > body.size(); }, patience));
  }

  SECTION("a draining server answers and ends each connection with its response") {
    server->drain();
    caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop->run_until([&] { return caller->closed_by_peer; }, patience));
    CHECK(caller->received.find("body of /1") != std::string::npos);
  }
}

} // namespace boragedoor::http1
