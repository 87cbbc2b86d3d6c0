#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "duties/usage_tally.h"
#include "instance/duty_intake.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Counts the requests of this process and writes the counts of each window to the store. The
/// holder of the duty lease adds up all processes' counts, freezes the total in the store and
/// reports it.
class usage_task {
public:
  usage_task(instance_context& context, member_task& members, duty_intake& intake,
             duration window_length);

  void start();
  void count(const std::string& workspace);
  /// Writes all counts to the store, including those of the window in progress. Nothing may be
  /// counted afterwards.
  void flush_all();
  [[nodiscard]] bool is_flushed() const { return pending_flushes_ == 0; }

private:
  void tick();
  void flush(std::uint64_t window);
  void report_window(std::uint64_t window);
  void freeze_window(std::uint64_t window, const duties::usage_counts& counts);
  void send_report(std::uint64_t window, const duties::usage_counts& counts);
  void end_report();

  instance_context& context_;
  member_task& members_;
  duty_intake& intake_;
  duties::usage_tally tally_;
  std::set<std::uint64_t> flushing_;
  int pending_flushes_ = 0;
  /// Last window known to be reported. Unset while this process does not hold the duty lease.
  std::optional<std::uint64_t> last_reported_window_;
  bool report_in_progress_ = false;
  net::timer timer_;
};

} // namespace boragedoor::instance
