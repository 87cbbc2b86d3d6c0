#include "routing/router.h"

#include <algorithm>
#include <map>
#include <set>

#include "routing/naive_router.h"
#include "support/property.h"

namespace boragedoor::routing {

namespace {

struct fixture {
  endpoint_table table;
  endpoint_health health = endpoint_health::create({}).value();
  prefix_cache_hints hints = prefix_cache_hints::create({}).value();
  random_engine random{7};
  time_point now{seconds(1000)};
  router_options options{.instance = "i1", .data_centre = "a", .region = "r"};

  endpoint& add(endpoint it) {
    health.add(it.id, it.data_centre, it.pool);
    REQUIRE(table.put(it));
    table.update_load(it.id, {now - milliseconds(1), 0, 0});
    added.push_back(std::move(it));
    return added.back();
  }
  void add_some(int n, std::string_view data_centre = "a") {
    for (int i = 0; i < n; ++i) {
      endpoint it;
      it.id = std::string(data_centre) + std::to_string(i);
      it.data_centre = data_centre;
      it.region = "r";
      it.pool = "p";
      it.max_running = 8;
      add(it);
    }
  }
  result<route_choice> choose(const route_request& request) {
    return router::create(options).value().choose(request, table, health, hints, now, random);
  }
  void fail(std::string_view id) {
    health.record(id, health_signal::invalid_response, now);
    health.update(now);
  }
  std::vector<endpoint> added;
};

} // namespace

TEST_CASE("router") {
  fixture it;
  it.add_some(4);
  route_request request{.pool = "p", .prompt_tokens = 1000, .expected_tokens = 100};

  SECTION("prefers its own data centre until that is loaded") {
    it.add_some(4, "b");
    CHECK(it.choose(request).value().endpoint[0] == 'a');
    for (const char* id : {"a0", "a1", "a2", "a3"}) {
      it.table.update_load(id, {it.now, 8, 4});
    }
    CHECK(it.choose(request).value().endpoint[0] == 'b');
  }
  SECTION("chooses the endpoint that has the prompt cached") {
    const std::vector<prefix_hash> prefix{1, 2, 3};
    request.prefix = prefix;
    it.hints.record_dispatch("a2", prefix, it.now);
    for (int i = 0; i < 20; ++i) {
      CHECK(it.choose(request).value().endpoint == "a2");
    }
    SECTION("does not follow cache affinity beyond the imbalance bound") {
      it.table.update_load("a2", {it.now, 4, 0});
      CHECK(it.choose(request).value().endpoint != "a2");
    }
  }
  SECTION("transfers a KV cache if that is faster than recomputing it") {
    request.kv = kv_location{"a1", 1000};
    CHECK(it.choose(request).value().endpoint == "a1");
    it.table.set_state("a1", endpoint_state::draining);
    request.prompt_tokens = 2000;
    request.kv->tokens = 2000;
    const auto moved = it.choose(request).value();
    REQUIRE(moved.transfer);
    CHECK(moved.transfer->from == "a1");
    SECTION("recomputes a short KV cache") {
      request.prompt_tokens = 100;
      request.kv->tokens = 100;
      CHECK_FALSE(it.choose(request).value().transfer);
    }
    SECTION("recomputes a KV cache whose endpoint was removed") {
      it.table.remove("a1");
      CHECK_FALSE(it.choose(request).value().transfer);
    }
  }
  SECTION("uses an ejected endpoint only when no other is left") {
    it.fail("a0");
    for (int i = 0; i < 50; ++i) {
      CHECK(it.choose(request).value().endpoint != "a0");
    }
    for (const char* id : {"a1", "a2", "a3"}) {
      it.table.set_state(id, endpoint_state::draining);
    }
    const auto last = it.choose(request).value();
    CHECK(last.endpoint == "a0");
    CHECK(last.probe);
  }
  SECTION("probes an endpoint on probation with some idempotent rollouts") {
    it.fail("a0");
    it.health.update(it.now + seconds(6));
    const auto probe_count = [&] {
      int n = 0;
      for (int i = 0; i < 300; ++i) {
        n += it.choose(request).value().endpoint == "a0" ? 1 : 0;
      }
      return n;
    };
    CHECK(probe_count() > 5);
    SECTION("sends one probe at a time") {
      it.table.record_dispatch("a0", it.now);
      CHECK(probe_count() == 0);
    }
    SECTION("does not probe with interactive or non-idempotent requests") {
      request.priority = route_class::interactive;
      CHECK(probe_count() == 0);
      request.priority = route_class::rollout;
      request.idempotent = false;
      CHECK(probe_count() == 0);
    }
  }
  SECTION("uses a cheap endpoint for a request that does not allow it only when no other is left") {
    endpoint cheap = it.added[0];
    cheap.id = "cheap";
    cheap.tier = endpoint_tier::cheap;
    it.add(cheap);
    request.cheap_allowed = false;
    for (int i = 0; i < 50; ++i) {
      CHECK(it.choose(request).value().endpoint != "cheap");
    }
    for (const char* id : {"a0", "a1", "a2", "a3"}) {
      it.table.remove(id);
    }
    CHECK(it.choose(request).value().endpoint == "cheap");
  }
  SECTION("trusts a report for long requests and discounts it for short ones") {
    for (const char* id : {"a0", "a1", "a2"}) {
      it.table.update_load(id, {it.now, 7, 0});
    }
    it.table.update_load("a3", {it.now, 0, 0});
    it.now += seconds(1);
    const auto chosen = [&](int expected_tokens) {
      request.expected_tokens = expected_tokens;
      std::set<std::string> seen;
      for (int i = 0; i < 100; ++i) {
        seen.insert(it.choose(request).value().endpoint);
      }
      return seen;
    };
    CHECK(chosen(10'000) == std::set<std::string>{"a3"});
    CHECK(chosen(1).size() == 4);
    SECTION("assumes the mean load for an endpoint without a report") {
      endpoint unknown = it.added[0];
      unknown.id = "a4";
      REQUIRE(it.table.put(unknown));
      CHECK(chosen(1).size() == 5);
    }
  }
  SECTION("names the unmet requirement when no endpoint is available") {
    request.minimum_version = 3;
    const auto none = it.choose(request);
    REQUIRE_FALSE(none);
    CHECK(none.error().code == error_code::unavailable);
    CHECK(none.error().message.find("0 with the weight version") != std::string::npos);
  }
}

TEST_CASE("router invariants") {
  testing::check_property("finds a suitable endpoint exactly when the naive router does", [] {
    fixture it;
    const int n = *rc::gen::inRange(1, 30);
    for (int i = 0; i < n; ++i) {
      endpoint one;
      one.id = "e" + std::to_string(i);
      one.data_centre = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
      one.region = *rc::gen::inRange(0, 4) == 0 ? "far" : "r";
      one.pool = "p";
      one.max_running = *rc::gen::inRange(1, 9);
      one.state = *rc::gen::element(endpoint_state::ready, endpoint_state::ready,
                                    endpoint_state::draining, endpoint_state::starting);
      one.weight_version = *rc::gen::inRange<std::uint64_t>(1, 4);
      it.add(one);
      it.table.update_load(one.id, {it.now, *rc::gen::inRange(0, 12), 0});
      if (*rc::gen::inRange(0, 3) == 0) {
        it.health.record(one.id, health_signal::invalid_response, it.now);
      }
    }
    it.health.update(it.now);
    const std::vector<std::string> excluded{"e0"};
    const route_request request{.pool = "p",
                                .minimum_version = *rc::gen::inRange<std::uint64_t>(1, 4),
                                .excluded = excluded};
    const auto chosen = it.choose(request);
    naive_router naive;
    RC_ASSERT(bool(chosen) == bool(naive.choose(request, it.table)));
    if (!chosen) {
      return;
    }
    RC_ASSERT(meets_requirements(*it.table.find(chosen.value().endpoint), request));
    bool healthy_available = false;
    it.table.for_each([&](const endpoint& one) {
      healthy_available =
          healthy_available || (meets_requirements(one, request) && it.health.usable(one.id));
    });
    RC_ASSERT(it.health.usable(chosen.value().endpoint) || !healthy_available);
  });
  testing::check_property("cache affinity keeps every endpoint within the imbalance bound", [] {
    fixture it;
    it.add_some(*rc::gen::inRange(2, 9));
    const auto router = router::create(it.options).value();
    std::map<std::string, int> open;
    const int total = *rc::gen::inRange(10, 120);
    for (int i = 0; i < total; ++i) {
      // There are only two different prompts, so that cache affinity favours few endpoints.
      const std::vector<prefix_hash> prefix{*rc::gen::inRange<prefix_hash>(0, 2)};
      const route_request request{
          .pool = "p", .prompt_tokens = 4000, .expected_tokens = 1, .prefix = prefix};
      const auto chosen =
          router.choose(request, it.table, it.health, it.hints, it.now, it.random).value();
      it.hints.record_dispatch(chosen.endpoint, prefix, it.now);
      it.table.record_dispatch(chosen.endpoint, it.now);
      open[chosen.endpoint] += 1;
      const double mean = (i + 1.0) / static_cast<double>(it.added.size());
      RC_ASSERT(open[chosen.endpoint] <= it.options.imbalance_bound * mean + 1);
    }
  });
}

TEST_CASE("instances that share an old load report do not overload the least loaded endpoint") {
  fixture it;
  it.add_some(4);
  std::map<std::string, int> sent;
  const auto run = [&](int sharing_instances) {
    for (int instance = 0; instance < 8; ++instance) {
      fixture own;
      own.options.instance += std::to_string(instance);
      own.options.sharing_instances = sharing_instances;
      own.random.seed(static_cast<std::uint64_t>(instance));
      for (endpoint one : it.added) {
        one.max_running = 32;
        own.add(one);
        own.table.update_load(one.id, {own.now, one.id == "a0" ? 0 : 16, 0});
      }
      for (int i = 0; i < 8; ++i) {
        const auto chosen = own.choose({.pool = "p", .expected_tokens = 500}).value().endpoint;
        own.table.record_dispatch(chosen, own.now + milliseconds(1));
        sent[chosen] += 1;
      }
    }
    return sent["a0"];
  };
  // 48 reported requests and 64 new ones make 28 for each of the four endpoints, so the idle one
  // has room for 28 of the 64.
  SECTION("instances that account for each other stay within the imbalance bound") {
    CHECK(run(8) <= 1.25 * 28 + 1);
  }
  SECTION("instances that assume to be alone exceed the imbalance bound") {
    CHECK(run(1) > 1.25 * 28 + 1);
  }
}

TEST_CASE("endpoint subsets") {
  fixture it;
  it.add_some(100);
  SECTION("endpoint subsets are stable when an endpoint is removed") {
    const auto before = endpoint_subset(it.table, "i1", "r", "p", 16);
    REQUIRE(before.size() == 16);
    it.table.remove("a99");
    const auto after = endpoint_subset(it.table, "i1", "r", "p", 16);
    const auto kept = std::count_if(after.begin(), after.end(), [&](const std::string& id) {
      return std::find(before.begin(), before.end(), id) != before.end();
    });
    CHECK(kept >= 15);
  }
  SECTION("endpoint subsets of many instances together contain every endpoint") {
    std::set<std::string> reached;
    for (int i = 0; i < 40; ++i) {
      for (auto& id : endpoint_subset(it.table, "i" + std::to_string(i), "r", "p", 16)) {
        reached.insert(std::move(id));
      }
    }
    CHECK(reached.size() == 100);
  }
  SECTION("endpoint subsets include an endpoint of another region") {
    endpoint far = it.added[0];
    far.id = "far";
    far.region = "s";
    it.add(far);
    const auto list = endpoint_subset(it.table, "i1", "r", "p", 16);
    CHECK(std::find(list.begin(), list.end(), "far") != list.end());
  }
}

} // namespace boragedoor::routing
