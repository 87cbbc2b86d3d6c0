#include "bench/fleet.h"

namespace boragedoor::bench {

namespace {

// Deadlines of the instances: a connection that is not accepted, and a stream without a byte.
constexpr duration connect_timeout = seconds(1);
constexpr duration progress_timeout = seconds(5);
constexpr duration refused_after = milliseconds(1);

} // namespace

fleet::fleet(event_queue& events, const deployment& where, std::uint64_t seed) : events_(events) {
  add(where, routing::endpoint_kind::engine, where.engines, seed);
  add(where, routing::endpoint_kind::service, where.services, seed);
  silent_.resize(endpoints_.size(), false);
}

void fleet::add(const deployment& where, routing::endpoint_kind kind, int n, std::uint64_t seed) {
  const bool engine = kind == routing::endpoint_kind::engine;
  const endpoint_model model = engine ? engine_model() : service_model();
  for (int i = 0; i < n; ++i) {
    routing::endpoint it;
    it.id = (engine ? "engine" : "service") + std::to_string(i);
    it.data_centre = where.data_centres[static_cast<std::size_t>(i) % where.data_centres.size()];
    it.region = "region";
    it.pool = engine ? "engines" : "services";
    it.kind = kind;
    // Every other engine is a cheaper one, so that each data centre has some.
    const bool cheap = engine && (i / static_cast<int>(where.data_centres.size())) % 2 == 1;
    it.tier = cheap ? routing::endpoint_tier::cheap : routing::endpoint_tier::standard;
    it.weight_version = engine ? 1 : 0;
    it.max_running = model.slots;
    by_id_.emplace(it.id, endpoints_.size());
    endpoints_.emplace_back(it, model, seed + endpoints_.size());
  }
}

bool fleet::is_engine(const simulated_endpoint& it) {
  return it.description().kind == routing::endpoint_kind::engine;
}

std::size_t fleet::index_of(std::string_view id) const {
  return by_id_.at(std::string(id));
}

void fleet::start(std::size_t instance, std::size_t endpoint, const job& it) {
  const attempt entry{instance, endpoint};
  attempts_.emplace(it.attempt, entry);
  simulated_endpoint& where = endpoints_[endpoint];
  if (!where.alive()) {
    const bool silent = silent_[endpoint];
    outcome how{it.attempt, false, retry::nothing_sent{},
                silent ? routing::health_signal::progress_timeout
                       : routing::health_signal::failure};
    fail(it.attempt, entry, silent ? connect_timeout : refused_after, how);
    return;
  }
  where.submit(it, events_.now());
  schedule(endpoint);
}

void fleet::fail(std::uint64_t id, const attempt& it, duration after, const outcome& how) {
  events_.after(after, [this, id, instance = it.instance, how] {
    // The instance may have cancelled the attempt in the meantime.
    if (attempts_.erase(id) > 0) {
      listener_(instance, how);
    }
  });
}

void fleet::schedule(std::size_t endpoint) {
  const auto when = endpoints_[endpoint].next_completion();
  if (!when) {
    return;
  }
  const std::uint64_t generation = endpoints_[endpoint].generation();
  events_.at(*when, [this, endpoint, generation] {
    simulated_endpoint& where = endpoints_[endpoint];
    if (where.generation() != generation) {
      return;
    }
    const auto completed = where.take_completed(events_.now());
    schedule(endpoint);
    for (const std::uint64_t id : completed) {
      if (const auto it = attempts_.find(id); it != attempts_.end()) {
        const std::size_t instance = it->second.instance;
        attempts_.erase(it);
        listener_(instance, {id, true, retry::nothing_sent{}, routing::health_signal::success});
      }
    }
  });
}

int fleet::cancel(std::uint64_t id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) {
    return 0;
  }
  const std::size_t endpoint = it->second.endpoint;
  attempts_.erase(it);
  const int tokens = endpoints_[endpoint].cancel(id, events_.now());
  schedule(endpoint);
  return tokens;
}

int fleet::tokens_of(std::uint64_t id) {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? 0 : endpoints_[it->second.endpoint].tokens_of(id, events_.now());
}

void fleet::crash(std::size_t endpoint, bool silent) {
  simulated_endpoint& where = endpoints_[endpoint];
  std::unordered_map<std::uint64_t, int> tokens;
  for (const auto& [id, it] : attempts_) {
    if (it.endpoint == endpoint) {
      tokens.emplace(id, where.tokens_of(id, events_.now()));
    }
  }
  silent_[endpoint] = silent;
  const bool engine = is_engine(where);
  for (const std::uint64_t id : where.crash(events_.now())) {
    outcome how{id, false, retry::possibly_sent{}, routing::health_signal::failure};
    // Service responses come whole; engines stream.
    if (engine && tokens[id] > 0) {
      how.progress = retry::streaming{tokens[id]};
    }
    if (silent) {
      how.what = routing::health_signal::progress_timeout;
    }
    if (const auto it = attempts_.find(id); it != attempts_.end()) {
      fail(id, it->second, silent ? progress_timeout : refused_after, how);
    }
  }
  where.set_alive(false);
}

void fleet::restore(std::size_t endpoint) {
  endpoints_[endpoint].set_alive(true);
}

void fleet::set_speed(std::size_t endpoint, double factor) {
  endpoints_[endpoint].set_speed(factor, events_.now());
  schedule(endpoint);
}

void fleet::publish_loads() {
  for (simulated_endpoint& it : endpoints_) {
    if (it.alive()) {
      it.publish_load(events_.now());
    }
  }
}

} // namespace boragedoor::bench
