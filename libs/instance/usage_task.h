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

/// Counts the requests of this process and hands the counts of each window to the store. The holder
/// of the duties adds them up, freezes the sum in the store and reports it.
class usage_task {
public:
  usage_task(instance_context& context, member_task& members, duty_intake& intake,
             duration window_length);

  void start();
  void count(const std::string& workspace);
  /// Hands over what has been counted, also of the window that has not ended.
  void flush_all();
  [[nodiscard]] bool is_flushed() const { return open_flushes_ == 0; }

private:
  void tick();
  void flush(std::uint64_t window);
  void report_next(std::uint64_t window);
  void freeze(std::uint64_t window, const duties::usage_counts& counts);
  void send(std::uint64_t window, const duties::usage_counts& counts);
  void end_step();

  instance_context& context_;
  member_task& members_;
  duty_intake& intake_;
  duties::usage_tally tally_;
  std::set<std::uint64_t> flushing_;
  int open_flushes_ = 0;
  /// Last window that is certainly reported; nothing until this process holds the duties.
  std::optional<std::uint64_t> reported_;
  bool reporting_ = false;
  net::timer timer_;
};

} // namespace boragedoor::instance
