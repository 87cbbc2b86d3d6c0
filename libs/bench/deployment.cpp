#include "bench/deployment.h"

namespace boragedoor::bench {

namespace {

// "8 workspaces, a few of them large". Two always state the highest priority, and all state far
// longer responses than they get.
std::vector<workspace_plan> eight_workspaces(std::string_view prefix) {
  const std::vector<double> shares{0.30, 0.25, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04};
  std::vector<workspace_plan> out;
  out.reserve(shares.size());
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const bool urgent = i == 1 || i == 4;
    out.push_back({std::string(prefix) + std::to_string(i), shares[i], i % 2 == 0 ? 8.0 : 16.0,
                   urgent ? 3 : 0});
  }
  return out;
}

} // namespace

endpoint_model engine_model() {
  return {};
}

endpoint_model service_model() {
  // A lookup alone takes about 40 ms (2 units of work).
  return {.slots = 4, .rate = 50, .full_slowdown = 3, .prefill_rate = 1e9, .cache_blocks = 1};
}

double full_rate(const endpoint_model& it) {
  return it.slots * it.rate / it.full_slowdown;
}

result<deployment> find_deployment(std::string_view name) {
  deployment it;
  it.name = name;
  it.to_client = milliseconds(3);
  if (name == "sinaltec") {
    it.data_centres = {"north", "east", "south", "west"};
    it.between_data_centres = milliseconds(1);
    it.workspaces = eight_workspaces("district");
    return it;
  }
  if (name == "threadwell") {
    it.data_centres = {"hill", "river", "harbour"};
    it.between_data_centres = microseconds(500);
    it.instances = 7;
    it.services = 3;
    it.lookup_rate = 60;
    it.workspaces = eight_workspaces("shop");
    return it;
  }
  return error{error_code::not_found,
               "unknown deployment '" + std::string(name) + "'; use sinaltec or threadwell"};
}

} // namespace boragedoor::bench
