#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "events/event.h"
#include "events/line_budget.h"

namespace spdlog {
class logger;
}

namespace boragedoor::events {

class pipe_sink;

/// Where a process writes its events.
struct event_log_options {
  std::string instance;
  std::string boot;
  /// File that receives JSON lines; "-" is standard error, "stdout" standard
  /// output, empty writes none.
  std::string path;
  /// Events below this severity are neither kept nor written.
  severity least = severity::debug;
  /// Events kept in memory for `boragedoor timeline`. At about 400 bytes each the default takes
  /// under 4 MB, a small part of the 128 MB that control may use.
  std::size_t capacity = 8192;
  /// With it, standard output never blocks the process and its lines are bounded; they are
  /// collected until `flush`. Without it each line is written at once.
  std::optional<line_budget_options> budget = std::nullopt;
};

/// Records events: keeps the last ones in memory and writes each as a JSON line.
class event_log {
public:
  /// Opens the sink. Fails with `io` when the file cannot be opened.
  static result<std::unique_ptr<event_log>> create(event_log_options options);

  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;
  event_log(event_log&&) = delete;
  event_log& operator=(event_log&&) = delete;

  /// Stamps and records an event; the caller fills in everything but instance, boot and sequence.
  /// Returns the event's id, for use as the cause of later events; empty when it was filtered.
  std::string record(event it);

  /// Writes what was collected for a bounded standard output. Call several times a second; warnings
  /// and errors are written at once.
  void flush();

  /// The events kept in memory with a sequence above `after`, oldest first.
  [[nodiscard]] std::vector<event> recent(std::uint64_t after = 0) const;

  /// Events that left the memory buffer because it was full. They are still in the file.
  [[nodiscard]] std::uint64_t evicted() const { return evicted_; }

private:
  event_log(event_log_options options, std::shared_ptr<spdlog::logger> logger,
            std::shared_ptr<pipe_sink> bounded);
  void write(const event& it, severity level);

  event_log_options options_;
  std::shared_ptr<spdlog::logger> logger_;
  /// The sink of a bounded standard output; empty for other outputs.
  std::shared_ptr<pipe_sink> bounded_;
  line_budget budget_;
  /// Lines that were left out and not told of yet.
  std::uint64_t dropped_ = 0;
  std::deque<event> buffer_;
  std::uint64_t sequence_ = 0;
  std::uint64_t evicted_ = 0;
};

} // namespace boragedoor::events
