#include "instance/member_task.h"

#include <memory>

#include <catch2/catch.hpp>

#include "instance_parts.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

namespace {

constexpr duration patience = seconds(15);
constexpr duration lease_ttl = milliseconds(1500);

/// One instance with nothing but its membership.
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

TEST_CASE("members of a store") {
  auto loop = net::event_loop::create().value();
  store_stand_in store(*loop);
  auto first = std::make_unique<candidate>(*loop, store.address(), "first");
  const auto until = [&](const auto& done) { REQUIRE(loop->run_until(done, patience)); };
  const auto holds = [&](candidate& it) { return it.task.permit(loop->now()).has_value(); };
  until([&] { return holds(*first); });
  candidate second(*loop, store.second_address(), "second");
  until([&] {
    return second.task.is_member(loop->now()) && first->task.members().all().size() == 2;
  });
  const std::uint64_t token = first->task.permit(loop->now())->fencing_token;

  SECTION("the oldest alone holds the duties") {
    CHECK_FALSE(holds(second));
    CHECK(first->task.relays() == std::vector<net::address>{{"second", 81}});
  }

  SECTION("the next one follows with a higher token when the holder is gone") {
    first.reset();
    until([&] { return holds(second); });
    CHECK(second.task.permit(loop->now())->fencing_token > token);
  }

  SECTION("a draining holder gives the duties up while it is still listed") {
    first->task.drain();
    CHECK_FALSE(holds(*first));
    until([&] { return holds(second); });
    CHECK(second.task.members().all().size() == 2);
    first->task.leave();
    until([&] { return second.task.members().all().size() == 1; });
  }

  SECTION("a holder that the store does not serve stops before its lease ends for the others") {
    store.set_fault(store_fault::silent);
    bool both = false;
    until([&] {
      both = both || (holds(*first) && holds(second));
      return holds(second);
    });
    CHECK_FALSE(both);
    SECTION("and does not take the duties back when it returns") {
      store.set_fault(store_fault::none);
      until([&] { return first->task.is_member(loop->now()); });
      CHECK_FALSE(holds(*first));
      CHECK(holds(second));
    }
  }

  SECTION("a token that a receiver rejected is not used again") {
    first->task.reject_token(token);
    CHECK_FALSE(holds(*first));
    until([&] { return holds(*first); });
    CHECK(first->task.permit(loop->now())->fencing_token > token);
  }
}

} // namespace boragedoor::platform
