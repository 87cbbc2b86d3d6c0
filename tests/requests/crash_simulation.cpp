#include "requests/crash_simulation.h"

#include <algorithm>

namespace boragedoor::requests {

using testing::pick;

namespace {

const std::string crashing_request = "poison";
constexpr std::size_t harmless_requests = 8;

std::string harmless_request(std::uint64_t n) {
  return "innocent" + std::to_string(n);
}

} // namespace

crash_simulation::crash_simulation(std::uint64_t seed, std::size_t endpoints, duration max_delay,
                                   testing::fault_counts& counts)
    : random_(seed), counts_(counts), max_delay_(max_delay),
      instances_(3, crash_suspects::create({})) {
  ++counts_.schedules;
  for (std::size_t n = 0; n < endpoints; ++n) {
    endpoints_.push_back({"e" + std::to_string(n), 0, {}});
  }
}

wall_time crash_simulation::wall(std::size_t instance) const {
  // Wall clocks of instances differ by up to 2 s.
  return wall_time(std::chrono::hours(5)) + now_.time_since_epoch() +
         seconds(static_cast<int>(instance));
}

crash_simulation::endpoint& crash_simulation::choose(std::size_t instance,
                                                     const std::string& fingerprint) {
  std::vector<std::string> names;
  std::ranges::transform(endpoints_, std::back_inserter(names), &endpoint::name);
  const auto assigned = suspect_endpoint(instances_[instance], fingerprint, names);
  const auto it = std::ranges::find(endpoints_, assigned.value_or(""), &endpoint::name);
  return it != endpoints_.end() ? *it : endpoints_[pick(random_, endpoints_.size())];
}

void crash_simulation::place(std::size_t instance, const std::string& fingerprint) {
  endpoint& it = choose(instance, fingerprint);
  const bool runs = std::ranges::any_of(endpoints_, [&](const endpoint& each) {
    return std::ranges::any_of(each.running, [&](const running_request& other) {
      return other.fingerprint == fingerprint;
    });
  });
  // An instance knows only its own requests on the endpoint.
  std::vector<std::string> own;
  for (const running_request& each : it.running) {
    if (each.instance == instance) {
      own.push_back(each.fingerprint);
    }
  }
  if (!runs && may_place(instances_[instance], fingerprint, own)) {
    it.running.push_back({instance, fingerprint});
  }
}

void crash_simulation::crash(endpoint& crashed) {
  ++crashes_;
  const std::string incarnation = std::to_string(crashed.incarnation++);
  for (std::size_t n = 0; n < instances_.size(); ++n) {
    std::vector<std::string> list;
    for (const running_request& each : crashed.running) {
      if (each.instance == n) {
        list.push_back(each.fingerprint);
      }
    }
    send(n, instances_[n].record_crash(now_, wall(n), crashed.name, incarnation, list));
  }
  crashed.running.clear();
}

void crash_simulation::send(std::size_t from, const std::vector<crash_record>& records) {
  for (std::size_t to = 0; to < instances_.size() && !records.empty(); ++to) {
    const std::uint64_t copies = to == from ? 0 : 1 + pick(random_, 2);
    counts_.count("repeated messages", copies == 2 ? 1 : 0);
    for (std::uint64_t n = 0; n < copies; ++n) {
      const duration delay(pick(random_, static_cast<std::uint64_t>(max_delay_.count()) + 1));
      messages_.push_back({to, now_ + delay, records});
    }
  }
}

void crash_simulation::deliver() {
  for (std::size_t n = 0; n < messages_.size();) {
    if (messages_[n].at > now_) {
      ++n;
      continue;
    }
    const message it = std::move(messages_[n]);
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(n));
    const auto records = crash_records_from_json(parse_cbor(to_cbor(to_json(it.records))).value());
    instances_[it.to].merge(now_, wall(it.to), records.value());
  }
}

void crash_simulation::check_harmless_requests() {
  for (const crash_suspects& it : instances_) {
    for (std::uint64_t n = 0; n < harmless_requests; ++n) {
      if (it.is_quarantined(now_, harmless_request(n))) {
        violations_.push_back(harmless_request(n) + " was quarantined");
      }
    }
  }
}

void crash_simulation::step() {
  ++counts_.steps;
  now_ += milliseconds(pick(random_, 20));
  deliver();
  const std::size_t instance = pick(random_, instances_.size());
  const std::uint64_t choice = pick(random_, 10);
  if (choice == 0) {
    place(instance, crashing_request);
  } else if (choice < 8) {
    place(instance, harmless_request(pick(random_, harmless_requests)));
  }
  endpoint& it = endpoints_[pick(random_, endpoints_.size())];
  if (!it.running.empty()) {
    const std::size_t n = pick(random_, it.running.size());
    if (it.running[n].fingerprint == crashing_request) {
      crash(it);
    } else if (pick(random_, 4) == 0) {
      it.running.erase(it.running.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }
  check_harmless_requests();
}

void crash_simulation::run(std::uint64_t steps) {
  for (std::uint64_t n = 0; n < steps; ++n) {
    step();
  }
  now_ += seconds(10);
  deliver();
  check_harmless_requests();
  counts_.count("crashes", crashes_);
  for (const crash_suspects& it : instances_) {
    if (!it.is_quarantined(now_, crashing_request)) {
      violations_.push_back(
          "the request that crashes endpoints is not quarantined on every instance");
    }
    if (it.records() != instances_.front().records()) {
      violations_.push_back("instances have different crash records");
    }
  }
}

} // namespace boragedoor::requests
