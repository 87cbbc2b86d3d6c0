#include "child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <fmt/format.h>

namespace boragedoor::platform {

result<child_process> child_process::start(const std::string& program, const std::string& settings,
                                           const std::string& log) {
  constexpr mode_t log_mode = 0600;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string name = program;
  std::string variable = "BORAGEDOOR_NODE_FILE=" + settings;
  std::array<char*, 2> arguments = {name.data(), nullptr};
  std::array<char*, 2> environment = {variable.data(), nullptr};
  pid_t id = -1;
  const int ec =
      posix_spawn(&id, name.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    return error{error_code::io, fmt::format("cannot start {}", program)};
  }
  return child_process(id);
}

child_process::child_process(child_process&& from) noexcept
    : id_(std::exchange(from.id_, -1)), end_status_(from.end_status_) {}

child_process::~child_process() {
  if (id_ > 0 && !end_status()) {
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
  }
}

void child_process::ask_to_stop() const {
  kill(id_, SIGTERM);
}

std::optional<int> child_process::end_status() {
  int status = 0;
  if (!end_status_ && waitpid(id_, &status, WNOHANG) == id_) {
    end_status_ = status;
  }
  return end_status_;
}

std::size_t child_process::status_bytes(const std::string& field) const {
  std::ifstream file(fmt::format("/proc/{}/status", id_));
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(field)) {
      return std::stoul(line.substr(field.size())) * 1024;
    }
  }
  return 0;
}

std::size_t child_process::peak_memory() const {
  return status_bytes("VmHWM:");
}

std::size_t child_process::memory() const {
  return status_bytes("VmRSS:");
}

std::size_t child_process::open_descriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", id_), ec);
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

std::size_t unread_bytes(const std::string& host) {
  constexpr int hexadecimal = 16;
  in_addr at{};
  inet_pton(AF_INET, host.c_str(), &at);
  const std::string prefix = fmt::format("{:08X}:", at.s_addr);
  constexpr std::string_view listening = "0A";
  std::ifstream file("/proc/self/net/tcp");
  std::string line;
  std::size_t sum = 0;
  std::getline(file, line);
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    if (local.starts_with(prefix) && state != listening) {
      sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
  }
  return sum;
}

} // namespace boragedoor::platform
