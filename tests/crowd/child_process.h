#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>

#include "base/result.h"

namespace boragedoor::platform {

/// A process of the built program. It is ended by its id when this object is destroyed.
class child_process {
public:
  /// Starts `program` with a settings file; its output goes to `log`. Fails with `io`.
  static result<child_process> start(const std::string& program, const std::string& settings,
                                     const std::string& log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  child_process(child_process&& from) noexcept;
  child_process& operator=(child_process&&) = delete;

  /// Asks the process to stop (SIGTERM).
  void ask_to_stop() const;
  /// Returns the status of `waitpid` once the process has ended.
  std::optional<int> end_status();
  [[nodiscard]] bool is_running() { return !end_status(); }

  /// Most memory that was resident at one time, in bytes.
  [[nodiscard]] std::size_t peak_memory() const;
  /// Memory that is resident now, in bytes.
  [[nodiscard]] std::size_t memory() const;
  [[nodiscard]] std::size_t open_descriptors() const;

private:
  explicit child_process(pid_t id) : id_(id) {}
  [[nodiscard]] std::size_t status_bytes(const std::string& field) const;

  pid_t id_ = -1;
  std::optional<int> end_status_;
};

/// Bytes that have arrived at connections of the address `host` and that are not read yet. The
/// platform counts them as memory of the process.
std::size_t unread_bytes(const std::string& host);

} // namespace boragedoor::platform
