#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

namespace boragedoor::freshness {

/// One model engine as the platform reports it.
struct engine_view {
  std::string id;
  std::string data_centre;
  std::string model;
  /// Version of the loaded weights; 0 when the engine holds none.
  std::uint64_t version = 0;
  /// Requests in its running batch.
  int running = 0;
  /// Starting and draining engines are not swapped and do not count towards the bound.
  bool ready = true;
};

/// Order to load a version of the engine's model.
struct swap_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
};

/// Order to load the last version that worked, because the newer one failed repeatedly and left the
/// engine without weights.
struct roll_back_order {
  std::string engine;
  std::string model;
  std::uint64_t version = 0;
};

/// The engine must get no samples that need the newest version; its swap is tried again later.
struct set_aside_order {
  std::string engine;
  std::string model;
};

using rollout_action = std::variant<swap_order, roll_back_order, set_aside_order>;

struct weight_rollout_options {
  /// At most this share of a model's ready engines swaps at once, or what the deadline needs, if
  /// that is more, as it is for models with few engines.
  double most_swapping_share = 0.25;
  /// Time until all engines have a new version: the target's 16 s, and the part of it that is left
  /// for the weight store and for decisions between swaps.
  duration deadline = seconds(16);
  duration reserve = seconds(3);
  /// Rate limit of the weight store, shared by all models, and the fetches it admits at once.
  double fetches_per_second = 150;
  double fetch_burst = 100;
  /// Time an ordinary swap takes. One without an answer counts as failed after `swap_timeout`.
  duration swap_duration = seconds(3);
  duration swap_timeout = seconds(10);
  /// Delay after the first failure; doubles with each further one, plus up to as much jitter.
  duration first_backoff = milliseconds(500);
  duration longest_backoff = seconds(8);
  /// Failures of one version after which the engine is rolled back or set aside.
  int most_failures = 4;
  /// Time after which an engine that was set aside is tried again.
  duration set_aside_time = seconds(30);
};

/// Decides which engines load new weights now. Waves go over all data centres evenly and take the
/// least loaded engines first. A newer version replaces older ones that still wait.
class weight_rollout {
public:
  /// Fails with `invalid_argument` on a share outside 0..1, rates or times that are not positive.
  static result<weight_rollout> create(const weight_rollout_options& options);

  /// Takes a published version. Returns false unless it is newer than all others of the model.
  bool announce(std::string_view model, std::uint64_t version, time_point now);
  /// Adds an engine or updates it. A report of the ordered version completes its swap.
  void put(const engine_view& it);
  void remove(std::string_view id);
  void swap_finished(std::string_view id, std::uint64_t version);
  void swap_failed(std::string_view id, time_point now, random_engine& random);

  /// Returns the orders to send now and takes them for sent.
  std::vector<rollout_action> decide(time_point now, random_engine& random);

  [[nodiscard]] std::uint64_t newest(std::string_view model) const;
  [[nodiscard]] std::size_t swapping(std::string_view model) const;
  /// Engines of the model that may swap at once, so that waves of them end before the deadline.
  [[nodiscard]] std::size_t bound(std::string_view model) const;
  /// Whether the engine loads weights or will before the rollout is complete. Short work is better
  /// started elsewhere: it would stand still during the load.
  [[nodiscard]] bool due(std::string_view id) const;
  [[nodiscard]] bool complete(std::string_view model) const;

private:
  struct engine {
    engine_view view;
    /// Version being loaded, 0 for none, and when it was ordered.
    std::uint64_t loading = 0;
    time_point ordered{};
    /// Failures of `failed_version` and the time before which it is not tried again.
    std::uint64_t failed_version = 0;
    int failures = 0;
    time_point not_before{};
    /// Last version that the engine ran.
    std::uint64_t last_good = 0;
    bool aside_pending = false;
    bool roll_back_pending = false;
  };
  struct model_state {
    std::uint64_t newest = 0;
    /// Time since which some engine waits for new weights.
    time_point waiting_since{};
  };
  struct data_centre_use {
    double engines = 0;
    double swapping = 0;
  };
  explicit weight_rollout(const weight_rollout_options& options);
  void refill(time_point now);
  void expire(time_point now, random_engine& random);
  void complete_swap(engine& it, std::uint64_t version);
  [[nodiscard]] bool wants_swap(const engine& it, time_point now) const;
  void decide_model(std::string_view model, time_point now, std::vector<rollout_action>& out);
  void order(engine& it, time_point now, std::vector<rollout_action>& out);
  [[nodiscard]] std::vector<std::string> models_by_wait() const;

  weight_rollout_options options_;
  std::map<std::string, engine, std::less<>> engines_;
  std::map<std::string, model_state, std::less<>> models_;
  double fetch_tokens_;
  time_point refilled_{};
};

} // namespace boragedoor::freshness
