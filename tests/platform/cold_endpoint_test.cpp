#include <algorithm>
#include <utility>
#include <vector>

#include "platform_fixture.h"

namespace boragedoor::platform {

// Guards against instances that together send a cold engine more requests in a second than it
// bears: each starts the items of its jobs at the free slots that it sees.
TEST_CASE("instances together send an engine that may be cold what it bears") {
  platform_fixture it;
  json configuration = make_configuration(9);
  // The settings of the fixture allow no more than this rate.
  constexpr std::size_t rate = 12;
  configuration["services"] = {{{"name", "plain"}},
                               {{"name", "models"}, {"cold_start_s", 3.0}, {"cold_per_s", rate}}};
  it.store.put("op/config", configuration);
  it.start("second", it.second);
  for (serving_process* instance : {it.first.get(), it.second.get()}) {
    REQUIRE(
        it.loop->run_until([&] { return instance->context().routes.version() == 9; }, wait_limit));
  }
  it.start_engine(milliseconds(1), 2);
  constexpr std::size_t jobs = 8;
  for (std::size_t n = 0; n < jobs; ++n) {
    const std::string id = "j" + std::to_string(n);
    json job = make_job();
    for (json& item : job["items"]) {
      item["id"] = id + item["id"].get<std::string>();
      item.erase("scorer_url");
    }
    REQUIRE(it.call(n % 2 == 0 ? *it.first : *it.second, "POST", "/jobs/" + id, to_text(job),
                    "key-n", id)
                .status == 202);
  }
  // Number of requests that the engine had received by the time.
  std::vector<std::pair<time_point, std::size_t>> received;
  REQUIRE(it.loop->run_until(
      [&] {
        received.emplace_back(it.loop->now(), it.engine->received);
        return it.engine->executed_ids.size() == 4 * jobs;
      },
      seconds(60)));
  std::size_t most = 0;
  for (std::size_t first = 0, n = 0; n < received.size(); ++n) {
    while (received[n].first - received[first].first > seconds(1)) {
      ++first;
    }
    most = std::max(most, received[n].second - received[first].second);
  }
  CHECK(most <= rate);
}

} // namespace boragedoor::platform
