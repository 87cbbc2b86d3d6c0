#include "crash_fixture.h"

namespace boragedoor::platform {

// Guards against a request that crashes the endpoints that run it being sent to more and more of
// them, because each attempt of the caller counts anew.
TEST_CASE("a request that has crashed three endpoints is not sent to further ones") {
  crash_fixture it;
  const auto known_everywhere = [&] {
    it.wait_for_endpoints(*it.first);
    if (it.second) {
      it.wait_for_endpoints(*it.second);
    }
  };
  const auto crash_three = [&](const std::vector<serving_process*>& instances) {
    for (std::size_t n = 0; it.executions("x") < crashes_before_bound; ++n) {
      REQUIRE(n < 2 * crashes_before_bound);
      known_everywhere();
      it.send_crashing(*instances[n % instances.size()]);
    }
    it.loop->run_until([] { return false; }, settling_time);
  };
  const auto check_repetitions = [&](const std::vector<serving_process*>& instances) {
    constexpr int repetitions = 8;
    const std::size_t before = it.executions("x");
    for (int n = 0; n < repetitions; ++n) {
      known_everywhere();
      const int status =
          it.send_crashing(*instances[static_cast<std::size_t>(n) % instances.size()]);
      CHECK((status == 503 || status == 502));
    }
    CHECK(it.executions("x") - before <= allowed_retries);
    CHECK(it.call(*instances.front(), "POST", "/plans/7", "another body").status == 200);
  };

  SECTION("when it comes again at the same instance") {
    crash_three({it.first.get()});
    check_repetitions({it.first.get()});
  }

  SECTION("when it comes again at another instance") {
    it.start("second", it.second);
    SECTION("that saw some of the crashes") {
      crash_three({it.first.get(), it.second.get()});
      check_repetitions({it.first.get(), it.second.get()});
    }
    SECTION("that saw none of them") {
      crash_three({it.first.get()});
      check_repetitions({it.second.get()});
    }
    SECTION("and all instances have been killed since") {
      crash_three({it.first.get()});
      it.first.reset();
      it.second.reset();
      it.start("first", it.first);
      it.start("second", it.second);
      check_repetitions({it.second.get(), it.first.get()});
    }
  }
}

// Guards against a crashing request that is sent on and on because an endpoint that fails answers
// it now and then.
TEST_CASE("an error of an endpoint does not show that a request crashes none") {
  constexpr int rounds = 8;
  crash_fixture it;
  it.plain->crashing_target.clear();
  it.plain->status = 500;
  std::size_t after_bound = 0;
  for (int n = 0; n < rounds; ++n) {
    const std::size_t before = it.executions("x");
    it.wait_for_endpoints(*it.first);
    it.plain->crash_and_restart();
    it.send_crashing(*it.first);
    it.wait_for_endpoints(*it.first);
    // Only the one that fails is left.
    for (const auto& one : it.others) {
      one->crash_and_restart();
    }
    it.send_crashing(*it.first);
    // Two endpoints crash in each of the first two rounds.
    after_bound += n < 2 ? 0 : it.executions("x") - before;
  }
  CHECK(after_bound <= allowed_retries);
}

// Guards against sound requests being refused because they ran at endpoints that crashed for
// another reason.
TEST_CASE("a request that ran at crashing endpoints is served again once it completes elsewhere") {
  constexpr int rounds = 4;
  crash_fixture it;
  for (int n = 0; n < rounds; ++n) {
    it.wait_for_endpoints(*it.first);
    std::optional<int> status;
    it.for_each_endpoint([](replica_stand_in& one) { one.silent = true; });
    it.send(
        *it.first, "POST", "/plans/7", "s" + std::to_string(n),
        [&](const http1::response& answer) { status = answer.status; }, "sound body");
    replica_stand_in* running = nullptr;
    const auto find_running = [&] {
      it.for_each_endpoint(
          [&](replica_stand_in& one) { running = one.last.body.empty() ? running : &one; });
      return running != nullptr;
    };
    REQUIRE(it.loop->run_until(find_running, wait_limit));
    it.for_each_endpoint([](replica_stand_in& one) {
      one.silent = false;
      one.last.body.clear();
    });
    running->crash_and_restart();
    REQUIRE(it.loop->run_until([&] { return status.has_value(); }, wait_limit));
    CHECK(status == 200);
  }
}

// Guards against a sound request staying refused at the other instances because the store did not
// take the removal of its records.
TEST_CASE("the crash records of a request that completes are removed although the store is away") {
  const std::string prefix = "boragedoor/crashes/";
  crash_fixture it;
  it.wait_for_endpoints(*it.first);
  it.send_crashing(*it.first);
  REQUIRE(it.loop->run_until([&] { return it.store.keys(prefix).size() == 2; }, wait_limit));
  it.for_each_endpoint([](replica_stand_in& one) { one.crashing_target.clear(); });
  it.wait_for_endpoints(*it.first);

  SECTION("which refuses the removal") {
    it.store.set_fault(store_fault::refuse);
    CHECK(it.send_crashing(*it.first) == 200);
    it.loop->run_until([] { return false; }, seconds(1));
    CHECK(it.store.keys(prefix).size() == 2);
    it.store.set_fault(store_fault::none);
  }
  SECTION("and loses its answer") {
    it.store.set_fault(store_fault::lose_answers);
    CHECK(it.send_crashing(*it.first) == 200);
    it.loop->run_until([] { return false; }, seconds(1));
    it.store.set_fault(store_fault::none);
  }
  CHECK(it.loop->run_until([&] { return it.store.keys(prefix).empty(); }, seconds(10)));
}

} // namespace boragedoor::platform
