#pragma once

namespace boragedoor {

/// Whether --scenario asks for the supply scenario.
bool supply_scenario_chosen();

/// Runs the supply scenario as the flags say and prints its figures; returns the exit status.
int run_supply_scenario();

} // namespace boragedoor
