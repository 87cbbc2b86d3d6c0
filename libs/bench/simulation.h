#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bench/decisions.h"
#include "bench/event_queue.h"
#include "bench/fault.h"
#include "bench/fleet.h"
#include "bench/measurement.h"
#include "bench/simulated_instance.h"
#include "bench/workload.h"

namespace boragedoor::bench {

struct simulation_options {
  deployment where;
  policy_parts parts;
  fault_plan faults;
  workload_options workload;
  /// Tokens in flight that naive admission allows for each engine slot. Callers state eight to
  /// sixteen times what they use, so an operator would allow far more than a slot really holds.
  double naive_tokens_per_slot = 4'096;
};

/// One run in virtual time: endpoints as rate models and instances that decide separately.
/// Later scenario parts attach by the public events and endpoints, as faults do.
class simulation {
public:
  /// Fails with the first part of the decision code that refuses its options.
  static result<std::unique_ptr<simulation>> create(const simulation_options& options);

  figures run();

  [[nodiscard]] event_queue& events() { return events_; }
  [[nodiscard]] fleet& endpoints() { return endpoints_; }
  /// Changes what all instances know of an endpoint, after the lag of the platform's list.
  void announce_state(std::size_t endpoint, routing::endpoint_state state, duration lag);
  void announce_removal(std::size_t endpoint, duration lag);
  void announce_return(std::size_t endpoint, duration lag);
  void crash_instances(std::string_view data_centre);
  void restore_instances(std::string_view data_centre);

private:
  explicit simulation(const simulation_options& options);
  result<void> add_instance(std::size_t index);
  [[nodiscard]] decision_options options_of(std::size_t index,
                                            const std::string& data_centre) const;
  void schedule_next_arrival(std::size_t index);
  void schedule_periodic();
  void resubmit(const arrival& it);
  void exchange_use();
  void sample_imbalance();
  [[nodiscard]] const std::string& data_centre_of(std::size_t instance) const;

  simulation_options options_;
  event_queue events_;
  measurement results_;
  fleet endpoints_;
  surroundings around_;
  std::vector<arrival> arrivals_;
  std::vector<std::unique_ptr<simulated_instance>> instances_;
};

/// Schedules a fault's events.
void schedule(const fault& what, simulation& where);

} // namespace boragedoor::bench
