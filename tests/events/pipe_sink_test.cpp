#include "events/pipe_sink.h"

#include <array>
#include <string>

#include <catch2/catch.hpp>
#include <spdlog/logger.h>
#include <unistd.h>

#include "events/line_budget.h"

namespace boragedoor::events {

namespace {

/// A pipe whose reader is the test.
struct log_pipe {
  log_pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~log_pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  log_pipe(const log_pipe&) = delete;
  log_pipe& operator=(const log_pipe&) = delete;
  log_pipe(log_pipe&&) = delete;
  log_pipe& operator=(log_pipe&&) = delete;

  /// Reads at most `n` bytes that are there.
  std::string take(std::size_t n) {
    std::string buf(n, '\0');
    const ssize_t taken = read(ends[0], buf.data(), n);
    buf.resize(taken > 0 ? static_cast<std::size_t>(taken) : 0);
    return buf;
  }

  std::array<int, 2> ends{};
};

} // namespace

// Guards against a process that stands still because nobody reads its log.
TEST_CASE("a log whose reader is slow") {
  log_pipe to;
  constexpr std::size_t most_pending = 10'000;
  const auto sink = std::make_shared<pipe_sink>(to.ends[1], most_pending);
  spdlog::logger logger("t", sink);
  logger.set_pattern("%v");
  const std::string line(99, 'x');

  SECTION("gets whole lines, in order, with the next flush") {
    logger.info("first");
    logger.info("second");
    logger.flush();
    CHECK(to.take(100) == "first\nsecond\n");
    CHECK(sink->take_dropped() == 0);
  }

  SECTION("never blocks the process, which leaves whole lines out and counts them") {
    // A pipe holds 64 KiB; ten times as much is written while nobody reads.
    constexpr std::size_t lines = 6500;
    for (std::size_t n = 0; n < lines; ++n) {
      logger.info(line);
    }
    const std::uint64_t dropped = sink->take_dropped();
    CHECK(dropped > 0);
    std::string all;
    while (all.size() < (lines - dropped) * (line.size() + 1)) {
      all += to.take(65'536);
      logger.flush();
    }
    CHECK(all.size() == (lines - dropped) * (line.size() + 1));
    CHECK(all.find("xx\nxx") != std::string::npos);
    logger.info("later");
    logger.flush();
    CHECK(to.take(100) == "later\n");
  }
}

TEST_CASE("the lines of a process are bounded, details first") {
  const time_point start{seconds(100)};
  line_budget budget({.lines_per_second = 10, .burst = 20, .reserved_share = 0.5});
  const auto count = [&](severity level, time_point now) {
    int n = 0;
    while (budget.take(level, now)) {
      ++n;
    }
    return n;
  };
  CHECK(count(severity::debug, start) == 10);
  CHECK(count(severity::info, start) == 10);
  CHECK(count(severity::error, start) == 0);
  CHECK(count(severity::debug, start + seconds(1)) == 0);
  CHECK(count(severity::warning, start + seconds(1)) == 10);
  CHECK(count(severity::info, start + seconds(60)) == 20);
}

} // namespace boragedoor::events
