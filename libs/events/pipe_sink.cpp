#include "events/pipe_sink.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace boragedoor::events {

namespace {

/// A pipe that poll reports as writable takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t write_bytes = 4096;

bool is_writable(int descriptor) {
  pollfd asked{descriptor, POLLOUT, 0};
  return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

std::uint64_t pipe_sink::take_dropped() {
  return std::exchange(dropped_, 0);
}

void pipe_sink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (pending_.size() + line.size() > most_pending_) {
    flush_();
  }
  if (pending_.size() + line.size() > most_pending_) {
    ++dropped_;
    return;
  }
  pending_.append(line.data(), line.size());
  if (pending_.size() >= write_bytes) {
    flush_();
  }
}

void pipe_sink::flush_() {
  std::size_t written = 0;
  while (written < pending_.size() && is_writable(descriptor_)) {
    const std::size_t n = std::min(write_bytes, pending_.size() - written);
    const ssize_t taken = write(descriptor_, pending_.data() + written, n);
    if (taken <= 0) {
      // The reader is gone or the call was interrupted; what waits stays within its bound.
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  pending_.erase(0, written);
}

} // namespace boragedoor::events
