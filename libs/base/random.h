#pragma once

#include <random>

namespace boragedoor {

/// The generator that decisions draw from. Decision code takes it by reference, so that a seed
/// repeats a run exactly.
using random_engine = std::mt19937_64;

} // namespace boragedoor
