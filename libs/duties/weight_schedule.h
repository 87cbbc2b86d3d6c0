#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace boragedoor::duties {

/// An engine as the registry and its reports describe it. It may hold several models.
struct engine_state {
  std::string id;
  /// Requests running or waiting there.
  int load = 0;
  std::map<std::string, std::uint64_t, std::less<>> versions;
};

/// An order to load a version of a model.
struct load_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;

  friend bool operator==(const load_order&, const load_order&) = default;
};

struct weight_schedule_options {
  /// Versions that an engine may be behind the newest one and still be of use: a step accepts the
  /// version before its own.
  std::uint64_t tolerated_lag = 1;
  /// Once a version has been the newest for so long, all engines load it: no step is about to
  /// begin.
  duration catch_up_after = seconds(10);
  /// Engines that load at the same time at first. More than the weight store serves at full speed
  /// slow each other down, so the number then follows the time that loads take.
  std::size_t least_at_once = 2;
  double share_at_once = 0.22;
  /// A load takes 0.9 s and is seen in reports about 0.2 s later. Loads that take longer than this
  /// slow each other down.
  duration slow_load = milliseconds(1300);
  /// Growth of the number with each load that was not slow.
  double growth = 0.05;
  /// A load that has not shown by then is ordered again. Loads take about one second.
  duration load_timeout = seconds(4);
  /// Wait after an order that was refused.
  duration retry_delay = milliseconds(500);
};

/// Decides which engines load new weights now.
///
/// Pattern: a step begins the moment a version is named, and its longest texts decide when it ends.
/// An engine that loads halts its runs for about a second. So engines whose weights are too old for
/// the new step load, and of the others only as many as bring half of all to the newest version:
/// each engine loads at every second version, and the others run the step undisturbed.
///
/// Engines that hold several models cannot load them all as often as they are named, and a step
/// whose model few engines hold waits for places. So the next load is for the model that has the
/// fewest engines for the present step and the next one together. Of the engines one goes first
/// that is of use to few other models, then the least loaded.
class weight_schedule {
public:
  explicit weight_schedule(const weight_schedule_options& options = {}) : options_(options) {}

  /// Takes a named version; older ones than the newest are ignored.
  void name(std::string_view model, std::uint64_t version, time_point now);
  [[nodiscard]] std::uint64_t newest(std::string_view model) const;

  /// The orders to send now; they are taken for sent.
  std::vector<load_order> decide(const std::vector<engine_state>& engines, time_point now);
  /// The engine holds the version, by its own word.
  void loaded(std::string_view engine, std::string_view model, std::uint64_t version,
              time_point now);
  /// Engines that may load at the same time.
  [[nodiscard]] std::size_t most_at_once() const;
  /// The order was refused or got no answer: the engine is tried again after a delay.
  void failed(std::string_view engine, time_point now);

private:
  /// Engines that hold a model.
  struct coverage {
    std::size_t all = 0;
    /// With weights that the present step accepts.
    std::size_t useful = 0;
    /// With the newest weights, or loading them.
    std::size_t current = 0;
  };

  [[nodiscard]] std::map<std::string, coverage, std::less<>>
  cover(const std::vector<engine_state>& engines) const;
  [[nodiscard]] std::optional<load_order> next_load(const std::vector<engine_state>& engines,
                                                    time_point now) const;
  /// Models whose present step accepts the engine's weights.
  [[nodiscard]] std::size_t useful_models(const engine_state& it) const;
  [[nodiscard]] bool loads(std::string_view engine, std::string_view model) const;
  [[nodiscard]] bool is_paused(std::string_view engine, time_point now) const;

  struct load {
    load_order order;
    time_point since{};
  };

  weight_schedule_options options_;
  struct named {
    std::uint64_t version = 0;
    time_point since{};
  };
  std::map<std::string, named, std::less<>> newest_;
  std::map<std::string, load, std::less<>> loading_;
  /// Engines that may load at the same time; 0 until a version is named.
  double at_once_ = 0;
  time_point last_slowed_{};
  std::map<std::string, time_point, std::less<>> not_before_;
};

} // namespace boragedoor::duties
