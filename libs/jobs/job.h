#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace boragedoor::jobs {

/// The call that scores a finished text. It may be repeated.
struct reward_call {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// One generation of a job.
struct job_item {
  std::string id;
  std::string path;
  /// Headers of the request, as the trainer wants them sent.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string model;
  /// Items of one group share their prompt, and only whole groups are of use.
  std::string group;
  /// Output tokens, as the trainer estimates them; 0 when it says nothing.
  std::int64_t expected_tokens = 0;
  std::optional<reward_call> reward;
};

/// A batch job as a trainer submitted it.
struct job {
  std::string id;
  std::string workspace;
  std::string route;
  std::string host;
  std::uint64_t step = 0;
  /// Oldest weight version that may generate a token; 0 accepts all.
  std::uint64_t minimum_version = 0;
  bool single_version = false;
  /// Complete groups that the trainer waits for; 0 means all.
  std::size_t desired_groups = 0;
  /// Answers of 500 after which an item may be given up.
  int max_attempts = 1;
  wall_time submitted{};
  /// When the results are due, and when items may be given up.
  wall_time due{};
  wall_time give_up{};
  std::vector<job_item> items;
};

enum class item_state { done, terminated };

/// The listed result of one item.
struct item_result {
  std::string id;
  item_state state = item_state::done;
  std::string text;
  /// All weight versions that generated an event of the text.
  std::vector<std::uint64_t> versions;
  std::string score;
};

/// A text in the making, from which another instance may continue.
struct item_progress {
  std::string id;
  std::string text;
  std::uint64_t last_event = 0;
  std::vector<std::uint64_t> versions;
};

/// The part of a job that every instance knows: who runs it, and whether it has ended.
struct job_record {
  std::string id;
  std::string workspace;
  std::size_t total = 0;
  /// Member that runs the job.
  std::string runner;
  bool ended = false;
  wall_time submitted{};

  friend bool operator==(const job_record&, const job_record&) = default;
};

} // namespace boragedoor::jobs
