#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "dispatch/service_endpoints.h"

namespace {

using namespace boragedoor;

constexpr time_point start{seconds(100)};

dispatch::service_endpoints make_service(int size) {
  auto endpoints = dispatch::service_endpoints::create("dc-0", "i0").value();
  for (int n = 0; n < size; ++n) {
    dispatch::endpoint_entry it;
    it.description.id = fmt::format("i-{:08x}", n * 2654435761U);
    it.description.pool = "models";
    it.description.data_centre = fmt::format("dc-{}", n % 6);
    it.description.max_running = 8;
    it.versions = {{"m0", 3}, {"m1", 3}};
    endpoints.put(it);
    endpoints.note_event_interval(it.description.id, 0.02 + 0.00001 * n);
    endpoints.note_load(it.description.id, n % 7, 0, start);
  }
  return endpoints;
}

void choose_for_run(benchmark::State& state) {
  auto endpoints = make_service(static_cast<int>(state.range(0)));
  random_engine random(1);
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(endpoints.choose({.service = "models",
                                               .model = "m1",
                                               .minimum_version = 3,
                                               .requires_free_slot = true,
                                               .long_running = true},
                                              start, random));
  }
}

void choose_for_lookup(benchmark::State& state) {
  auto endpoints = make_service(static_cast<int>(state.range(0)));
  random_engine random(1);
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(endpoints.choose({.service = "models"}, start, random));
  }
}

void note_sent_and_finished(benchmark::State& state) {
  auto endpoints = make_service(static_cast<int>(state.range(0)));
  time_point now = start;
  const std::string id = fmt::format("i-{:08x}", 2654435761U);
  while (state.KeepRunning()) {
    now += milliseconds(1);
    endpoints.note_sent(id, now);
    endpoints.note_load(id, 1, 0, now);
    endpoints.note_finished(id, routing::health_signal::success, now);
  }
}

BENCHMARK(choose_for_run)->Arg(100)->Arg(1000)->Arg(3000);
BENCHMARK(choose_for_lookup)->Arg(100)->Arg(1000)->Arg(3000);
BENCHMARK(note_sent_and_finished)->Arg(100)->Arg(1000)->Arg(3000);

} // namespace

BENCHMARK_MAIN();
