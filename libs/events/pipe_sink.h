#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace boragedoor::events {

/// Writes log lines to a descriptor without ever waiting for its reader. Lines are collected until
/// `flush`; whole lines are left out while too many wait.
class pipe_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// `most_pending` bytes may wait for the reader.
  pipe_sink(int descriptor, std::size_t most_pending)
      : descriptor_(descriptor), most_pending_(most_pending) {}

  /// Lines that were left out since the last call.
  std::uint64_t take_dropped();

protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

private:
  int descriptor_;
  std::size_t most_pending_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

} // namespace boragedoor::events
