#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "bench/report.h"
#include "bench/simulation.h"
#include "supply_scenario.h"

DEFINE_string(deployment, "sinaltec", "Deployment: sinaltec or threadwell.");
DEFINE_string(faults, "none",
              "Comma-separated faults: none, data_centre_loss, cheap_reclaim, slow_endpoint, "
              "stragglers, greedy_workspace.");
DEFINE_double(hours, 2, "Virtual hours.");
DEFINE_uint64(seed, 1, "Seed of arrivals and decisions.");
DEFINE_double(load, 0.8, "Demand for rollouts relative to the engines' capacity.");
DEFINE_double(naive_tokens_per_slot, 4096,
              "Tokens in flight that naive admission allows for each engine slot.");
DEFINE_string(
    parts, "all",
    "Decisions that follow the policy in the first column: all, or a comma-separated list "
    "of routing, admission and retry.");
DEFINE_bool(json, false, "Prints JSON instead of a table.");

namespace {

using namespace boragedoor;

bool listed(const std::string& name) {
  return FLAGS_parts == "all" ||
         ("," + FLAGS_parts + ",").find("," + name + ",") != std::string::npos;
}

result<bench::figures> run(const bench::deployment& where, const bench::policy_parts& parts) {
  bench::simulation_options options;
  options.where = where;
  options.parts = parts;
  options.workload.seed = FLAGS_seed;
  options.workload.length =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_hours * 3600));
  options.workload.load = FLAGS_load;
  options.naive_tokens_per_slot = FLAGS_naive_tokens_per_slot;
  BOOST_OUTCOME_TRY(faults, bench::parse_faults(FLAGS_faults, where, options.workload.length));
  options.faults = std::move(faults);
  BOOST_OUTCOME_TRY(simulation, bench::simulation::create(options));
  return simulation->run();
}

void print(const std::vector<bench::named_figures>& runs) {
  if (!FLAGS_json) {
    std::cout << FLAGS_deployment << ", faults: " << FLAGS_faults << ", seed " << FLAGS_seed << ", "
              << FLAGS_hours << " h, load " << FLAGS_load << "\n\n"
              << bench::to_table(runs);
    return;
  }
  json out{{"deployment", FLAGS_deployment},
           {"faults", FLAGS_faults},
           {"seed", FLAGS_seed},
           {"hours", FLAGS_hours},
           {"load", FLAGS_load}};
  for (const bench::named_figures& it : runs) {
    out["runs"][it.name] = bench::to_json(it.values);
  }
  std::cout << out.dump(2) << "\n";
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs the decision code against naive baselines in virtual time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (supply_scenario_chosen() && argc == 1) {
    return run_supply_scenario();
  }
  const auto where = bench::find_deployment(FLAGS_deployment);
  if (argc > 1 || !where || FLAGS_hours <= 0) {
    std::cerr << (where ? "unexpected argument, or --hours not positive" : where.error().message)
              << "\n";
    return 2;
  }
  std::vector<bench::named_figures> runs;
  const bench::policy_parts parts{listed("routing"), listed("admission"), listed("retry")};
  for (const auto& [name, chosen] :
       {std::pair(FLAGS_parts == "all" ? std::string("policy") : FLAGS_parts, parts),
        std::pair(std::string("naive"), bench::policy_parts{false, false, false})}) {
    auto values = run(where.value(), chosen);
    if (!values) {
      std::cerr << values.error().message << "\n";
      return 2;
    }
    runs.push_back({name, values.value()});
  }
  print(runs);
  return EXIT_SUCCESS;
}
