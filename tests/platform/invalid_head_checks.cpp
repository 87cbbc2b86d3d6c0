#include "invalid_head_checks.h"

#include <string_view>

#include "endpoint_links.h"
#include "http1/raw_peer.h"
#include "platform_fixture.h"
#include "raw_replica.h"

namespace boragedoor::platform {

namespace {

enum class body_end { length, close };

/// A replica whose answers have an invalid head. Its reports are as they should be.
class troubled_replica {
public:
  troubled_replica(net::event_loop& loop, const invalid_head& head, body_end end)
      : head_(head), end_(end), server_(loop, [this](http1::raw_connection& it) { answer(it); }) {}

  [[nodiscard]] const net::address& address() const { return server_.address(); }

  int answered = 0;

private:
  void answer(http1::raw_connection& it) {
    const std::string request = take_request(it);
    if (request.empty()) {
      return;
    }
    const std::string id = header_of(request, "Attempt-Id");
    if (id.empty()) {
      it.send(engine_report_message());
      return;
    }
    ++answered;
    const std::string head = "HTTP/1.1 " + head_.status + "\r\nAttempt-Id: " + id +
                             "\r\nResponse-Signature: bad-" + id + "\r\n" +
                             (head_.line.empty() ? "" : head_.line + "\r\n") +
                             "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n";
    const std::string body = "id: 1\ndata: trouble\n\n";
    switch (end_) {
    case body_end::length:
      it.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      return;
    case body_end::close:
      it.send(head + "Connection: close\r\n\r\n" + body);
      it.close();
      return;
    }
  }

  invalid_head head_;
  body_end end_;
  http1::raw_server server_;
};

} // namespace

void check_that_answers_are_refused(const invalid_head& head) {
  const body_end end = GENERATE(body_end::length, body_end::close);
  INFO("status " << head.status << ", line " << head.line << ", end " << static_cast<int>(end));
  platform_fixture it;
  troubled_replica replica(*it.loop, head, end);
  json configuration = make_configuration(4);
  // The replica may have run the request, so one that may run once only is not tried elsewhere.
  configuration["routes"].push_back({{"name", "once"},
                                     {"host", "a.example"},
                                     {"prefix", "/once/"},
                                     {"kind", "unsafe"},
                                     {"timeout_ms", 3000},
                                     {"target_latency_ms", 500},
                                     {"max_attempts", 2},
                                     {"service", "plain"}});
  it.store.put("op/config", configuration);
  const auto announce = [&](const std::string& service) {
    announce_raw_replica(it.store, "raw", service, replica.address(), 4,
                         service == "models" ? "m" : "");
    for (const auto* at : {&it.first, &it.second}) {
      REQUIRE(it.loop->run_until(
          [&] {
            return *at == nullptr || ((*at)->context().endpoints.find("raw") != nullptr &&
                                      (*at)->context().routes.version() == 4);
          },
          wait_limit));
    }
  };
  const auto remove_sound_replica = [&] {
    it.plain->crash();
    it.store.erase("servers/p-1");
    REQUIRE(it.loop->run_until([&] { return it.first->context().endpoints.find("p-1") == nullptr; },
                               wait_limit));
  };
  // A caller that waited for another answer would get 504.
  const auto check_refused = [&](const std::string& path) {
    const auto out = it.call(*it.first, "POST", path, "body");
    CHECK(out.status == 502);
    CHECK(net::find_header(out.headers, "Response-Signature").empty());
    CHECK(out.body.find("trouble") == std::string::npos);
    CHECK(replica.answered > 0);
  };

  SECTION("is not passed on, and no other one is waited for") {
    announce("plain");
    remove_sound_replica();
    check_refused("/plans/7");
    check_refused("/once/7");
  }

  SECTION("is not passed on as a stream") {
    announce("models");
    check_refused("/chat/7");
  }

  SECTION("is not passed on by another instance") {
    it.start("second", it.second);
    announce("plain");
    remove_sound_replica();
    REQUIRE(it.loop->run_until([&] { return it.first->members().members().all().size() == 2; },
                               wait_limit));
    auto links = put_links_before(*it.loop, it.first->context().endpoints);
    set_links(links, link_state::refusing);
    check_refused("/plans/7");
    check_refused("/once/7");
  }

  SECTION("lets a request that may be repeated be tried at another replica") {
    announce("plain");
    for (int n = 0; n < 10; ++n) {
      const std::string id = "r" + std::to_string(n);
      CHECK(it.call(*it.first, "POST", "/plans/7", "body", "key-n", id).status == 200);
    }
  }

  SECTION("does not end an item or its reward call") {
    it.start_engine();
    announce(GENERATE("models", "plain"));
    REQUIRE(it.call(*it.first, "POST", "/jobs/x", to_text(make_job()), "key-n", "j1").status ==
            202);
    for (const auto& [id, result] : it.read_all(*it.first, "j1")) {
      INFO(id);
      CHECK(result["state"] == "done");
      CHECK(result["output"] == "t1\nt2\nt3");
      CHECK(result["score"] == "sig-w" + id.substr(1));
    }
  }
}

} // namespace boragedoor::platform
