#include "events/event_log.h"

#include <utility>

#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include "events/pipe_sink.h"

namespace boragedoor::events {

namespace {

/// Bytes of lines that wait for the reader of standard output: some seconds of a busy instance.
constexpr std::size_t most_pending = 256UL * 1024;

spdlog::level::level_enum to_level(severity level) {
  return level == severity::debug || level == severity::info ? spdlog::level::info
                                                             : spdlog::level::warn;
}

} // namespace

result<std::unique_ptr<event_log>> event_log::create(event_log_options options) {
  std::shared_ptr<spdlog::logger> logger;
  std::shared_ptr<pipe_sink> bounded;
  try {
    if (options.path == "-") {
      logger = std::make_shared<spdlog::logger>("events",
                                                std::make_shared<spdlog::sinks::stderr_sink_st>());
    } else if (options.path == "stdout") {
      if (options.budget) {
        bounded = std::make_shared<pipe_sink>(STDOUT_FILENO, most_pending);
        logger = std::make_shared<spdlog::logger>("events", bounded);
      } else {
        logger = std::make_shared<spdlog::logger>(
            "events", std::make_shared<spdlog::sinks::stdout_sink_st>());
      }
    } else if (!options.path.empty()) {
      logger = std::make_shared<spdlog::logger>(
          "events", std::make_shared<spdlog::sinks::basic_file_sink_st>(options.path));
    }
  } catch (const spdlog::spdlog_ex& e) {
    return error{error_code::io, std::string("cannot open the event file: ") + e.what()};
  }
  if (logger) {
    logger->set_pattern("%v");
    logger->flush_on(bounded ? spdlog::level::warn : spdlog::level::info);
  }
  return std::unique_ptr<event_log>(
      new event_log(std::move(options), std::move(logger), std::move(bounded)));
}

event_log::event_log(event_log_options options, std::shared_ptr<spdlog::logger> logger,
                     std::shared_ptr<pipe_sink> bounded)
    : options_(std::move(options)), logger_(std::move(logger)), bounded_(std::move(bounded)),
      budget_(options_.budget.value_or(line_budget_options())) {}

event_log::~event_log() {
  flush();
}

void event_log::flush() {
  if (logger_) {
    logger_->flush();
  }
}

void event_log::write(const event& it, severity level) {
  if (!logger_) {
    return;
  }
  if (bounded_) {
    if (!budget_.take(level, it.monotonic)) {
      ++dropped_;
      return;
    }
    dropped_ += bounded_->take_dropped();
  }
  if (dropped_ > 0) {
    event notice;
    notice.number = event_number::log_lines_dropped;
    notice.instance = it.instance;
    notice.boot = it.boot;
    notice.sequence = it.sequence;
    notice.monotonic = it.monotonic;
    notice.wall = it.wall;
    notice.details = {{"lines", std::exchange(dropped_, 0)}};
    logger_->log(to_level(severity::warning), to_text(to_json(notice)));
  }
  logger_->log(to_level(level), to_text(to_json(it)));
}

std::string event_log::record(event it) {
  const severity level = describe(it.number).level;
  if (level < options_.least) {
    return {};
  }
  it.instance = options_.instance;
  it.boot = options_.boot;
  it.sequence = ++sequence_;
  std::string id = event_id(it);
  write(it, level);
  buffer_.push_back(std::move(it));
  if (buffer_.size() > options_.capacity) {
    buffer_.pop_front();
    ++evicted_;
  }
  return id;
}

std::vector<event> event_log::recent(std::uint64_t after) const {
  std::vector<event> list;
  for (const auto& it : buffer_) {
    if (it.sequence > after) {
      list.push_back(it);
    }
  }
  return list;
}

} // namespace boragedoor::events
