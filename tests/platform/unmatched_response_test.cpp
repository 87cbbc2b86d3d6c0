#include <array>
#include <set>
#include <string>
#include <string_view>

#include "endpoint_links.h"
#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

/// Bytes that a replica sends although no request asked for them.
struct extra_bytes {
  std::string_view name;
  std::string_view bytes;
};

constexpr std::array all_extra_bytes = {
    extra_bytes{"an error without an id", "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"},
    extra_bytes{"an error without an id and a length", "HTTP/1.1 400 Bad Request\r\n\r\n"},
    extra_bytes{"a refusal without an id",
                "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
    extra_bytes{"a success without an id",
                "HTTP/1.1 200 OK\r\nResponse-Signature: other\r\nContent-Length: 5\r\n\r\nother"},
    extra_bytes{"a success with another id",
                "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Signature: other\r\n"
                "Content-Length: 5\r\n\r\nother"},
    extra_bytes{"a misdirected request without an id",
                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
};

/// A replica that sends additional bytes when it has answered a request. They arrive when the next
/// request has been sent on the connection.
class talkative_replica {
public:
  talkative_replica(net::event_loop& loop, std::string_view extra)
      : extra_(extra), server_(loop, [this](http1::raw_connection& it) { answer(it); }) {}

  [[nodiscard]] const net::address& address() const { return server_.address(); }

  /// Requests that came after the first one of their connection.
  int disturbed = 0;

private:
  void answer(http1::raw_connection& it) {
    const std::string request = take_request(it);
    if (request.empty()) {
      return;
    }
    const std::string id = header_of(request, "Attempt-Id");
    const bool is_first = used_.insert(&it).second;
    disturbed += is_first ? 0 : 1;
    const std::string body = "answer to " + id;
    it.send((is_first ? std::string() : std::string(extra_)) +
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: sig-" + id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  std::string_view extra_;
  std::set<const http1::raw_connection*> used_;
  http1::raw_server server_;
};

} // namespace

// Guards against callers that get bytes of a faulty replica, which belong to no request, as the
// answer to theirs.
TEST_CASE("bytes that belong to no request are not passed on as an answer") {
  const extra_bytes extra = GENERATE(from_range(all_extra_bytes));
  platform_fixture it;
  talkative_replica replica(*it.loop, extra.bytes);
  const auto wait_for = [&](serving_process& at) {
    REQUIRE(it.loop->run_until([&] { return at.context().endpoints.find("raw") != nullptr; },
                               wait_limit));
  };

  DYNAMIC_SECTION(extra.name << ", to callers") {
    const bool relayed = GENERATE(false, true);
    announce_raw_replica(it.store, "raw", "plain", replica.address());
    wait_for(*it.first);
    std::vector<std::unique_ptr<link_stand_in>> links;
    if (relayed) {
      // The first instance reaches no endpoint, so the second one forwards.
      it.start("second", it.second);
      wait_for(*it.second);
      REQUIRE(it.loop->run_until([&] { return it.first->members().members().all().size() == 2; },
                                 wait_limit));
      links = put_links_before(*it.loop, it.first->context().endpoints);
      set_links(links, link_state::refusing);
    }
    // Requests of its own connections go to the replica alone.
    for (int n = 0; n < 20; ++n) {
      const std::string id = "r" + std::to_string(n);
      const auto out = it.call(*it.first, "POST", "/plans/7", "body", "key-n", id);
      INFO(id << (relayed ? ", through another instance" : ""));
      CHECK(out.status == 200);
      CHECK(net::find_header(out.headers, "Attempt-Id") == id);
      CHECK(out.body.find("other") == std::string::npos);
    }
    CHECK(replica.disturbed > 0);
  }

  DYNAMIC_SECTION(extra.name << ", as the score of a text") {
    it.start_engine();
    it.plain->crash();
    announce_raw_replica(it.store, "raw", "plain", replica.address());
    wait_for(*it.first);
    REQUIRE(it.call(*it.first, "POST", "/jobs/x", to_text(make_job()), "key-n", "j1").status ==
            202);
    const auto results = it.read_all(*it.first, "j1");
    REQUIRE(results.size() == 4);
    for (const auto& [id, result] : results) {
      INFO(id);
      CHECK(result["state"] == "done");
      CHECK(result["score"] == "sig-w" + id.substr(1));
    }
  }
}

} // namespace boragedoor::platform
