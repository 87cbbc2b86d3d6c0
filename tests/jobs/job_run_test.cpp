#include "jobs/job_run.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "jobs/listed_results.h"

namespace boragedoor::jobs {

namespace {

constexpr time_point start{seconds(100)};
constexpr wall_time wall_start{seconds(1000)};
constexpr duration time_until_due = seconds(5);

job make_job(std::size_t groups, std::size_t size, std::size_t desired = 0) {
  job it;
  it.id = "j";
  it.minimum_version = 4;
  it.desired_groups = desired;
  it.max_attempts = 3;
  it.give_up = wall_start + seconds(40);
  for (std::size_t g = 0; g < groups; ++g) {
    for (std::size_t n = 0; n < size; ++n) {
      job_item item;
      item.id = "g" + std::to_string(g) + "i" + std::to_string(n);
      item.group = "g" + std::to_string(g);
      // The last item of a group is its longest; later groups are longer.
      item.expected_tokens = static_cast<std::int64_t>(10 * g + n);
      item.reward = reward_call{"r" + item.id, "h", "/s", ""};
      it.items.push_back(std::move(item));
    }
  }
  return it;
}

stream_event make_event(std::uint64_t id, std::string data) {
  stream_event it;
  it.id = id;
  it.data = std::move(data);
  return it;
}

/// Runs an item to completion with events 1 to `n`.
void run_to_completion(job_run& run, std::size_t item, std::uint64_t version, std::uint64_t n,
                       time_point now = start) {
  run.started(item, {"e1", "s/v1"}, now);
  REQUIRE(run.accept_version(item, version));
  for (std::uint64_t id = 1; id <= n; ++id) {
    REQUIRE(run.append_event(item, make_event(id, "t" + std::to_string(id)), now));
  }
  run.ended(item, run_outcome::complete, now);
}

} // namespace

// Guards against an engine that sends events without end: its text cannot be listed, and going on
// behind it at another engine cannot end it.
TEST_CASE("a text that is longer than the store takes is given up and generated again") {
  job_run_options options;
  options.max_text_bytes = 100;
  job_run run(make_job(1, 1), {}, start, {}, options);
  run.started(0, {"e1", "s/v1"}, start);
  REQUIRE(run.accept_version(0, 4));
  REQUIRE(run.append_event(0, make_event(1, std::string(60, 'x')), start));
  CHECK_FALSE(run.append_event(0, make_event(2, std::string(60, 'x')), start));
  run.ended(0, run_outcome::broken, start);
  CHECK_FALSE(run.last_event(0));
  CHECK(run.next_item(start + seconds(1)) == 0);
}

TEST_CASE("items of a job start in order of priority") {
  SECTION("longest first, with groups beyond the desired number last") {
    // A step needs 3 of 4 groups, and is complete when the longest text of these 3 groups
    // is complete.
    job_run run(make_job(4, 2, 3), {}, start);
    std::vector<std::string> order;
    while (const auto n = run.next_item(start)) {
      order.push_back(run.item(*n).id);
      run.started(*n, {"e", "s/v1"}, start);
    }
    CHECK(order ==
          std::vector<std::string>{"g2i1", "g2i0", "g1i1", "g1i0", "g0i1", "g0i0", "g3i1", "g3i0"});
  }

  SECTION("without items whose results are already listed") {
    const std::vector<item_result> listed = {{"g0i0", item_state::done, "", {}, ""}};
    job_run run(make_job(1, 2), listed, start);
    CHECK(run.item(*run.next_item(start)).id == "g0i1");
    CHECK(run.unfinished() == 1);
  }
}

TEST_CASE("the text of an item is built from the events of its runs") {
  job_run run(make_job(1, 1), {}, start);
  run.started(0, {"e1", "s/v1"}, start);

  SECTION("and its result names every weight version that generated an event") {
    REQUIRE(run.accept_version(0, 4));
    REQUIRE(run.append_event(0, make_event(1, "a"), start));
    REQUIRE(run.accept_version(0, 5));
    REQUIRE(run.append_event(0, make_event(2, "b"), start));
    run.ended(0, run_outcome::complete, start);
    run.reward_started(0);
    run.reward_ended(0, reward_outcome::scored, "sig", 4, start);
    const auto list = run.take_results(1000, start);
    REQUIRE(list.size() == 1);
    CHECK(list[0].text == "a\nb");
    CHECK(list[0].versions == std::vector<std::uint64_t>{4, 5});
    CHECK(list[0].score == "sig");
  }

  SECTION("and an endpoint whose weights are too old for the job is rejected") {
    CHECK_FALSE(run.accept_version(0, 3));
    run.ended(0, run_outcome::stale_weights, start);
    CHECK(run.next_item(start + seconds(1)) == 0);
  }

  SECTION("and continues after its last event at another endpoint, without gap or repetition") {
    REQUIRE(run.accept_version(0, 4));
    REQUIRE(run.append_event(0, make_event(1, "a"), start));
    run.ended(0, run_outcome::broken, start);
    CHECK(run.last_event(0) == 1);
    CHECK(run.avoided_endpoints(0).front() == "e1");
    run.started(0, {"e2", "s/v1"}, start + seconds(1));
    REQUIRE(run.accept_version(0, 4));
    CHECK_FALSE(run.append_event(0, make_event(1, "a"), start));
    CHECK_FALSE(run.append_event(0, make_event(3, "c"), start));
    CHECK(run.append_event(0, make_event(2, "b"), start));
  }

  SECTION("and is listed only once it has its score") {
    REQUIRE(run.accept_version(0, 4));
    REQUIRE(run.append_event(0, make_event(1, "a"), start));
    run.ended(0, run_outcome::complete, start);
    CHECK(run.take_results(1000, start).empty());
    CHECK(run.next_reward(start) == 0);
    run.reward_started(0);
    CHECK_FALSE(run.next_reward(start));
    SECTION("a reward call without an answer is repeated") {
      run.reward_ended(0, reward_outcome::broken, "", 4, start);
      CHECK(run.next_reward(start + seconds(1)) == 0);
    }
    SECTION("a reward call that never gets its answer is repeated about once a second") {
      // Guards against an endpoint whose answers never match: it got the same call fifteen times a
      // second.
      int sent = 1;
      for (time_point now = start; now < start + seconds(20); now += milliseconds(10)) {
        run.reward_ended(0, reward_outcome::broken, "", 4, now);
        if (run.next_reward(now)) {
          run.reward_started(0);
          ++sent;
        }
      }
      // Twenty, and a few before the pause has grown.
      CHECK(sent <= 26);
    }
    SECTION("a reward call that an endpoint refuses is repeated soon") {
      // A full service has places again within milliseconds.
      time_point now = start;
      for (int n = 0; n < 20; ++n) {
        run.reward_ended(0, reward_outcome::not_run, "", 4, now);
        now += milliseconds(50);
        REQUIRE(run.next_reward(now) == 0);
        run.reward_started(0);
      }
    }
    SECTION("a reward call that always fails terminates the item after its route's max attempts") {
      // Guards against applying the max_attempts of the job's own route (3), which would terminate
      // the item too early.
      for (int n = 1; n < 4; ++n) {
        run.reward_ended(0, reward_outcome::failed, "", 4, start);
        REQUIRE(run.next_reward(start + seconds(1)) == 0);
        run.reward_started(0);
      }
      run.reward_ended(0, reward_outcome::failed, "", 4, start);
      const auto list = run.take_results(1000, start);
      REQUIRE(list.size() == 1);
      CHECK(list[0].state == item_state::terminated);
      CHECK(list[0].text.empty());
    }
  }
}

TEST_CASE("an item of a single-version job is restarted when the weight version changes") {
  job contents = make_job(1, 1);
  contents.single_version = true;
  job_run run(std::move(contents), {}, start);
  run.started(0, {"e1", "s/v1"}, start);
  REQUIRE(run.accept_version(0, 4));
  REQUIRE(run.append_event(0, make_event(1, "a"), start));
  CHECK_FALSE(run.accept_version(0, 5));
  run.ended(0, run_outcome::stale_weights, start);
  CHECK_FALSE(run.last_event(0));
  run_to_completion(run, 0, 5, 1, start + seconds(1));
  run.reward_started(0);
  run.reward_ended(0, reward_outcome::scored, "s", 4, start);
  CHECK(run.take_results(1000, start).at(0).versions == std::vector<std::uint64_t>{5});
}

TEST_CASE("an item whose runs are unsuccessful is retried or terminated") {
  job_run run(make_job(1, 1), {}, start);

  SECTION("is terminated after max_attempts failures, or at once if it is impossible") {
    const auto outcome = GENERATE(run_outcome::failed, run_outcome::impossible);
    time_point now = start;
    int runs = 0;
    while (const auto n = run.next_item(now)) {
      run.started(*n, {"e", "s/v1"}, now);
      run.ended(*n, outcome, now);
      ++runs;
      now += seconds(30);
    }
    CHECK(runs == (outcome == run_outcome::failed ? 3 : 1));
    CHECK(run.take_results(1000, start).at(0).state == item_state::terminated);
  }

  SECTION("is placed again soon after a burst of crashes, however many hit it") {
    // Guards against a sound item that is held back long after the endpoints are well again. Users
    // count an item that is at no endpoint for five seconds as lost; it takes a second at most
    // here, because its endpoint may have to be chosen anew several times.
    constexpr duration max_delay = seconds(1);
    time_point now = start;
    duration longest{};
    for (int crash = 0; crash < 30; ++crash) {
      const time_point crashed_at = now;
      while (!run.next_item(now)) {
        now += milliseconds(10);
        REQUIRE(now < start + seconds(600));
      }
      longest = std::max(longest, now - crashed_at);
      run.started(0, {"e", "s/v1"}, now);
      run.ended(0, run_outcome::broken, now);
    }
    CHECK(longest <= max_delay);
    CHECK(run.next_item(now + max_delay) == 0);

    SECTION("and without delay once a run has brought an event") {
      now += max_delay;
      run.started(0, {"e", "s/v1"}, now);
      REQUIRE(run.accept_version(0, 4));
      REQUIRE(run.append_event(0, make_event(1, "a"), now));
      run.ended(0, run_outcome::broken, now);
      CHECK(run.next_item(now + milliseconds(50)) == 0);
    }
  }

  SECTION("is retried with increasing delays while it fails") {
    // Endpoints that are full or restarting are not asked in quick succession.
    time_point now = start;
    int runs = 0;
    for (; now < start + seconds(5); now += milliseconds(10)) {
      if (run.next_item(now)) {
        run.started(0, {"e", "s/v1"}, now);
        run.ended(0, run_outcome::not_run, now);
        ++runs;
      }
    }
    CHECK(runs <= 10);
  }

  SECTION("is listed as terminated when the job's give-up time has passed") {
    run.terminate_expired(wall_start + seconds(39), start);
    CHECK(run.take_results(1000, start).empty());
    run.terminate_expired(wall_start + seconds(40), start);
    CHECK(run.take_results(1000, start).at(0).state == item_state::terminated);
    CHECK(run.all_finished());
  }
}

TEST_CASE("slow runs are found, so that they can move to other endpoints") {
  job_run run(make_job(3, 1), {}, start);
  const auto advance = [&](std::size_t item, std::uint64_t id, duration at) {
    REQUIRE(run.append_event(item, make_event(id, "t"), start + at));
  };
  for (std::size_t n = 0; n < 3; ++n) {
    run.started(n, {n == 2 ? "slow" : "fast", "s/v1"}, start);
    REQUIRE(run.accept_version(n, 4));
  }

  SECTION("a run on an engine that is slower by a factor") {
    // Models an endpoint that takes 3.5 times as long per event.
    for (std::uint64_t id = 1; id <= 3; ++id) {
      advance(0, id, milliseconds(40) * id);
      advance(1, id, milliseconds(40) * id);
      advance(2, id, milliseconds(140) * id);
    }
    CHECK(run.slow_runs(start + milliseconds(430)).front() == 2);
  }

  SECTION("a run without events, because its engine loads weights or has crashed") {
    for (std::uint64_t id = 1; id <= 5; ++id) {
      for (std::size_t n = 0; n < 3; ++n) {
        advance(n, id, milliseconds(40) * id);
      }
    }
    CHECK(run.slow_runs(start + milliseconds(300)).empty());
    advance(0, 6, milliseconds(340));
    advance(1, 6, milliseconds(350));
    CHECK(run.slow_runs(start + milliseconds(450)) == std::vector<std::size_t>{2});
  }

  SECTION("and runs with a minimum number of events are found, longest text first") {
    advance(1, 1, milliseconds(40));
    advance(2, 1, milliseconds(40));
    advance(2, 2, milliseconds(80));
    CHECK(run.runs_with_events(1) == std::vector<std::size_t>{2, 1});
    CHECK(run.runs_with_events(2) == std::vector<std::size_t>{2});
  }
}

TEST_CASE("results are listed when the trainer can use them") {
  job_run run(make_job(2, 2), {}, start);
  const auto finish = [&](std::size_t n, time_point now) {
    run_to_completion(run, n, 4, 1, now);
    run.reward_started(n);
    run.reward_ended(n, reward_outcome::scored, "s", 4, now);
  };
  finish(0, start);
  CHECK_FALSE(run.results_due(start + milliseconds(500), time_until_due));

  SECTION("immediately when a group is complete") {
    finish(1, start + milliseconds(500));
    CHECK(run.results_due(start + milliseconds(500), time_until_due));
    CHECK(run.take_results(1000, start).size() == 2);
    CHECK_FALSE(run.results_due(start + milliseconds(500), time_until_due));
  }
  SECTION("after a delay when no group is complete") {
    CHECK(run.results_due(start + seconds(1), time_until_due));
  }
  SECTION("in chunks of limited size, each result once") {
    finish(1, start);
    finish(2, start);
    finish(3, start);
    std::set<std::string> ids;
    while (!run.all_finished()) {
      const auto list = run.take_results(1, start);
      REQUIRE(list.size() == 1);
      CHECK(ids.insert(list[0].id).second);
    }
    CHECK(ids.size() == 4);
  }
}

// Guards against steps that end half a second late: the trainer pauses that long after each read,
// so a listing shortly before the last one delays the step.
TEST_CASE("results of a step are listed when it is complete, at intervals, and when due") {
  // Models a step that needs two of three groups and whose results are due after 7.5 s. The first
  // group is complete after 1 s; in one section, the second is complete after 2.7 s.
  job_run run(make_job(3, 2, 2), {}, start);
  const auto finish = [&](std::size_t n, time_point now) {
    run_to_completion(run, n, 4, 70, now);
    run.reward_started(n);
    run.reward_ended(n, reward_outcome::scored, "s", 4, now);
  };
  const auto due_at = [&](duration passed) {
    return run.results_due(start + passed, milliseconds(7500) - passed);
  };
  finish(0, start + seconds(1));
  finish(1, start + seconds(1));
  CHECK_FALSE(due_at(seconds(1)));
  CHECK(due_at(milliseconds(2500)));
  CHECK(run.take_results(100'000, start + milliseconds(2500)).size() == 2);
  finish(2, start + milliseconds(2600));
  CHECK_FALSE(due_at(milliseconds(4900)));
  CHECK(due_at(seconds(5)));

  SECTION("immediately when the desired groups are complete") {
    finish(3, start + milliseconds(2700));
    CHECK(due_at(milliseconds(2700)));
  }
  SECTION("soon after the results are due, even if the step is incomplete") {
    job_run overdue(make_job(3, 2, 3), {}, start + seconds(6));
    for (const std::size_t n : {0U, 1U}) {
      run_to_completion(overdue, n, 4, 1, start + seconds(7));
      overdue.reward_started(n);
      overdue.reward_ended(n, reward_outcome::scored, "s", 4, start + seconds(7));
    }
    const auto overdue_at = [&](duration passed) {
      return overdue.results_due(start + passed, milliseconds(7500) - passed);
    };
    CHECK_FALSE(overdue_at(milliseconds(7500)));
    CHECK(overdue_at(milliseconds(7750)));
    overdue.take_results(100'000, start + milliseconds(7750));
    for (const std::size_t n : {2U, 3U}) {
      run_to_completion(overdue, n, 4, 1, start + seconds(8));
      overdue.reward_started(n);
      overdue.reward_ended(n, reward_outcome::scored, "s", 4, start + seconds(8));
    }
    CHECK(overdue_at(milliseconds(8000)));
  }
  SECTION("and long complete texts that are not yet listed are saved like partial texts") {
    const auto kept = run.progress(100'000);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].last_event == 70);
    // An instance that takes over the job continues after the last event and receives no further
    // one.
    job_run successor(make_job(3, 2, 2), {}, start, kept);
    successor.started(2, {"e2", "s/v1"}, start);
    REQUIRE(successor.accept_version(2, 5));
    successor.ended(2, run_outcome::complete, start);
    CHECK(successor.next_reward(start) == 2);
  }
}

TEST_CASE("saved partial texts are continued by another instance") {
  // Models a power loss of all instances while texts that take several seconds are incomplete.
  job_run before(make_job(1, 2), {}, start);
  before.started(0, {"e1", "s/v1"}, start);
  REQUIRE(before.accept_version(0, 4));
  for (std::uint64_t id = 1; id <= 80; ++id) {
    REQUIRE(before.append_event(0, make_event(id, std::to_string(id)), start));
  }
  const auto kept = before.take_new_progress(1'000'000);
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].last_event == 80);
  CHECK(before.take_new_progress(1'000'000).empty());
  // An instance that hands over the job passes on all texts, however few events are new.
  CHECK(before.progress(1'000'000).size() == 1);

  job_run after(make_job(1, 2), {}, start, kept);
  CHECK(after.last_event(0) == 80);
  CHECK_FALSE(after.last_event(1));
  after.started(0, {"e2", "s/v1"}, start);
  REQUIRE(after.accept_version(0, 5));
  REQUIRE(after.append_event(0, make_event(81, "81"), start));
  after.ended(0, run_outcome::complete, start);
  after.reward_started(0);
  after.reward_ended(0, reward_outcome::scored, "s", 4, start);
  const auto list = after.take_results(1'000'000, start);
  CHECK(list.at(0).versions == std::vector<std::uint64_t>{4, 5});
  CHECK(list.at(0).text.starts_with("1\n2\n"));
  CHECK(list.at(0).text.ends_with("80\n81"));
}

// Load: the trainer ends a step with nine of ten groups and submits the tenth again in its next
// step, which waits for it whichever other groups are complete. Guards against generating the
// longest texts of a step a second time, and against starting them last.
TEST_CASE("the next step continues the groups that a step left") {
  job_run before(make_job(3, 2, 2), {}, start);
  listed_results listed(0, 1'000'000);
  const auto finish = [&](std::size_t n, std::uint64_t events) {
    run_to_completion(before, n, 4, events);
    before.reward_started(n);
    before.reward_ended(n, reward_outcome::scored, "s", 4, start);
  };
  const auto texts = [&] {
    return before.texts_for_next_step(100'000,
                                      [&](std::string_view item) { return listed.find(item); });
  };
  const auto list = [&] { listed.append(before.take_results(100'000, start)); };
  // One item of the third group is listed before the step is complete.
  finish(4, 5);
  list();
  before.started(5, {"e1", "s/v1"}, start);
  REQUIRE(before.accept_version(5, 4));
  REQUIRE(before.append_event(5, make_event(1, "t1"), start));
  for (const std::size_t n : {0U, 1U, 2U, 3U}) {
    finish(n, 2);
  }

  SECTION("if it ends before it is complete, all incomplete groups") {
    const auto left = texts();
    REQUIRE(left.size() == 2);
    CHECK(left[0].id == "g2i0");
    CHECK(left[0].text == "t1\nt2\nt3\nt4\nt5");
    CHECK(left[0].software == "s/v1");
    CHECK(left[1].id == "g2i1");
  }

  SECTION("also the items that are complete only after the trainer has read enough") {
    list();
    before.ended(5, run_outcome::complete, start);
    before.reward_started(5);
    before.reward_ended(5, reward_outcome::scored, "s", 4, start);
    list();
    const auto left = texts();
    REQUIRE(left.size() == 2);
    CHECK(left[1].id == "g2i1");
    CHECK(left[1].text == "t1");

    SECTION("and starts them first, although they are the longest") {
      const std::vector<std::size_t> carried = {4, 5};
      job_run after(make_job(3, 2, 2), {}, start, left, {}, carried);
      CHECK(after.next_item(start) == 5);
      job_run unaware(make_job(3, 2, 2), {}, start, left);
      CHECK(unaware.next_item(start) == 3);
      CHECK(after.last_event(4) == 5);
    }
  }
}

TEST_CASE("a text is continued only by the software that began it") {
  job_run run(make_job(1, 2), {}, start);
  CHECK(run.software(0).empty());
  run.started(0, {"e1", "s/v1"}, start);
  REQUIRE(run.accept_version(0, 4));

  SECTION("a run without events leaves the choice open") {
    run.ended(0, run_outcome::broken, start);
    CHECK(run.software(0).empty());
  }

  SECTION("after its first events") {
    for (std::uint64_t id = 1; id <= 30; ++id) {
      REQUIRE(run.append_event(0, make_event(id, "t"), start));
    }
    run.ended(0, run_outcome::broken, start);
    CHECK(run.software(0) == "s/v1");

    SECTION("events of other software are rejected") {
      run.started(0, {"e2", "s/v2"}, start);
      REQUIRE(run.accept_version(0, 4));
      CHECK_FALSE(run.append_event(0, make_event(31, "t"), start));
    }
    SECTION("it waits for a free slot no longer than generating it again takes") {
      run.started(1, {"e2", "s/v2"}, start);
      CHECK_FALSE(run.postpone(0, true, start));
      CHECK_FALSE(run.next_item(start + milliseconds(49)));
      CHECK(run.next_item(start + milliseconds(50)) == 0);
      CHECK_FALSE(run.postpone(0, true, start + milliseconds(599)));
      CHECK(run.last_event(0) == 30);
      CHECK(run.postpone(0, true, start + milliseconds(600)));
      CHECK_FALSE(run.last_event(0));
    }
    SECTION("it is generated again if no endpoint with its software is left") {
      CHECK(run.postpone(0, false, start));
      CHECK(run.software(0).empty());
      run.started(0, {"e2", "s/v2"}, start);
      REQUIRE(run.accept_version(0, 5));
      REQUIRE(run.append_event(0, make_event(1, "n"), start));
      run.ended(0, run_outcome::complete, start);
      run.reward_started(0);
      run.reward_ended(0, reward_outcome::scored, "s", 4, start);
      const auto list = run.take_results(1'000'000, start);
      CHECK(list.at(0).text == "n");
      CHECK(list.at(0).versions == std::vector<std::uint64_t>{5});
    }
    SECTION("it names the process that generated its last part until that is verified") {
      run.started(0, {"e1", "s/v1", 7}, start);
      REQUIRE(run.accept_version(0, 4));
      CHECK_FALSE(run.unverified_source(0) == routing::endpoint_process{"e1", 7});
      REQUIRE(run.append_event(0, make_event(31, "t"), start));
      CHECK(run.unverified_source(0) == routing::endpoint_process{"e1", 7});
      run.ended(0, run_outcome::broken, start);
      const auto kept = run.progress(100'000);
      REQUIRE(kept.size() == 1);
      const job_run successor(make_job(1, 2), {}, start, kept);
      CHECK(successor.unverified_source(0) == routing::endpoint_process{"e1", 7});

      SECTION("then it goes on, and a verified process leaves it verified") {
        run.confirm_text(0);
        CHECK_FALSE(run.unverified_source(0));
        run.started(0, {"e2", "s/v1", 9}, start);
        run.confirm_run(0);
        REQUIRE(run.accept_version(0, 4));
        REQUIRE(run.append_event(0, make_event(32, "t"), start));
        CHECK_FALSE(run.unverified_source(0));
        CHECK_FALSE(run.progress(100'000).at(0).unverified);
      }
      SECTION("or it is discarded and starts again at once") {
        run.refute_text(0, start);
        CHECK_FALSE(run.last_event(0));
        CHECK_FALSE(run.unverified_source(0));
        CHECK(run.software(0).empty());
        run.started(1, {"e2", "s/v2"}, start);
        CHECK(run.next_item(start) == 0);
      }
    }
    SECTION("saved texts keep their software, and those without any are not used") {
      auto kept = run.progress(100'000);
      REQUIRE(kept.size() == 1);
      CHECK(kept[0].software == "s/v1");
      const job_run successor(make_job(1, 2), {}, start, kept);
      CHECK(successor.software(0) == "s/v1");
      CHECK(successor.last_event(0) == 30);
      kept[0].software.clear();
      const job_run other(make_job(1, 2), {}, start, kept);
      CHECK_FALSE(other.last_event(0));
    }
  }
}

// Guards against a result that names the versions of a text that was not kept: after a takeover,
// the same item may have a text from the job's saved progress and one from an earlier step.
TEST_CASE("an item with two partial texts keeps one of them with its own versions") {
  const job contents = make_job(1, 1);
  const item_progress shorter{"g0i0", "t1", 1, {4}, "s/v1"};
  const item_progress longer{"g0i0", "t1\nt2", 2, {4, 5}, "s/v1"};
  const auto restore = [&](const std::vector<item_progress>& texts) {
    job_run run(contents, {}, start, texts);
    const auto last = run.last_event(0);
    run.started(0, {"e1", "s/v1"}, start);
    REQUIRE(run.accept_version(0, 6));
    REQUIRE(run.append_event(0, make_event(*last + 1, "end"), start));
    run.ended(0, run_outcome::complete, start);
    run.reward_started(0);
    run.reward_ended(0, reward_outcome::scored, "sig", 3, start);
    return run.take_results(1'000'000, start).at(0);
  };

  for (const auto& texts : {std::vector{shorter, longer}, std::vector{longer, shorter}}) {
    const item_result out = restore(texts);
    CHECK(out.text == "t1\nt2\nend");
    CHECK(out.versions == std::vector<std::uint64_t>{4, 5, 6});
  }

  SECTION("also if the shorter one names versions that the longer one lacks") {
    item_progress other = shorter;
    other.versions = {7};
    CHECK(restore({other, longer}).versions == std::vector<std::uint64_t>{4, 5, 6});
  }
}

} // namespace boragedoor::jobs
