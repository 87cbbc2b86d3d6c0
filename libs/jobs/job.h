#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/endpoint_process.h"

namespace boragedoor::jobs {

/// The call that scores a complete text. It may be repeated.
struct reward_call {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
};

/// One generation request of a job.
struct job_item {
  std::string id;
  std::string path;
  /// Request headers, forwarded as the trainer specified them.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string model;
  /// Items of one group share their prompt. The trainer can use only complete groups.
  std::string group;
  /// The trainer's estimate of the output tokens; 0 if it gave none.
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
  /// Oldest weight version that may generate a token; 0 accepts every version.
  std::uint64_t minimum_version = 0;
  bool single_version = false;
  /// Number of complete groups that the trainer waits for; 0 means all.
  std::size_t desired_groups = 0;
  /// Number of HTTP 500 responses after which an item is terminated.
  int max_attempts = 1;
  wall_time submitted{};
  /// When the results are due, and when unfinished items are terminated.
  wall_time due{};
  wall_time give_up{};
  std::vector<job_item> items;
};

enum class item_state { done, terminated };

/// The result of one item, as readers see it.
struct item_result {
  std::string id;
  item_state state = item_state::done;
  std::string text;
  /// Every weight version that generated an event of the text.
  std::vector<std::uint64_t> versions;
  std::string score;
};

/// A partial text, from which another instance can continue the generation.
struct item_progress {
  std::string id;
  std::string text;
  std::uint64_t last_event = 0;
  std::vector<std::uint64_t> versions;
  /// Software that generated the text; only endpoints with the same one can continue it.
  std::string software;
  /// Process that generated the last part of the text, unless it is certain that it ran `software`.
  std::optional<routing::endpoint_process> unverified{};
};

/// The part of a job that every instance knows: which instance runs it, and whether it has ended.
struct job_record {
  std::string id;
  std::string workspace;
  std::size_t total = 0;
  /// Instance that runs the job.
  std::string runner;
  bool ended = false;
  wall_time submitted{};
  /// Model that generates the job's items; empty if it is not known.
  std::string model{};

  friend bool operator==(const job_record&, const job_record&) = default;
};

} // namespace boragedoor::jobs
