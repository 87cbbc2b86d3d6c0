#include "peer/peer_link.h"

#include <optional>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace boragedoor::peer {

TEST_CASE("a link between two instances") {
  auto loop = net::event_loop::create().value();
  std::shared_ptr<peer_link> accepted;
  json received;
  bool server_closed = false;
  auto listener = peer_listener::listen(*loop, {"127.0.0.1", 0}, [&](auto link) {
                    accepted = std::move(link);
                    accepted->start({nullptr, [&](const json& message) { received = message; },
                                     [&](bool /*refused*/) { server_closed = true; }});
                  }).value();
  bool open = false;
  std::optional<bool> closed_refused;
  auto link = peer_link::connect(*loop, listener->local_address());
  json answer;
  const peer_link::callbacks handlers{[&] { open = true; },
                                      [&](const json& message) { answer = message; },
                                      [&](bool refused) { closed_refused = refused; }};

  SECTION("messages go both ways") {
    link->start(handlers);
    REQUIRE(loop->run_until([&] { return open; }, seconds(5)));
    CHECK(link->send({{"type", "hello"}, {"n", 7}}));
    REQUIRE(loop->run_until([&] { return !received.is_null(); }, seconds(5)));
    CHECK(received["n"] == 7);
    CHECK(accepted->send({{"type", "answer"}}));
    REQUIRE(loop->run_until([&] { return !answer.is_null(); }, seconds(5)));
    CHECK(link->bytes_received() > 0);

    SECTION("and the end of one side is seen by the other") {
      link->close();
      CHECK(loop->run_until([&] { return server_closed; }, seconds(5)));
      CHECK_FALSE(link->send({{"type", "late"}}));
    }
  }

  SECTION("a refused connection is reported as such") {
    listener.reset();
    link->start(handlers);
    REQUIRE(loop->run_until([&] { return closed_refused.has_value(); }, seconds(5)));
    CHECK(*closed_refused);
  }

  SECTION("bytes that are no WebSocket handshake end only their own connection") {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(listener->local_address().port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
    const std::string_view text = "garbage\r\n\r\n";
    REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    CHECK(loop->run_until([&] { return server_closed; }, seconds(5)));
    ::close(fd);
    link->start(handlers);
    CHECK(loop->run_until([&] { return open; }, seconds(5)));
  }
  loop->run_until([] { return false; }, milliseconds(20));
}

} // namespace boragedoor::peer
