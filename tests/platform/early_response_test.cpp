#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "endpoint_links.h"
#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

/// Bytes of an upload and of a body in a job, and how many of them the replica receives before it
/// resets the connection.
constexpr std::size_t upload_bytes = 512UL * 1024;
constexpr std::size_t job_body_bytes = 128UL * 1024;
constexpr std::size_t received_before_reset = 64UL * 1024;

constexpr std::string_view first_event = "id: 1\ndata: t1\n\n";

/// How the replica ends the connection once it has sent a part of its response.
enum class ending {
  reset,
  /// Its own side in order, and the connection with a reset after it.
  close_then_reset,
};

/// A replica that answers an upload before it has read it: a success without a length, a part of
/// the body and the end of the connection while the upload is being written.
class early_replica {
public:
  /// With `refuses_first`, the first upload of each connection is read and refused, so that the
  /// connection is used again.
  early_replica(net::event_loop& loop, ending how, bool refuses_first)
      : how_(how), refuses_first_(refuses_first),
        server_(loop, [this](http1::raw_connection& it) { answer(it); }) {}

  [[nodiscard]] const net::address& address() const { return server_.address(); }

  /// Responses of which a part was sent.
  int begun = 0;

private:
  struct connection_state {
    bool is_used = false;
    bool is_reset = false;
  };

  void answer(http1::raw_connection& it) {
    connection_state& state = states_[&it];
    if (it.is_answered) {
      if (it.received.size() > received_before_reset && !std::exchange(state.is_reset, true)) {
        it.reset();
      }
      return;
    }
    if (it.received.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    const std::string id = header_of(it.received, "Attempt-Id");
    const bool is_report = id.empty();
    if (is_report || (refuses_first_ && !state.is_used)) {
      if (!take_request(it).empty()) {
        state.is_used = true;
        it.send(is_report ? engine_report_message()
                          : "HTTP/1.1 503 Busy\r\nAttempt-Id: " + id +
                                "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      }
      return;
    }
    it.is_answered = true;
    ++begun;
    it.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: cut-" + id +
            "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n" +
            std::string(first_event));
    if (how_ == ending::close_then_reset) {
      it.close();
    }
  }

  ending how_;
  bool refuses_first_;
  std::map<const http1::raw_connection*, connection_state> states_;
  http1::raw_server server_;
};

struct early_response_fixture : platform_fixture {
  early_response_fixture(ending how, bool refuses_first) : replica(*loop, how, refuses_first) {}

  void announce(const std::string& service) {
    announce_raw_replica(store, "raw", service, replica.address(), 4,
                         service == "models" ? "m" : "");
    for (const auto* at : {&first, &second}) {
      REQUIRE(loop->run_until(
          [&] { return *at == nullptr || (*at)->context().endpoints.find("raw") != nullptr; },
          wait_limit));
    }
  }

  void remove_sound_replica() {
    plain->crash();
    store.erase("servers/p-1");
    REQUIRE(loop->run_until([&] { return first->context().endpoints.find("p-1") == nullptr; },
                            wait_limit));
  }

  /// Lets the second instance forward what the first one sends to endpoints.
  void forward_by_second() {
    REQUIRE(
        loop->run_until([&] { return first->members().members().all().size() == 2; }, wait_limit));
    links = put_links_before(*loop, first->context().endpoints);
    set_links(links, link_state::refusing);
  }

  /// Sends uploads, some of which the replica answers with a part of a response. None of these may
  /// look complete.
  void check_uploads(const std::string& path) {
    constexpr int uploads = 12;
    for (int n = 0; n < uploads; ++n) {
      const std::string id = "u" + std::to_string(n);
      http1::call_spec spec;
      spec.target = first->callers_address();
      spec.message = make_request("POST", path, id, seconds(5), std::string(upload_bytes, 'u'));
      spec.new_connection = true;
      std::optional<http1::call_outcome> outcome;
      http1::response out;
      http1::call_callbacks callbacks;
      callbacks.on_end = [&](http1::call_outcome how, http1::response it) {
        outcome = how;
        out = std::move(it);
      };
      caller.send(std::move(spec), std::move(callbacks));
      REQUIRE(loop->run_until([&] { return outcome.has_value(); }, wait_limit));
      INFO(id << ": " << to_string(*outcome) << ", status " << out.status << ", body " << out.body);
      const bool is_success = out.status >= 200 && out.status < 300;
      CHECK_FALSE((is_success && *outcome == http1::call_outcome::complete));
    }
    CHECK(replica.begun > 0);
  }

  early_replica replica;
  std::vector<std::unique_ptr<link_stand_in>> links;
};

/// Returns a job whose items, or else their reward calls, have large bodies.
json make_large_job(bool large_items) {
  json job = make_job();
  for (json& it : job["items"]) {
    json& call = large_items ? it : it["scorer_url"];
    call["body"] = encode(std::string(job_body_bytes, 'b'));
  }
  return job;
}

} // namespace

// Guards against a part of a replica's response that reaches the caller as the whole one: the
// replica sent it without a length while the request was still being written, and the end of the
// connection was taken for the end of the body.
TEST_CASE("a response without a length that ends while its request is being written") {
  const ending how = GENERATE(ending::reset, ending::close_then_reset);
  const bool refuses_first = GENERATE(false, true);
  INFO((how == ending::reset ? "reset" : "closed and reset")
       << (refuses_first ? ", on a used connection" : ", on a new connection"));
  early_response_fixture it(how, refuses_first);

  SECTION("is not a complete response of a look-up") {
    it.announce("plain");
    it.remove_sound_replica();
    it.check_uploads("/plans/7");
  }

  // A request that may run only once has a connection of its own.
  const bool streams_are_begun = !refuses_first;
  if (streams_are_begun) {
    SECTION("is not a complete stream") {
      it.announce("models");
      it.check_uploads("/chat/7");
    }
  }

  SECTION("is not a complete response of another instance") {
    it.start("second", it.second);
    SECTION("to a look-up") {
      it.announce("plain");
      it.remove_sound_replica();
      it.forward_by_second();
      it.check_uploads("/plans/7");
    }
    if (streams_are_begun) {
      SECTION("to a stream") {
        it.announce("models");
        it.forward_by_second();
        it.check_uploads("/chat/7");
      }
    }
  }

  SECTION("does not end an item or its reward call") {
    it.start_engine();
    const bool at_engine = GENERATE(true, false);
    INFO((at_engine ? "item" : "reward call"));
    replica_stand_in& sound = at_engine ? *it.engine : *it.plain;
    sound.full = true;
    it.announce(at_engine ? "models" : "plain");
    const std::string job = to_text(make_large_job(at_engine));
    REQUIRE(it.call(*it.first, "POST", "/jobs/x", job, "key-n", "j1").status == 202);
    REQUIRE(it.loop->run_until([&] { return it.replica.begun >= 2; }, wait_limit));
    sound.full = false;
    const auto results = it.read_all(*it.first, "j1");
    REQUIRE(results.size() == 4);
    for (const auto& [id, result] : results) {
      INFO(id);
      CHECK(result["state"] == "done");
      CHECK(result["output"] == "t1\nt2\nt3");
      CHECK(result["score"] == "sig-w" + id.substr(1));
    }
  }
}

} // namespace boragedoor::platform
