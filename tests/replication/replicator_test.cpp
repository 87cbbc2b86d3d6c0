#include <algorithm>
#include <iostream>

#include "network.h"
#include "support/property.h"

namespace boragedoor::replication {

namespace {

/// Runs until every node has the head and the withdrawals, but not much longer than `limit`, and
/// returns the elapsed time.
duration measure_propagation_time(network& net, duration limit) {
  const auto is_done = [&] {
    return std::ranges::all_of(net.nodes, [&](const network::node& it) {
      return it.state->configuration().revision() == net.head->revision &&
             std::ranges::all_of(net.withdrawn,
                                 [&](const auto& key) { return !net.is_valid(it, key); });
    });
  };
  const time_point start = net.now();
  while (!is_done() && net.now() - start < limit) {
    net.run(milliseconds(20));
  }
  return net.now() - start;
}

struct counts {
  int schedules = 0;
  int restarts = 0;
  int pauses = 0;
  int outages = 0;
  int partitions = 0;
  int proposals = 0;
  int withdrawals = 0;
};

/// Executes one random step of a schedule and updates `keys` to the listed keys.
void random_step(network& net, std::set<std::string>& keys, counts& sum) {
  const int kind = *rc::gen::resize(100, rc::gen::inRange(0, 7));
  const auto n = *rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, net.nodes.size()));
  const auto length = milliseconds(*rc::gen::resize(100, rc::gen::inRange(10, 8000)));
  const std::string key = "k" + std::to_string(*rc::gen::resize(100, rc::gen::inRange(0, 40)));
  if (kind == 0 && net.is_store_up) {
    ++sum.proposals;
    // Key ids are never reissued: only ids that were never listed are added.
    std::set<std::string> next = keys;
    std::erase_if(next, [&](const auto& it) { return std::ranges::count(net.withdrawn, it) != 0; });
    next.insert("new" + std::to_string(sum.proposals));
    keys = next;
    net.propose(keys);
    net.read_store(n);
  } else if (kind == 1 && keys.contains(key)) {
    ++sum.withdrawals;
    net.withdraw(n, key);
  } else if (kind == 2) {
    ++sum.pauses;
    net.nodes[n].paused_until = net.now() - time_point(seconds(1000)) + length;
  } else if (kind == 3) {
    // A withdrawal is acknowledged once three copies exist, so at most two may be lost.
    ++sum.restarts;
    net.restart(1 + n % 2);
  } else if (kind == 4) {
    ++sum.outages;
    net.is_store_up = !net.is_store_up;
  } else if (kind == 5) {
    ++sum.partitions;
    net.partitioned_region = net.partitioned_region.empty() ? "region-1" : "";
  } else {
    net.loss = net.loss > 0 ? 0 : 0.3;
    net.duplication = net.loss;
  }
  net.run(length);
}

} // namespace

// Guards against a revision that decreases, a withdrawn key that is accepted again, and instances
// that stay behind after the faults end (G6, G14).
TEST_CASE("configuration and withdrawals converge after random faults") {
  counts sum;
  testing::check_property("replication under faults", [&] {
    network net(make_fleet(7, 3, 2), *rc::gen::arbitrary<std::uint64_t>());
    std::set<std::string> keys;
    for (int n = 0; n < 40; ++n) {
      keys.insert("k" + std::to_string(n));
    }
    net.propose(keys);
    net.store_poll_interval = seconds(5);
    net.run(seconds(6));
    ++sum.schedules;
    std::set<std::string> acknowledged;
    const int steps = *rc::gen::resize(100, rc::gen::inRange(1, 40));
    for (int step = 0; step < steps; ++step) {
      random_step(net, keys, sum);
      for (const std::string& key : net.withdrawn) {
        if (std::ranges::any_of(net.nodes,
                                [&](const auto& it) { return it.state->is_durable(key); })) {
          acknowledged.insert(key);
        }
      }
    }
    net.loss = net.duplication = 0;
    net.is_store_up = true;
    net.partitioned_region.clear();
    net.run(seconds(20));
    RC_ASSERT(net.revision_decreases == 0);
    RC_ASSERT(net.reaccepted_withdrawals == 0);
    for (const network::node& it : net.nodes) {
      RC_ASSERT(it.state->configuration().current() == *net.head);
      RC_ASSERT(it.state->is_ready());
      RC_ASSERT(it.state->is_fresh(net.now()));
      for (const std::string& key : acknowledged) {
        RC_ASSERT(!net.is_valid(it, key));
      }
    }
  });
  std::cout << "replication property: " << sum.schedules << " schedules, " << sum.proposals
            << " proposals, " << sum.withdrawals << " withdrawals, " << sum.restarts
            << " restarts, " << sum.pauses << " pauses, " << sum.outages << " store changes, "
            << sum.partitions << " partition changes\n";
}

// Guards against a propagation time above the target of 4 s and control traffic above 2 KB/s.
TEST_CASE("a change reaches 340 instances from a single one within 4 s") {
  const double loss = GENERATE(0.0, 0.1);
  network net(make_fleet(340, 22, 6), 7);
  net.propose({"k1", "k2", "k3"});
  net.run(seconds(3));
  net.loss = loss;
  duration slowest{};
  for (int n = 0; n < 8; ++n) {
    net.propose({"k1", "k2", "k3", "added" + std::to_string(n)});
    net.read_store(static_cast<std::size_t>(n) * 41);
    if (n < 3) {
      net.withdraw(static_cast<std::size_t>(n) * 67, "k" + std::to_string(n + 1));
    }
    slowest = std::max(slowest, measure_propagation_time(net, seconds(10)));
    net.run(milliseconds(330));
  }
  CHECK(slowest <= seconds(4));

  for (network::node& it : net.nodes) {
    it.bytes_sent = 0;
  }
  net.messages = 0;
  net.run(seconds(10));
  std::size_t total = 0;
  std::size_t most = 0;
  for (const network::node& it : net.nodes) {
    total += it.bytes_sent;
    most = std::max(most, it.bytes_sent);
    CHECK(it.state->is_fresh(net.now()));
  }
  std::cout << "340 instances, loss " << loss << ": slowest change "
            << std::chrono::duration_cast<milliseconds>(slowest).count()
            << " ms; per instance and second " << total / 3400 << " bytes sent on average, "
            << most / 10 << " at most, " << static_cast<double>(net.messages) / 3400
            << " messages; largest heartbeat " << net.largest_heartbeat << " bytes\n";
  CHECK(most / 10 <= 2048);
}

// Guards against a partitioned instance that keeps accepting keys that were withdrawn elsewhere.
TEST_CASE("instances in a partitioned region detect that they are isolated") {
  network net(make_fleet(24, 6, 2), 3);
  net.propose({"k1"});
  net.store_poll_interval = seconds(2);
  net.run(seconds(8));
  net.partitioned_region = "region-1";
  net.withdraw(0, "k1");
  // The maximum age, plus what the echo rule and the transit allowance may add to it.
  net.run(seconds(10) + seconds(3) + milliseconds(200));
  for (const network::node& it : net.nodes) {
    CHECK(it.state->is_fresh(net.now()) == (it.info.region != "region-1"));
  }
  net.partitioned_region.clear();
  net.run(seconds(6));
  for (const network::node& it : net.nodes) {
    CHECK(it.state->is_fresh(net.now()));
    CHECK_FALSE(net.is_valid(it, "k1"));
  }
}

} // namespace boragedoor::replication
