#include "events/event_log.h"

#include <utility>

#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace boragedoor::events {

result<std::unique_ptr<event_log>> event_log::create(event_log_options options) {
  std::shared_ptr<spdlog::logger> logger;
  try {
    if (options.path == "-") {
      logger = std::make_shared<spdlog::logger>("events",
                                                std::make_shared<spdlog::sinks::stderr_sink_st>());
    } else if (options.path == "stdout") {
      logger = std::make_shared<spdlog::logger>("events",
                                                std::make_shared<spdlog::sinks::stdout_sink_st>());
    } else if (!options.path.empty()) {
      logger = std::make_shared<spdlog::logger>(
          "events", std::make_shared<spdlog::sinks::basic_file_sink_st>(options.path));
    }
  } catch (const spdlog::spdlog_ex& e) {
    return error{error_code::io, std::string("cannot open the event file: ") + e.what()};
  }
  if (logger) {
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
  }
  return std::unique_ptr<event_log>(new event_log(std::move(options), std::move(logger)));
}

event_log::event_log(event_log_options options, std::shared_ptr<spdlog::logger> logger)
    : options_(std::move(options)), logger_(std::move(logger)) {}

event_log::~event_log() = default;

std::string event_log::record(event it) {
  if (describe(it.number).level < options_.least) {
    return {};
  }
  it.instance = options_.instance;
  it.boot = options_.boot;
  it.sequence = ++sequence_;
  std::string id = event_id(it);
  if (logger_) {
    logger_->info(to_text(to_json(it)));
  }
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
