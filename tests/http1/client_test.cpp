#include "http1/client.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>

#include <catch2/catch.hpp>

#include "raw_peer.h"

namespace boragedoor::http1 {

namespace {

constexpr duration patience = seconds(5);

struct seen_end {
  std::optional<call_outcome> outcome;
  response it;
};

bool has_request(const raw_connection& it) {
  return it.received.find("\r\n\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("a client and servers that send any bytes") {
  auto loop = net::event_loop::create().value();
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  enum class then { keep, close, reset } after = then::keep;
  raw_server server(*loop, [&](raw_connection& it) {
    if (!has_request(it)) {
      return;
    }
    it.received.clear();
    it.send(answer);
    if (after == then::close) {
      it.close();
    } else if (after == then::reset) {
      it.reset();
    }
  });
  client calls(*loop);
  call_spec spec;
  spec.target = server.address();
  seen_end end;
  call_callbacks callbacks;
  callbacks.on_end = [&](call_outcome outcome, response it) { end = {outcome, std::move(it)}; };
  const auto call = [&] {
    end = {};
    calls.send(spec, callbacks);
    REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
    return *end.outcome;
  };

  SECTION("a response arrives and its connection carries the next call") {
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "ok");
    CHECK(call() == call_outcome::complete);
    CHECK(calls.connections_made() == 1);
  }

  SECTION("a request that may no longer be sent when its connection is made is not written") {
    // Guards against an order that leaves after its sender has lost the duties.
    bool permitted = true;
    spec.may_send = [&] { return std::exchange(permitted, false); };
    CHECK(call() == call_outcome::complete);
    spec.new_connection = true;
    CHECK(call() == call_outcome::not_connected);
    CHECK(std::none_of(server.connections.begin(), server.connections.end(),
                       [](const auto& it) { return has_request(*it); }));
  }

  SECTION("a request that would be read as another one is not written") {
    // Guards against a text of a caller that ends the request line or a field early, so that the
    // server takes the rest for a further request.
    std::string name = "Field";
    std::string value = "value";
    const auto part = GENERATE(0, 1, 2, 3);
    std::string* const to[] = {&spec.message.method, &spec.message.target, &name, &value};
    *to[part] = GENERATE_COPY(std::string("\r\n\r\nGET /other HTTP/1.1\r\n"), std::string("a\nb"),
                              std::string("a\0b", 3), part == 3 ? std::string("\r") : "a b",
                              part == 3 ? std::string("\x7f") : std::string());
    INFO("part " << part << ": " << *to[part]);
    spec.message.headers = {{name, value}};
    CHECK(call() == call_outcome::invalid_request);
    CHECK(server.connections.empty());

    SECTION("also on a connection that is open") {
      const call_spec bad = std::exchange(spec, {});
      spec.target = server.address();
      CHECK(call() == call_outcome::complete);
      server.connections.front()->received.clear();
      spec = bad;
      CHECK(call() == call_outcome::invalid_request);
      CHECK(server.connections.front()->received.empty());
    }

    SECTION("and nothing is reported of a call that was cancelled") {
      end = {};
      calls.send(spec, callbacks)->cancel();
      loop->run_until([] { return false; }, milliseconds(20));
      CHECK_FALSE(end.outcome);
    }
  }

  SECTION("a cancelled call keeps nothing of its owner") {
    // Guards against a process that grows with each caller that leaves: what a call asks before it
    // is written, and what it reports to, refer to its owner, which refers to the call.
    answer.clear();
    struct owner_of_call {
      std::shared_ptr<class call> open;
    };
    const bool connected = GENERATE(false, true);
    auto owner = std::make_shared<owner_of_call>();
    const std::weak_ptr<owner_of_call> left = owner;
    spec.may_send = [owner] { return owner != nullptr; };
    callbacks.on_end = [owner](call_outcome, const response&) {};
    owner->open = calls.send(std::exchange(spec, {}), std::exchange(callbacks, {}));
    if (connected) {
      REQUIRE(loop->run_until([&] { return !server.connections.empty(); }, patience));
    }
    owner->open->cancel();
    owner.reset();
    loop->run_until([&] { return left.expired(); }, seconds(1));
    CHECK(left.expired());
  }

  SECTION("a connection carries only one call with a response id") {
    // Guards against a late copy of a response that is taken for the response to the next run of
    // the same request.
    spec.response_id = "a";
    call();
    spec.response_id = "b";
    call();
    CHECK(calls.connections_made() == 1);
    spec.response_id = "a";
    call();
    CHECK(calls.connections_made() == 2);

    SECTION("and the other connections are still used") {
      spec.response_id = "b";
      call();
      spec.response_id = "c";
      call();
      CHECK(calls.connections_made() == 2);
      spec.response_id.clear();
      call();
      CHECK(calls.connections_made() == 2);
    }
  }

  SECTION("a connection carries an id again once other calls have passed") {
    // Guards against a new connection for each try of a request that a busy server refuses. A late
    // copy would have come in the place of the responses between.
    for (const std::string id : {"a", "b", "c", "a"}) {
      spec.response_id = id;
      call();
    }
    CHECK(calls.connections_made() == 1);
    SECTION("but not after only one") {
      spec.response_id = "c";
      call();
      CHECK(calls.connections_made() == 2);
    }
  }

  SECTION("a connection is kept for the time that the server states, less a margin") {
    // Guards against a request that crosses the server's close, and against a new connection for
    // each request of a job that comes every few seconds.
    answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok";
    call();
    call();
    CHECK(calls.connections_made() == 1);
    answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok";
    call();
    call();
    CHECK(calls.connections_made() == 2);
  }

  SECTION("no more idle connections are kept than allowed") {
    // Guards against an instance that runs out of descriptors after a large job.
    client frugal(*loop, nullptr, 1);
    int ended = 0;
    callbacks.on_end = [&](call_outcome, const response&) { ++ended; };
    for (const int expected : {2, 4}) {
      frugal.send(spec, callbacks);
      frugal.send(spec, callbacks);
      REQUIRE(loop->run_until([&] { return ended == expected; }, patience));
    }
    CHECK(frugal.connections_made() == 3);
  }

  SECTION("interim responses without end do not keep a call alive") {
    // Guards against a server that sends bytes that are no answer until the caller closes.
    answer.clear();
    for (int n = 0; n < 2 * max_skipped_responses; ++n) {
      answer += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    CHECK(call() == call_outcome::malformed);
    SECTION("but a few of them are skipped") {
      answer = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      CHECK(call() == call_outcome::complete);
      CHECK(end.it.body == "ok");
    }
  }

  SECTION("responses to other requests without end do not keep a call alive") {
    answer.clear();
    for (int n = 0; n < 2 * max_skipped_responses; ++n) {
      answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
    }
    callbacks.on_head = [](const response&) { return false; };
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("a head or a trailer without end ends the call") {
    const std::string field = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    const std::string start = GENERATE(
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    answer = start;
    for (int n = 0; n < 200; ++n) {
      answer += field;
    }
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("chunk extensions without end end the call") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(200'000, 'x');
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("small chunks whose sizes and extensions outweigh them end the call") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int n = 0; n < 200; ++n) {
      answer += "1;" + std::string(1000, 'x') + "\r\nx\r\n";
    }
    CHECK(call() == call_outcome::malformed);
    SECTION("but not chunks of one byte without them") {
      constexpr std::size_t size = 50'000;
      answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      for (std::size_t n = 0; n < size; ++n) {
        answer += "1\r\nx\r\n";
      }
      answer += "0\r\n\r\n";
      CHECK(call() == call_outcome::complete);
      CHECK(end.it.body.size() == size);
    }
  }

  SECTION("a length over the largest size ends the call at its head") {
    spec.max_body_bytes = 10'000;
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n";
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("a body that is not wanted is received and dropped") {
    spec.collect_body = false;
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.status == 200);
    CHECK(end.it.body.empty());
  }

  SECTION("a body ends with its call when the process holds too many bytes") {
    client limited(*loop, byte_budget::create(*loop, 200'000));
    spec.max_body_bytes = 10'000'000;
    answer = "HTTP/1.1 200 OK\r\n\r\n" + std::string(1'000'000, 'x');
    limited.send(spec, callbacks);
    REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
    CHECK(end.outcome == call_outcome::malformed);
    CHECK(end.it.body.size() < 400'000);
  }

  SECTION("a body without end ends the call at its largest size") {
    spec.max_body_bytes = 10'000;
    answer = "HTTP/1.1 200 OK\r\n\r\n" + std::string(20'000, 'x');
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("a server that sends a byte now and then does not keep a collected response open") {
    spec.progress_timeout = milliseconds(200);
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    net::timer drip(*loop, [&] {
      for (const auto& it : server.connections) {
        it->send("x");
      }
    });
    drip.start_periodic(milliseconds(10));
    CHECK(call() == call_outcome::timed_out);
    CHECK(end.it.body.size() > 10);
  }

  SECTION("a response without a length is complete only if the connection ends in order") {
    answer = "HTTP/1.1 200 OK\r\n\r\npart";
    after = then::close;
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "part");
    after = then::reset;
    CHECK(call() == call_outcome::broken);
  }

  SECTION("a response without a length is not complete before its request was received") {
    // Guards against a part of a response that is taken for the whole one because its connection
    // ended while the request was being written. What the end looks like depends on whether the
    // socket's error is found by a read or by a write, and that on what the connection did before.
    constexpr std::size_t received_before_end = 64UL * 1024;
    enum class ending { reset, close_then_reset, close } how = ending::reset;
    answer = "HTTP/1.1 200 OK\r\n\r\npart";
    raw_server hasty(*loop, [&](raw_connection& it) {
      if (!has_request(it)) {
        return;
      }
      if (it.received.starts_with("GET")) {
        it.received.clear();
        it.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return;
      }
      if (!it.is_answered) {
        it.is_answered = true;
        it.send(answer);
        if (how != ending::reset) {
          it.close();
        }
      }
      if (it.received.size() > received_before_end && how != ending::close) {
        it.received.clear();
        it.reset();
      }
    });
    spec.target = hasty.address();
    how = GENERATE(ending::reset, ending::close_then_reset, ending::close);
    const bool used_connection = GENERATE(false, true);
    const std::size_t size = GENERATE(256UL * 1024, 2UL * 1024 * 1024, 16UL * 1024 * 1024);
    INFO("ending " << static_cast<int>(how) << ", used " << used_connection << ", size " << size);
    constexpr int repetitions = 3;
    for (int n = 0; n < repetitions; ++n) {
      if (used_connection) {
        CHECK(call() == call_outcome::complete);
      }
      call_spec upload = spec;
      upload.message.method = "POST";
      upload.message.body = std::string(size, 'x');
      end = {};
      calls.send(std::move(upload), callbacks);
      REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
      CHECK(*end.outcome == call_outcome::broken);
    }
  }

  SECTION("a response without a length is not complete while its request waits in the system's "
          "buffers") {
    // Guards against the same where nothing is left to write and the server does not read.
    constexpr duration until_written = milliseconds(100);
    raw_server idle(*loop, [&](raw_connection& it) {
      it.set_reading(false);
      loop->post_after(until_written, [&] {
        it.send("HTTP/1.1 200 OK\r\n\r\npart");
        it.close();
      });
    });
    spec.target = idle.address();
    spec.message.method = "POST";
    spec.message.body = std::string(2UL * 1024 * 1024, 'x');
    CHECK(call() == call_outcome::broken);
  }

  SECTION("a response without a length that comes after its request was received is complete") {
    // Guards against a whole response that is refused because its request was long.
    const std::size_t size = 4UL * 1024 * 1024;
    raw_server patient(*loop, [&](raw_connection& it) {
      if (it.received.size() > size) {
        it.received.clear();
        it.send("HTTP/1.1 200 OK\r\n\r\nwhole");
        it.close();
      }
    });
    spec.target = patient.address();
    spec.message.method = "POST";
    spec.message.body = std::string(size, 'x');
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "whole");
  }

  SECTION("a response that ends before its length is broken") {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    after = then::close;
    CHECK(call() == call_outcome::broken);
  }

  SECTION("bytes behind a response belong to no request and end the connection") {
    answer += "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "ok");
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "ok");
    CHECK(calls.connections_made() == 2);
  }

  SECTION("a response that answers an earlier request is skipped") {
    answer = "HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 3\r\n\r\nold"
             "HTTP/1.1 200 OK\r\nAttempt-Id: new\r\nContent-Length: 3\r\n\r\nnew";
    callbacks.on_head = [](const response& head) {
      return net::find_header(head.headers, "Attempt-Id") == "new";
    };
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.body == "new");
  }

  SECTION("bytes that are no response are malformed") {
    answer = "this is not HTTP\r\n\r\n";
    CHECK(call() == call_outcome::malformed);
  }

  SECTION("a silent server is given up, and an address where nobody listens is never reached") {
    answer.clear();
    spec.progress_timeout = milliseconds(30);
    CHECK(call() == call_outcome::timed_out);
    spec.target.port = 1;
    CHECK(call() == call_outcome::not_connected);
  }

  SECTION("a body is reported piece by piece") {
    answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    std::string pieces;
    callbacks.on_data = [&](std::string_view data) { pieces += data; };
    CHECK(call() == call_outcome::complete);
    CHECK(pieces == "abcde");
    CHECK(end.it.body.empty());
  }

  SECTION("a response may come before the body of the request was taken") {
    spec.message.method = "POST";
    spec.message.body = std::string(4UL * 1024 * 1024, 'x');
    answer = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
    CHECK(call() == call_outcome::complete);
    CHECK(end.it.status == 413);
  }

  SECTION("a cancelled call makes no callback and closes its connection") {
    answer.clear();
    const auto open = calls.send(spec, callbacks);
    REQUIRE(loop->run_until([&] { return !server.connections.empty(); }, patience));
    open->cancel();
    REQUIRE(loop->run_until([&] { return server.connections.front()->closed_by_peer; }, patience));
    CHECK_FALSE(end.outcome);
  }

  SECTION("a connection whose response came whole is closed in order") {
    // Guards against a reset that destroys what the server may still read.
    answer = GENERATE(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
                      std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                  "Content-Length: 2\r\n\r\nok"));
    CHECK(call() == call_outcome::complete);
    calls.drop_idle(spec.target);
    REQUIRE(loop->run_until([&] { return server.connections.front()->closed_by_peer; }, patience));
    CHECK_FALSE(server.connections.front()->reset_by_peer);
  }
}

// Guards against a request that runs long after its call has ended: the system goes on sending what
// it holds of a connection that was closed in order, for minutes if the link is cut.
TEST_CASE("a request whose call ends without its response is not sent on by the system") {
  constexpr duration until_written = milliseconds(100);
  auto loop = net::event_loop::create().value();
  bool reads = false;
  raw_server server(*loop, [&](raw_connection& it) { it.set_reading(reads); });
  call_spec spec;
  spec.target = server.address();
  spec.message.method = "POST";
  // More than the systems of both sides hold, so that each has a part.
  spec.message.body = std::string(16UL * 1024 * 1024, 'x');
  const auto wait_until_written = [&] {
    REQUIRE(loop->run_until(
        [&] { return !server.connections.empty() && !server.connections[0]->received.empty(); },
        patience));
    loop->run_until([] { return false; }, until_written);
  };
  std::size_t arrived = 0;
  const auto note_arrived = [&] {
    arrived = server.connections[0]->received.size() + server.connections[0]->unread();
  };

  SECTION("whoever ends it") {
    auto calls = std::make_unique<client>(*loop);
    seen_end end;
    call_callbacks callbacks;
    callbacks.on_end = [&](call_outcome outcome, response it) { end = {outcome, std::move(it)}; };
    const auto open_call = [&] { return calls->send(std::move(spec), std::move(callbacks)); };
    SECTION("its owner") {
      const auto open = open_call();
      wait_until_written();
      note_arrived();
      open->cancel();
    }
    SECTION("the time of the call") {
      spec.progress_timeout = 4 * until_written;
      open_call();
      wait_until_written();
      REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
      CHECK(end.outcome == call_outcome::timed_out);
      note_arrived();
    }
    SECTION("bytes that are no response") {
      open_call();
      wait_until_written();
      server.connections[0]->send("this is not HTTP\r\n\r\n");
      REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
      CHECK(end.outcome == call_outcome::malformed);
      note_arrived();
    }
    SECTION("the server, which closes its side") {
      open_call();
      wait_until_written();
      server.connections[0]->close();
      REQUIRE(loop->run_until([&] { return end.outcome.has_value(); }, patience));
      CHECK(end.outcome == call_outcome::broken);
      note_arrived();
    }
    SECTION("the end of the client") {
      open_call();
      wait_until_written();
      note_arrived();
      calls.reset();
    }
    loop->run_until([] { return false; }, until_written);
  }

  SECTION("also if the process is killed") {
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      auto own_loop = net::event_loop::create().value();
      client calls(*own_loop);
      calls.send(std::move(spec), {});
      own_loop->run_until([] { return false; }, patience);
      ::_exit(0);
    }
    wait_until_written();
    note_arrived();
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }

  reads = true;
  server.connections[0]->set_reading(true);
  REQUIRE(loop->run_until([&] { return server.connections[0]->closed_by_peer; }, patience));
  CHECK(server.connections[0]->reset_by_peer);
  CHECK(server.connections[0]->received.size() <= arrived);
}

} // namespace boragedoor::http1
