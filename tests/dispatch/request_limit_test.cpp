#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "base/member.h"
#include "dispatch/keeper_changes.h"
#include "dispatch/permit_keeper.h"
#include "dispatch/service_endpoints.h"

namespace boragedoor::dispatch {

namespace {

constexpr time_point start{seconds(100)};
/// The users' bound: in four seconds, one and a half times what the limit allows and five more.
constexpr duration window = seconds(4);

double allowed_in_window(double per_second) {
  return 1.5 * per_second * std::chrono::duration<double>(window).count() + 5;
}

endpoint_entry make_endpoint(std::string id) {
  endpoint_entry it;
  it.description.id = std::move(id);
  it.description.pool = "desk";
  it.description.data_centre = "dc-1";
  it.description.max_running = 6;
  it.address = {"127.0.0.1", 80};
  return it;
}

/// Highest number of requests in any time of this length.
std::size_t most_within(duration length, std::vector<time_point> arrivals) {
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < arrivals.size(); ++n) {
    while (arrivals[n] - arrivals[first] > length) {
      ++first;
    }
    most = std::max(most, n - first + 1);
  }
  return most;
}

/// Instances that send requests to endpoints with limits, and exchange permits by messages that
/// take time. Instances die and come back without memory; the others notice one after the other.
class simulation {
public:
  /// The limits by endpoint; those of 0 are not stated. With `cold_bound`, each endpoint may be
  /// cold at any moment and then takes that many requests in a second.
  simulation(std::uint64_t seed, std::size_t instances, std::map<std::string, double> limits,
             std::optional<double> cold_bound = std::nullopt)
      : random_(seed), limits_(std::move(limits)), cold_bound_(cold_bound) {
    for (std::size_t n = 0; n < instances; ++n) {
      for (const auto& [endpoint, limit] : limits_) {
        weights_[endpoint].push_back(rendezvous_weight(endpoint, name_of(n)));
      }
      instances_.emplace_back(name_of(n));
      instances_[n].sees.assign(instances, true);
      restart(n);
    }
  }

  /// Time for which a request waits for a permit.
  void set_max_wait(duration limit) { max_wait_ = limit; }
  /// Makes an instance begin with a number of requests at once, for example those of a step.
  void add_step(std::size_t n, std::size_t requests) {
    instances_[n].waiting.insert(instances_[n].waiting.end(), requests, now_);
  }

  void run(duration length, double requests_per_second_each, bool deaths) {
    const time_point end = start + length;
    for (; now_ < end; now_ += milliseconds(1)) {
      for (auto due = actions_.begin(); due != actions_.end() && due->first <= now_;
           due = actions_.erase(due)) {
        due->second();
      }
      if (deaths && std::bernoulli_distribution(0.0007)(random_)) {
        kill(std::uniform_int_distribution<std::size_t>(0, instances_.size() - 1)(random_));
      }
      for (std::size_t n = 0; n < instances_.size(); ++n) {
        instance& it = instances_[n];
        if (!it.alive) {
          continue;
        }
        if (std::bernoulli_distribution(requests_per_second_each / 1000)(random_)) {
          it.waiting.push_back(now_);
        }
        while (!it.waiting.empty() && now_ - it.waiting.front() > max_wait_) {
          it.waiting.pop_front();
          ++refused_;
        }
        while (!it.waiting.empty() && send(n)) {
          it.waiting.pop_front();
        }
        request_permits(n);
      }
    }
  }

  [[nodiscard]] const std::vector<time_point>& arrivals(const std::string& endpoint) {
    return arrivals_[endpoint];
  }
  [[nodiscard]] std::size_t served_by(std::size_t n) const { return instances_[n].served; }
  [[nodiscard]] std::size_t refused() const { return refused_; }

private:
  static constexpr duration answer_timeout = milliseconds(300);
  static constexpr duration silence_period = seconds(1);
  static constexpr duration lease_time = seconds(3);

  struct instance {
    explicit instance(std::string name) : changes(std::move(name)) {}

    std::unique_ptr<service_endpoints> endpoints;
    permit_keeper keeper;
    keeper_changes changes;
    std::map<std::size_t, time_point> silent_until;
    /// Whether it sees each of the others in its list of members.
    std::vector<bool> sees;
    std::deque<time_point> waiting;
    std::size_t served = 0;
    int life = 0;
    bool alive = true;
  };

  static std::string name_of(std::size_t n) { return fmt::format("instance-{}", n); }
  void set_seen(std::size_t n, std::size_t other, bool seen) {
    instances_[n].sees[other] = seen;
    update_members(n);
  }
  void update_members(std::size_t n) {
    std::vector<std::string> names;
    for (std::size_t other = 0; other < instances_.size(); ++other) {
      if (instances_[n].sees[other]) {
        names.push_back(name_of(other));
      }
    }
    instances_[n].changes.update(names, now_);
  }
  duration delay() { return milliseconds(std::uniform_int_distribution<int>(1, 15)(random_)); }
  void after(duration wait, std::function<void()> action) {
    actions_.emplace(now_ + wait, std::move(action));
  }

  void restart(std::size_t n) {
    instance& it = instances_[n];
    it.endpoints =
        std::make_unique<service_endpoints>(service_endpoints::create("dc-1", name_of(n)).value());
    if (cold_bound_) {
      it.endpoints->set_warm_up({{"desk", warm_up_budget::for_bound(*cold_bound_)}});
    }
    it.keeper = {};
    it.changes = keeper_changes(name_of(n));
    update_members(n);
    it.silent_until.clear();
    it.waiting.clear();
    it.alive = true;
    ++it.life;
    for (const auto& [id, limit] : limits_) {
      it.endpoints->put(make_endpoint(id));
    }
  }

  void kill(std::size_t n) {
    if (!instances_[n].alive) {
      return;
    }
    instances_[n].alive = false;
    const int life = instances_[n].life;
    for (std::size_t other = 0; other < instances_.size(); ++other) {
      after(lease_time + 20 * delay(),
            [this, other, n, life] { set_seen(other, n, instances_[n].life != life); });
    }
    after(lease_time / 2, [this, n] {
      restart(n);
      for (std::size_t other = 0; other < instances_.size(); ++other) {
        after(20 * delay(), [this, other, n] { set_seen(other, n, true); });
      }
    });
  }

  bool send(std::size_t n) {
    instance& it = instances_[n];
    const auto chosen = it.endpoints->choose({.service = "desk"}, now_, random_);
    if (!chosen) {
      return false;
    }
    // The users count the requests of instances that know the limit, and all at a cold endpoint.
    if (cold_bound_ || it.endpoints->request_limit(chosen->id)) {
      arrivals_[chosen->id].push_back(now_ + delay());
    }
    it.endpoints->note_sent(chosen->id, now_);
    after(milliseconds(30), [this, n, id = chosen->id, sent_at = now_, life = it.life] {
      instance& sender = instances_[n];
      if (sender.alive && sender.life == life) {
        sender.endpoints->note_finished(id, routing::health_signal::success, now_);
        const double limit = limits_.at(id);
        sender.endpoints->note_limit(id, limit > 0 ? std::optional(limit) : std::nullopt, sent_at,
                                     now_);
        ++sender.served;
      }
    });
    return true;
  }

  /// Members in the order in which an instance asks them.
  std::vector<std::size_t> candidates(std::size_t n, const std::string& endpoint) const {
    std::vector<std::size_t> list;
    for (std::size_t other = 0; other < instances_.size(); ++other) {
      if (instances_[n].sees[other]) {
        list.push_back(other);
      }
    }
    const std::vector<std::uint64_t>& weights = weights_.at(endpoint);
    std::sort(list.begin(), list.end(),
              [&](std::size_t left, std::size_t right) { return weights[left] > weights[right]; });
    return list;
  }

  void request_permits(std::size_t n) {
    for (const permit_request& request : instances_[n].endpoints->take_permit_requests(now_)) {
      const auto list = candidates(n, request.endpoint);
      const auto keeper = std::find_if(list.begin(), list.end(), [&](std::size_t other) {
        const auto silent = instances_[n].silent_until.find(other);
        return silent == instances_[n].silent_until.end() || silent->second <= now_;
      });
      ask(n, keeper == list.end() ? n : *keeper, request);
    }
  }

  void ask(std::size_t n, std::size_t keeper, const permit_request& request) {
    const auto answer = [this, n, life = instances_[n].life,
                         endpoint = request.endpoint](const permit_grant& grant) {
      if (instances_[n].alive && instances_[n].life == life) {
        instances_[n].endpoints->add_permits(endpoint, grant, now_);
      }
    };
    after(keeper == n ? duration::zero() : delay(), [this, n, keeper, request, answer] {
      if (!instances_[keeper].alive) {
        after(answer_timeout, [this, n, keeper, answer] {
          instances_[n].silent_until[keeper] = now_ + silence_period;
          answer({0, milliseconds(50)});
        });
        return;
      }
      const auto list = candidates(keeper, request.endpoint);
      auto rank =
          static_cast<std::size_t>(std::find(list.begin(), list.end(), keeper) - list.begin());
      const bool settled =
          rank == 0 && instances_[keeper].changes.is_settled(request.endpoint, now_);
      rank = std::max<std::size_t>(rank, request.warm_up && !settled ? 1 : 0);
      const permit_grant grant = instances_[keeper].keeper.grant(request, permit_share(rank), now_,
                                                                 request.warm_up && settled);
      after(keeper == n ? duration::zero() : delay(), [answer, grant] { answer(grant); });
    });
  }

  random_engine random_;
  std::map<std::string, double> limits_;
  std::optional<double> cold_bound_;
  /// Weights of the instances by endpoint. The candidate with the highest weight is the first one.
  std::map<std::string, std::vector<std::uint64_t>, std::less<>> weights_;
  duration max_wait_ = milliseconds(40);
  time_point now_ = start;
  std::vector<instance> instances_;
  std::multimap<time_point, std::function<void()>> actions_;
  std::map<std::string, std::vector<time_point>> arrivals_;
  std::size_t refused_ = 0;
};

/// Plays one seed in which all endpoints of a data centre return at once and steps of 100 items
/// begin at several instances. Checks the bound in each second, and that the items are sent at half
/// of the rate of the budgets or more.
void check_cold_bound(std::uint64_t seed, std::size_t instances, bool deaths, double bound) {
  CAPTURE(seed, deaths, instances, bound);
  const std::map<std::string, double> endpoints = {{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}};
  constexpr duration length = seconds(20);
  simulation it(seed, instances, endpoints, bound);
  it.set_max_wait(length);
  constexpr std::size_t items = 400;
  for (std::size_t n = 0; n < 4; ++n) {
    it.add_step(n % instances, items);
  }
  it.run(length, 0, deaths);
  const double rate = warm_up_budget::for_bound(bound).per_second;
  for (const auto& [id, limit] : endpoints) {
    CAPTURE(id);
    CHECK(static_cast<double>(most_within(seconds(1), it.arrivals(id))) <= bound);
    if (!deaths) {
      CHECK(static_cast<double>(it.arrivals(id).size()) >= 0.5 * rate * 20);
    }
  }
}

/// Plays one seed and checks that each limit is kept and at least half of it is used.
void check_limits(std::uint64_t seed, std::size_t instances, bool deaths) {
  const std::map<std::string, double> limits = {{"a", 1.0}, {"b", 4.0}, {"c", 7.0}, {"d", 20.0}};
  constexpr duration length = seconds(40);
  constexpr double requests_per_second = 100;
  CAPTURE(seed, deaths, instances);
  simulation it(seed, instances, limits);
  it.run(length, requests_per_second / static_cast<double>(instances), deaths);
  for (const auto& [id, limit] : limits) {
    CAPTURE(id);
    CHECK(static_cast<double>(most_within(window, it.arrivals(id))) <= allowed_in_window(limit));
    const double offered = limit * std::chrono::duration<double>(length).count();
    CHECK(static_cast<double>(it.arrivals(id).size()) >= 0.5 * offered);
  }
  for (std::size_t n = 0; n < instances && !deaths; ++n) {
    CHECK(it.served_by(n) > 0);
  }
}

} // namespace

TEST_CASE("an endpoint that states a limit of its requests") {
  auto endpoints = service_endpoints::create("dc-1").value();
  random_engine random(1);
  endpoints.put(make_endpoint("a"));
  const auto choose = [&](time_point now, int waiting = 1) {
    const auto it = endpoints.choose({.service = "desk", .waiting_requests = waiting}, now, random);
    return it ? it->id : std::string();
  };
  CHECK(endpoints.note_limit("a", 2.0, start, start) == limit_change::started);

  SECTION("is not chosen without a permit, and one permit is requested for a request") {
    CHECK(choose(start).empty());
    const auto requests = endpoints.take_permit_requests(start);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].endpoint == "a");
    CHECK(requests[0].count == 1);
    CHECK(requests[0].per_second == 2.0);
    CHECK(endpoints.permit_expected_at({.service = "desk"}, start) == start);

    SECTION("it is chosen once for each permit") {
      endpoints.add_permits("a", {1, milliseconds(500)}, start);
      CHECK(choose(start) == "a");
      endpoints.note_sent("a", start);
      CHECK(choose(start).empty());
    }
    SECTION("permits expire, so that they cannot be saved up") {
      endpoints.add_permits("a", {3, milliseconds(500)}, start);
      CHECK(choose(start + seconds(1)).empty());
    }
    SECTION("no further permits are requested before they can be granted") {
      endpoints.add_permits("a", {0, milliseconds(500)}, start);
      CHECK(choose(start + milliseconds(499)).empty());
      CHECK(endpoints.take_permit_requests(start + milliseconds(499)).empty());
      CHECK(endpoints.permit_expected_at({.service = "desk"}, start) == start + milliseconds(500));
      CHECK(choose(start + milliseconds(500)).empty());
      CHECK(endpoints.take_permit_requests(start + milliseconds(500)).size() == 1);
    }
  }

  SECTION("is used without permits again once it states no limit") {
    SECTION("but a response to an earlier request does not end the limit") {
      CHECK(endpoints.note_limit("a", std::nullopt, start - milliseconds(1),
                                 start + milliseconds(1)) == limit_change::none);
      CHECK(choose(start).empty());
    }
    CHECK(endpoints.note_limit("a", std::nullopt, start + milliseconds(1),
                               start + milliseconds(2)) == limit_change::ended);
    CHECK(choose(start + milliseconds(2)) == "a");
    CHECK_FALSE(endpoints.has_limits());
  }

  SECTION("does not keep requests from endpoints without a limit") {
    endpoints.put(make_endpoint("b"));
    CHECK(choose(start) == "b");

    SECTION("and when those are busier, a permit is requested for the next request") {
      endpoints.note_sent("b", start);
      CHECK(choose(start) == "b");
      CHECK(endpoints.take_permit_requests(start).size() == 1);
    }
  }

  SECTION("permits are requested for as many endpoints as requests wait") {
    endpoints.put(make_endpoint("b"));
    endpoints.note_limit("b", 2.0, start, start);
    CHECK(choose(start, 4).empty());
    const auto requests = endpoints.take_permit_requests(start);
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].count + requests[1].count == 4);
  }

  SECTION("that leaves takes its limit with it") {
    endpoints.remove("a");
    CHECK_FALSE(endpoints.has_limits());
    endpoints.add_permits("a", {1, seconds(1)}, start);
    CHECK(endpoints.take_permit_requests(start).empty());
  }
}

TEST_CASE("the keeper of an endpoint's budget") {
  permit_keeper keeper;
  const auto grant = [&](int count, time_point now, double share = 1) {
    return keeper.grant({.endpoint = "a", .count = count, .per_second = 2}, share, now);
  };
  CHECK(grant(1, start).count == 1);
  CHECK(grant(1, start).count == 0);

  SECTION("grants the rate that the endpoint states") {
    int granted = 0;
    for (int n = 1; n <= 1000; ++n) {
      granted += grant(8, start + n * milliseconds(10)).count;
    }
    CHECK(granted >= 19);
    CHECK(granted <= 20);
  }
  SECTION("says when the next permit can be granted") {
    CHECK(grant(1, start).retry_after == milliseconds(500));
    CHECK(grant(1, start + milliseconds(500)).count == 1);
  }
  SECTION("saves up two permits at most") {
    CHECK(grant(100, start + seconds(60)).count == 2);
  }
  SECTION("grants a part of the rate while it stands in for another one") {
    int granted = 0;
    for (int n = 1; n <= 1000; ++n) {
      granted += grant(8, start + n * milliseconds(10), permit_share(1)).count;
    }
    CHECK(granted == 7);
  }
  SECTION("all instances that may grant at once stay within one and a half times the limit") {
    CHECK(permit_share(0) == 1);
    double others = 0;
    for (std::size_t rank = 1; rank < 300; ++rank) {
      others += permit_share(rank);
    }
    CHECK(others <= 0.5);
    CHECK(permit_share(std::nullopt) <= 0.1);
  }
  SECTION("takes the latest value that a response stated, whoever read it") {
    keeper.grant({.endpoint = "a", .count = 0, .per_second = 10, .age = seconds(5)}, 1,
                 start + milliseconds(1));
    CHECK(grant(1, start + milliseconds(250)).count == 0);
    keeper.grant({.endpoint = "a", .count = 0, .per_second = 10}, 1, start + milliseconds(250));
    CHECK(keeper
              .grant({.endpoint = "a", .count = 1, .per_second = 2, .age = seconds(1)}, 1,
                     start + milliseconds(301))
              .count == 1);
  }
  SECTION("lets a request through now and then if the limit is zero, to see its end") {
    const auto zero = [&](time_point now) {
      return keeper.grant({.endpoint = "z", .count = 1, .per_second = 0}, 1, now).count;
    };
    CHECK(zero(start) == 1);
    CHECK(zero(start + seconds(3)) == 0);
    CHECK(zero(start + seconds(4)) == 1);
  }
  SECTION("forgets budgets that nobody asks for") {
    keeper.expire(start + seconds(29));
    CHECK(keeper.size() == 1);
    keeper.expire(start + seconds(30));
    CHECK(keeper.size() == 0);
  }
}

// Pattern: look-ups of many callers on all instances, two to four times what the limited endpoints
// of their service take, while instances are killed and restarted.
TEST_CASE("instances together keep the limits of endpoints, and use what they allow") {
  const bool deaths = GENERATE(false, true);
  const std::size_t instances = GENERATE(8, 60);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    check_limits(seed, instances, deaths);
  }
}

// Pattern: a data centre returns from an evacuation, or crashed as a whole, and all its endpoints
// are cold, while the steps of several trainers wait. Instances are killed and restarted.
TEST_CASE("instances together send a cold endpoint no more than it bears") {
  const bool deaths = GENERATE(false, true);
  const std::size_t instances = GENERATE(8, 60);
  const double bound = GENERATE(11.0, 23.0);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    check_cold_bound(seed, instances, deaths, bound);
  }
}

TEST_CASE("instances together keep the bound of cold endpoints over many seeds", "[.long]") {
  const std::size_t instances = GENERATE(3, 8, 60);
  const double bound = GENERATE(8.0, 23.0);
  for (std::uint64_t seed = 101; seed <= 160; ++seed) {
    check_cold_bound(seed, instances, true, bound);
  }
}

TEST_CASE("an endpoint that may be cold at any moment") {
  auto endpoints = service_endpoints::create("dc-1").value();
  random_engine random(1);
  const warm_up_budget budget = warm_up_budget::for_bound(23);
  endpoints.put(make_endpoint("a"));
  endpoints.set_warm_up({{"desk", budget}});
  const auto choose = [&](time_point now, bool is_estimate = false) {
    const auto it = endpoints.choose({.service = "desk", .is_estimate = is_estimate}, now, random);
    return it ? it->id : std::string();
  };

  SECTION("is not chosen without a permit, whose request states the budget") {
    CHECK(choose(start).empty());
    const auto requests = endpoints.take_permit_requests(start);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].warm_up);
    CHECK(requests[0].per_second == budget.per_second);
    CHECK(requests[0].burst == budget.burst);
    // It states no limit of its own.
    CHECK_FALSE(endpoints.request_limit("a"));
  }

  SECTION("is compared without a permit if nothing is sent, and none is requested") {
    CHECK(choose(start, true) == "a");
    CHECK(endpoints.take_permit_requests(start).empty());
  }

  SECTION("that states a limit as well is bound by both") {
    CHECK(endpoints.note_limit("a", 2.0, start, start) == limit_change::started);
    CHECK(choose(start).empty());
    CHECK(endpoints.take_permit_requests(start).at(0).per_second == 2.0);
    CHECK(choose(start, true).empty());
    endpoints.add_permits("a", {0, duration::zero()}, start);
    CHECK(endpoints.note_limit("a", std::nullopt, start, start) == limit_change::ended);
    CHECK(choose(start).empty());
    CHECK(endpoints.take_permit_requests(start).at(0).per_second == budget.per_second);
  }

  SECTION("is used without permits once the configuration says that it is never cold") {
    endpoints.set_warm_up({});
    CHECK(choose(start) == "a");
    CHECK_FALSE(endpoints.has_limits());
  }

  SECTION("has a budget from its first entry on") {
    endpoints.put(make_endpoint("b"));
    CHECK(choose(start).empty());
    endpoints.remove("a");
    endpoints.remove("b");
    CHECK_FALSE(endpoints.has_limits());
  }
}

TEST_CASE("a keeper is settled when no other one was first lately") {
  const std::string self = "instance-1";
  keeper_changes changes(self);
  // A member that comes before this instance for one endpoint, and after it for another.
  std::string behind;
  std::string before;
  for (int n = 0; behind.empty() || before.empty(); ++n) {
    const std::string endpoint = fmt::format("endpoint-{}", n);
    const bool is_before =
        rendezvous_weight(endpoint, "instance-2") > rendezvous_weight(endpoint, self);
    (is_before ? before : behind) = endpoint;
  }
  const std::vector<std::string> both = {"instance-1", "instance-2"};
  const std::vector<std::string> alone = {"instance-1"};
  CHECK_FALSE(changes.is_settled(behind, start));
  changes.update(both, start);
  CHECK_FALSE(changes.is_settled(behind, start + seconds(1)));
  CHECK_FALSE(changes.is_settled(behind, start + seconds(2)));
  CHECK(changes.is_settled(behind, start + seconds(3)));

  SECTION("the departure of a member unsettles only the budgets that it kept") {
    changes.update(alone, start + seconds(10));
    CHECK(changes.is_settled(behind, start + seconds(10)));
    CHECK_FALSE(changes.is_settled(before, start + seconds(12)));
    CHECK(changes.is_settled(before, start + seconds(13)));
  }
  SECTION("an instance that has lost its own entry starts again") {
    changes.update({}, start + seconds(10));
    changes.update(both, start + seconds(10));
    CHECK_FALSE(changes.is_settled(behind, start + seconds(12)));
  }
}

// Run by hand: dispatch_test "[long]".
TEST_CASE("instances together keep the limits of endpoints over many seeds", "[.long]") {
  const bool deaths = GENERATE(false, true);
  const std::size_t instances = GENERATE(3, 8, 60);
  for (std::uint64_t seed = 101; seed <= 160; ++seed) {
    check_limits(seed, instances, deaths);
  }
}

} // namespace boragedoor::dispatch
