#include "supply_scenario.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "bench/supply_report.h"
#include "bench/supply_simulation.h"

DECLARE_string(deployment);
DECLARE_string(faults);
DECLARE_double(hours);
DECLARE_uint64(seed);
DECLARE_bool(json);

DEFINE_string(scenario, "serving",
              "Scenario: serving, or supply (weights, freshness and endpoint counts). Faults of "
              "supply: none, data_centre_loss, cheap_reclaim, cheap_unavailable, swap_failures, "
              "store_outage, stragglers.");
DEFINE_string(supply_parts, "all",
              "Decisions of the supply scenario that follow the policy in the first column: all, "
              "or a comma-separated list of rollout, freshness, order, start and scaler.");

namespace boragedoor {

namespace {

bool is_scenario(const char* /*flag*/, const std::string& value) {
  return value == "serving" || value == "supply";
}

DEFINE_validator(scenario, &is_scenario);

bool listed(const std::string& name) {
  return FLAGS_supply_parts == "all" ||
         ("," + FLAGS_supply_parts + ",").find("," + name + ",") != std::string::npos;
}

result<bench::supply_figures> run(const bench::supply_parts& parts) {
  bench::supply_options options;
  options.parts = parts;
  options.seed = FLAGS_seed;
  options.length =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_hours * 3600));
  BOOST_OUTCOME_TRY(plan, bench::find_supply_plan(FLAGS_deployment));
  options.plan = std::move(plan);
  BOOST_OUTCOME_TRY(faults, bench::parse_supply_faults(FLAGS_faults, options.length));
  options.faults = std::move(faults);
  BOOST_OUTCOME_TRY(simulation, bench::supply_simulation::create(options));
  return simulation->run();
}

void print(const std::vector<bench::named_supply_figures>& runs) {
  if (!FLAGS_json) {
    std::cout << FLAGS_deployment << ", supply, faults: " << FLAGS_faults << ", seed " << FLAGS_seed
              << ", " << FLAGS_hours << " h\n\n"
              << bench::to_table(runs);
    return;
  }
  json out{{"deployment", FLAGS_deployment},
           {"scenario", "supply"},
           {"faults", FLAGS_faults},
           {"seed", FLAGS_seed},
           {"hours", FLAGS_hours}};
  for (const bench::named_supply_figures& it : runs) {
    out["runs"][it.name] = bench::to_json(it.values);
  }
  std::cout << out.dump(2) << "\n";
}

} // namespace

bool supply_scenario_chosen() {
  return FLAGS_scenario == "supply";
}

int run_supply_scenario() {
  if (FLAGS_hours <= 0) {
    std::cerr << "--hours must be positive\n";
    return 2;
  }
  std::vector<bench::named_supply_figures> runs;
  const bench::supply_parts chosen{listed("rollout"), listed("freshness"), listed("order"),
                                   listed("start"), listed("scaler")};
  for (const auto& [name, parts] :
       {std::pair(FLAGS_supply_parts == "all" ? std::string("policy") : FLAGS_supply_parts, chosen),
        std::pair(std::string("naive"), bench::supply_parts{false, false, false, false, false})}) {
    auto values = run(parts);
    if (!values) {
      std::cerr << values.error().message << "\n";
      return 2;
    }
    runs.push_back({name, values.value()});
  }
  print(runs);
  return EXIT_SUCCESS;
}

} // namespace boragedoor
