#include "instance/member_task.h"

#include <memory>

#include <catch2/catch.hpp>

#include "instance_parts.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration test_timeout = seconds(15);
constexpr duration lease_ttl = milliseconds(1500);

/// An instance that runs only its member task.
struct candidate {
  candidate(net::event_loop& loop, net::address store, const std::string& name)
      : parts(loop, std::move(store), name),
        task(parts.context, name + ":80", name + ":81", lease_ttl) {
    task.start();
  }

  instance_parts parts;
  instance::member_task task;
};

} // namespace

TEST_CASE("one member at a time holds the duties") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  auto first = std::make_unique<candidate>(*loop, store.address(), "first");
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, test_timeout)); };
  const auto holds = [&](candidate& it) { return it.task.permit(loop->now()).has_value(); };
  until([&] { return holds(*first); });
  candidate second(*loop, store.second_address(), "second");
  until([&] {
    return second.task.is_member(loop->now()) && first->task.members().all().size() == 2;
  });
  const std::uint64_t token = first->task.permit(loop->now())->fencing_token;

  SECTION("only the oldest member holds the duties") {
    CHECK_FALSE(holds(second));
    CHECK(first->task.relays() == std::vector<net::address>{{"second", 81}});
  }

  SECTION("the next member takes the duties with a higher token after the holder has gone") {
    first.reset();
    until([&] { return holds(second); });
    CHECK(second.task.permit(loop->now())->fencing_token > token);
  }

  SECTION("a draining holder gives up the duties while it is still a member") {
    first->task.drain();
    CHECK_FALSE(holds(*first));
    until([&] { return holds(second); });
    CHECK(second.task.members().all().size() == 2);
    first->task.leave();
    until([&] { return second.task.members().all().size() == 1; });
  }

  SECTION(
      "a holder without a response from the store stops before its lease expires in the store") {
    store.set_fault(store_fault::silent);
    bool both = false;
    until([&] {
      both = both || (holds(*first) && holds(second));
      return holds(second);
    });
    CHECK_FALSE(both);
    SECTION("a holder that returns does not take the duties back") {
      store.set_fault(store_fault::none);
      until([&] { return first->task.is_member(loop->now()); });
      CHECK_FALSE(holds(*first));
      CHECK(holds(second));
    }
  }

  SECTION("a token rejected by a receiver is not used again") {
    first->task.reject_token(token);
    CHECK_FALSE(holds(*first));
    until([&] { return holds(*first); });
    CHECK(first->task.permit(loop->now())->fencing_token > token);
  }
}

} // namespace boragedoor::platform
