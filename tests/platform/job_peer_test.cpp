#include "instance/job_peer.h"

#include <memory>
#include <optional>

#include <catch2/catch.hpp>

#include "http1/server.h"
#include "instance/error_response.h"
#include "instance_parts.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

/// Bytes that the items of a submitted job may take.
constexpr std::size_t job_room = 1024UL * 1024;

using instance::job_listing;
using instance::submit_outcome;

constexpr duration test_timeout = seconds(10);

/// An instance that is a member and answers requests about jobs with preset values.
struct peer_instance {
  peer_instance(net::event_loop& loop, const net::address& store, const std::string& name)
      : server(http1::server::listen(
                   loop, {"127.0.0.1", 0},
                   [this](const std::shared_ptr<http1::exchange>& from) {
                     if (unresponsive) {
                       unanswered.push_back(from);
                     } else if (!peer.answer(from)) {
                       from->respond({500, {}, {}});
                     }
                   },
                   &instance::listener_refusal)
                   .value()),
        parts(loop, store, name),
        members(parts.context, name + ":80", net::to_string(server->local_address()), seconds(3)),
        peer(parts.context, members,
             {.read =
                  [this](const std::string& job, std::size_t after, duration /*wait*/,
                         const std::function<void(std::optional<job_listing>)>& done) {
                    done(job == "here" ? std::optional(job_listing{3, after + 1, {result}})
                                       : std::nullopt);
                  },
              .room_for = [](std::string_view) { return std::optional(job_room); },
              .submit =
                  [this](jobs::job it, const std::function<void(submit_outcome)>& done) {
                    submitted = std::move(it);
                    done(outcome);
                  },
              .end = [](const std::string& job,
                        const std::function<void(bool)>& done) { done(job == "here"); },
              .receive_texts =
                  [this](std::string_view of, std::vector<jobs::item_progress> it) {
                    workspace = of;
                    texts = std::move(it);
                  }}) {
    members.start();
  }

  bool unresponsive = false;
  std::vector<std::shared_ptr<http1::exchange>> unanswered;
  jobs::item_result result{"i1", jobs::item_state::done, "text", {4}, "s"};
  submit_outcome outcome = submit_outcome::accepted;
  std::optional<jobs::job> submitted;
  std::vector<jobs::item_progress> texts;
  std::string workspace;
  std::unique_ptr<http1::server> server;
  instance_parts parts;
  instance::member_task members;
  instance::job_peer peer;
};

} // namespace

// Guards against treating a failed request between instances as a response: a submitted job would
// be lost, or a reader would be told that a job has no results.
TEST_CASE("instances read, submit and end jobs on each other") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  peer_instance requester(*loop, store.address(), "requester");
  peer_instance other(*loop, store.address(), "other");
  const std::string id = "other/b";
  REQUIRE(loop->run_until([&] { return requester.members.members().is_live(id); }, test_timeout));

  const auto read = [&](const std::string& job) {
    std::optional<std::optional<job_listing>> out;
    requester.peer.read(id, job, 1, milliseconds(100), [&](auto it) { out = std::move(it); });
    REQUIRE(loop->run_until([&] { return out.has_value(); }, test_timeout));
    return *out;
  };
  const auto submit = [&](const std::string& member) {
    jobs::job it;
    it.id = "j";
    it.workspace = "north";
    it.route = "r";
    it.step = 7;
    it.items.emplace_back().id = "i1";
    std::optional<submit_outcome> out;
    requester.peer.submit(member, it, [&](submit_outcome outcome) { out = outcome; });
    REQUIRE(loop->run_until([&] { return out.has_value(); }, test_timeout));
    return *out;
  };
  const auto end = [&](const std::string& job) {
    std::optional<bool> out;
    requester.peer.end(id, job, [&](bool ended) { out = ended; });
    REQUIRE(loop->run_until([&] { return out.has_value(); }, test_timeout));
    return *out;
  };

  SECTION(
      "a read returns the runner's results, and no listing if the instance does not run the job") {
    const auto listing = read("here");
    REQUIRE(listing);
    CHECK(listing->total == 3);
    CHECK(listing->next == 2);
    REQUIRE(listing->results.size() == 1);
    CHECK(listing->results[0].text == "text");
    CHECK_FALSE(read("elsewhere"));
  }

  SECTION("a submission transfers the whole job and returns the member's outcome") {
    CHECK(submit(id) == submit_outcome::accepted);
    REQUIRE(other.submitted);
    CHECK(other.submitted->step == 7);
    CHECK(other.submitted->items.at(0).id == "i1");
    for (const auto outcome : {submit_outcome::refused, submit_outcome::unknown}) {
      other.outcome = outcome;
      CHECK(submit(id) == outcome);
    }
  }

  SECTION("end requests and partial texts reach the other instance") {
    CHECK(end("here"));
    CHECK_FALSE(end("elsewhere"));
    const std::vector<jobs::item_progress> texts = {{"i1", "half a text", 90, {4, 5}, "s/v1"}};
    requester.peer.send_texts(id, "north & south", texts);
    REQUIRE(loop->run_until([&] { return !other.texts.empty(); }, test_timeout));
    CHECK(other.workspace == "north & south");
    CHECK(other.texts[0].text == "half a text");
    CHECK(other.texts[0].versions == std::vector<std::uint64_t>{4, 5});
    CHECK(other.texts[0].software == "s/v1");
  }

  SECTION("requests to an unresponsive instance have an unknown outcome or fail") {
    // The runner process is frozen; requests that it has received may take effect when it resumes.
    other.unresponsive = true;
    CHECK_FALSE(read("here"));
    CHECK(submit(id) == submit_outcome::unknown);
    CHECK_FALSE(end("here"));
  }

  SECTION("an unknown or stopped member refuses submissions and returns no listing") {
    CHECK(submit("nobody/b") == submit_outcome::refused);
    other.server.reset();
    CHECK(submit(id) == submit_outcome::refused);
    CHECK_FALSE(read("here"));
  }
}

} // namespace boragedoor::platform
