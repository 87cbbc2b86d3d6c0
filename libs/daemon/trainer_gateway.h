#pragma once

#include <map>
#include <string>
#include <string_view>

#include "daemon/access_control.h"
#include "daemon/announcement_task.h"
#include "daemon/caller_gateway.h"
#include "daemon/trainer_task.h"

namespace boragedoor::daemon {

/// Answers trainers below "/v1/trainers/". An instance that does not hold the trainer's shard names
/// the one that does.
class trainer_gateway {
public:
  trainer_gateway(const daemon_context& context, const access_control& access,
                  trainer_task& trainers, announcement_task& announcements);

  /// `rest` is the path after "/v1/trainers/".
  void handle(const exchange_ptr& exchange, std::string_view rest);

private:
  void open_step(const exchange_ptr& exchange, const std::string& trainer, std::uint64_t step);
  void next_batch(const exchange_ptr& exchange, const std::string& trainer, std::uint64_t step);
  void acknowledge(const exchange_ptr& exchange, const std::string& trainer, std::uint64_t step,
                   std::uint64_t n);
  void announce(const exchange_ptr& exchange, const config::trainer& trainer);
  /// Answers with the holder's address unless this instance holds the shard.
  bool redirect(const exchange_ptr& exchange, const std::string& trainer);

  const daemon_context& context_;
  const access_control& access_;
  trainer_task& trainers_;
  /// Caller address of the holder of each trainer's shard.
  std::map<std::string, std::string> holders_;
};

} // namespace boragedoor::daemon
