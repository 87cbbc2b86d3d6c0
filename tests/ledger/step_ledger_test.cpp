#include "ledger/step_ledger.h"

#include <algorithm>

#include "ledger/ledger_simulation.h"
#include "ledger/naive_ledger.h"
#include "support/property.h"

namespace boragedoor::ledger {

namespace {

/// A ledger with a store that replies immediately and without faults.
struct ledger_fixture {
  random_engine random{1};
  testing::fault_counts counts;
  testing::fault_store store{random, counts};
  step_ledger ledger = step_ledger::create("t", 1, 10, 5, {.batch_linger = duration::zero()});
  std::vector<run_sample> running;
  std::vector<batch_reply> batches;
  std::vector<open_reply> opens;
  std::vector<acknowledge_reply> acknowledgements;
  bool stopped = false;
  time_point now{};

  /// Executes actions, and the actions that their results lead to.
  void run(const actions& out) {
    for (const action& it : out) {
      std::visit([this](const auto& each) { take(each); }, it);
    }
    store.step(false);
    testing::store_result result;
    if (store.take(0, result)) {
      const auto* write = std::get_if<store_write_result>(&result);
      run(write != nullptr ? ledger.finish_write(now, *write)
                           : ledger.finish_read(now, std::get<store_read_result>(result)));
    } else if (!store.idle()) {
      run({});
    }
  }
  void take(const store_put& it) { store.submit(0, it); }
  void take(const store_get& it) { store.submit(0, it); }
  void take(const store_delete& it) { store.submit(0, it); }
  void take(const run_sample& it) { running.push_back(it); }
  void take(const batch_reply& it) { batches.push_back(it); }
  void take(const open_reply& it) { opens.push_back(it); }
  void take(const acknowledge_reply& it) { acknowledgements.push_back(it); }
  void take(const step_event& /*it*/) {}
  void take(const step_stopped& /*it*/) { stopped = true; }

  void finish_all(std::uint64_t version, std::size_t bytes = 1) {
    const std::vector<run_sample> list = std::exchange(running, {});
    for (const run_sample& it : list) {
      run(ledger.finish_sample(now, {it.attempt, std::string(bytes, 'a'), {version}, {}}));
    }
  }
  void poll(std::uint64_t after) { run(ledger.poll(now, 0, after, now + seconds(1))); }
  [[nodiscard]] std::size_t batch_keys() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        store.cells(), [](const auto& it) { return it.first.starts_with("batch/"); }));
  }
};

} // namespace

TEST_CASE("a step ledger runs the groups of a step and delivers them in batches") {
  ledger_fixture it;
  it.run(it.ledger.open(it.now, 1, small_step_spec(3)));
  REQUIRE(it.opens.size() == 1);
  CHECK(it.opens[0].outcome);
  REQUIRE(it.running.size() == 6);

  SECTION("opening a step again succeeds with the same specification and conflicts with another") {
    it.run(it.ledger.open(it.now, 2, small_step_spec(3)));
    it.run(it.ledger.open(it.now, 3, small_step_spec(2)));
    REQUIRE(it.opens.size() == 3);
    CHECK(it.opens[1].outcome);
    CHECK(it.opens[2].outcome.error().code == error_code::conflict);
    CHECK(it.running.size() == 6);
  }
  SECTION("no batch is delivered before all samples of a group are finished") {
    it.run(it.ledger.finish_sample(it.now, {it.running[1].attempt, "a", {5}, {}}));
    it.poll(0);
    CHECK(it.batches.empty());
    SECTION("a poll without a batch is answered at its deadline") {
      it.now += seconds(1);
      it.run(it.ledger.tick(it.now));
      REQUIRE(it.batches.size() == 1);
      CHECK(it.batches[0].kind == batch_reply_kind::none_yet);
    }
  }
  SECTION("a step whose samples are all finished delivers a batch") {
    it.finish_all(5);
    it.poll(0);
    REQUIRE(it.batches.size() == 1);
    SECTION("an unacknowledged batch is delivered again with identical content") {
      it.poll(0);
      REQUIRE(it.batches.size() == 2);
      CHECK(it.batches[0].content == it.batches[1].content);
    }
    SECTION("a poll after a batch that was never delivered is refused") {
      it.poll(99);
      CHECK(it.batches[1].kind == batch_reply_kind::refused);
    }
    SECTION("a complete step has no batch contents and took at most 4 writes and one deletion per "
            "batch") {
      for (std::size_t n = 0; n < 10 && it.batches.back().kind == batch_reply_kind::batch; ++n) {
        it.poll(it.batches.back().n);
      }
      CHECK(it.batches.back().kind == batch_reply_kind::complete);
      CHECK(it.ledger.complete());
      CHECK(it.batch_keys() == 0);
      const std::uint64_t batches = it.ledger.record().last_batch;
      // Two more writes for the step itself: opening and completion.
      CHECK(it.ledger.calls().puts <= 4 * batches + 2);
      CHECK(it.ledger.calls().deletes == batches);
      CHECK(it.ledger.calls().gets == 0);
      SECTION("a complete step still accepts repeated acknowledge and open requests") {
        it.run(it.ledger.acknowledge(it.now, 7, 1));
        it.run(it.ledger.open(it.now, 8, small_step_spec(3)));
        CHECK(it.acknowledgements.back().outcome);
        CHECK(it.opens.back().outcome);
      }
    }
    SECTION("a new holder continues the step from the store and stops the previous holder") {
      step_ledger former = std::exchange(
          it.ledger, step_ledger::create("t", 1, 11, 5, {.batch_linger = duration::zero()}));
      it.poll(0);
      REQUIRE(it.batches.size() == 2);
      CHECK(it.batches[0].content == it.batches[1].content);
      CHECK(it.running.empty());
      std::swap(former, it.ledger);
      it.run(it.ledger.acknowledge(it.now, 9, 1));
      CHECK(it.stopped);
      REQUIRE(it.acknowledgements.size() == 1);
      CHECK(it.acknowledgements[0].outcome.error().code == error_code::stale_token);
    }
  }
  SECTION("a batch over the staleness bound is voided before delivery and its groups run again") {
    it.finish_all(5);
    it.run(it.ledger.announce_version(it.now, 7));
    it.poll(0);
    CHECK(it.batches.empty());
    CHECK(it.running.size() == 6);
    it.finish_all(6);
    REQUIRE(it.batches.size() == 1);
    CHECK(it.batches[0].content.find("\"weight_versions\":[6]") != std::string::npos);
    SECTION("a delivered batch over the staleness bound is not voided") {
      it.run(it.ledger.announce_version(it.now, 9));
      it.poll(0);
      CHECK(it.batches.back().content == it.batches[0].content);
    }
  }
  SECTION("a failed sample runs as a new attempt and a late result of the old attempt is ignored") {
    const sample_attempt old = it.running[0].attempt;
    it.run(it.ledger.fail_sample(it.now, old));
    it.now += seconds(1);
    it.run(it.ledger.tick(it.now));
    REQUIRE(it.running.size() == 7);
    CHECK(it.running[6].attempt.attempt == old.attempt + 1);
    CHECK(it.running[6].seed == it.running[0].seed);
    it.run(it.ledger.finish_sample(it.now, {old, "late", {5}, {}}));
    it.poll(0);
    CHECK(it.batches.empty());
  }
  SECTION("a group larger than a store value is stored in parts and delivered as one batch") {
    it.finish_all(5, 1'500'000);
    it.poll(0);
    REQUIRE_FALSE(it.batches.empty());
    CHECK(it.batches[0].content.size() > max_store_value_bytes);
    CHECK(it.batch_keys() > 3);
    it.ledger = step_ledger::create("t", 1, 11, 5);
    it.poll(0);
    CHECK(it.batches.back().content == it.batches[0].content);
    it.poll(it.batches[0].n);
    it.poll(it.batches.back().n);
    it.poll(it.batches.back().n);
    CHECK(it.ledger.complete());
    CHECK(it.batch_keys() == 0);
  }
  SECTION("unlisted content of a previous holder is not overwritten and is deleted on completion") {
    it.store.submit(1, store_put{0, batch_key("t", 1, 1), "left", 0});
    it.store.step(false);
    it.finish_all(5);
    it.poll(0);
    REQUIRE(it.batches.size() == 1);
    CHECK(it.batches[0].n == 2);
    CHECK(it.store.cells().at(batch_key("t", 1, 1)).value == "left");
    while (it.batches.back().kind == batch_reply_kind::batch) {
      it.poll(it.batches.back().n);
    }
    CHECK(it.ledger.complete());
    CHECK(it.batch_keys() == 0);
  }
  SECTION("a sample that can never run is delivered as an error so that the step can complete") {
    for (const run_sample& each : std::exchange(it.running, {})) {
      it.run(it.ledger.finish_sample(it.now, {each.attempt, {}, {}, "quarantined"}));
    }
    it.run(it.ledger.announce_version(it.now, 100));
    it.poll(0);
    REQUIRE(it.batches.size() == 1);
    CHECK(it.batches[0].content.find("quarantined") != std::string::npos);
  }
}

TEST_CASE(
    "every sample is delivered exactly once in effect, within the staleness bound and with its "
    "weight versions") {
  testing::fault_counts counts;
  testing::check_property("step ledger with losses, repeats, pauses, crashes and takeovers", [&] {
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
    // One schedule has only a few dozen store calls, so each case runs five.
    for (std::uint64_t n = 0; n < 5; ++n) {
      ledger_simulation run(seed + n, counts);
      run.run(3000);
      for (const std::string& it : run.violations()) {
        RC_FAIL(it);
      }
      RC_ASSERT(run.complete());
    }
  });
  counts.print("ledger");
}

TEST_CASE("the sample checker detects the violations of the naive ledger") {
  const step_spec spec = small_step_spec(2);
  sample_checker checker(spec);
  std::uint64_t token = 0;
  const auto run = [&](std::uint64_t version) {
    naive_ledger naive = naive_ledger::create("t", 1, spec);
    for (sample_attempt& it : naive.start({})) {
      sample_result result{it, "text " + std::to_string(++token), {version}, {}};
      checker.produced(result);
      naive.finish_sample({}, std::move(result));
    }
    return naive;
  };
  const naive_ledger first = run(5);
  checker.received(1, *first.poll(0));
  SECTION("a run of the naive ledger without faults has no violations") {
    checker.received(2, *first.poll(1));
    checker.first_delivery(2, *first.poll(1), 6);
    checker.finish();
    CHECK(checker.violations().empty());
  }
  SECTION("a batch with different content after a takeover is a violation") {
    checker.received(1, *run(5).poll(0));
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a sample delivered twice after a takeover is a violation") {
    checker.received(2, *first.poll(1));
    checker.received(3, *run(5).poll(0));
    CHECK_FALSE(checker.violations().empty());
  }
  SECTION("a first delivery over the staleness bound is a violation") {
    checker.first_delivery(2, *first.poll(1), 7);
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a missing sample is a violation") {
    checker.finish();
    CHECK(checker.violations().size() == 1);
  }
}

} // namespace boragedoor::ledger
