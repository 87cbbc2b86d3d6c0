#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "instance/instance_context.h"
#include "requests/crash_suspects.h"

namespace boragedoor::instance {

/// A process of an endpoint.
struct endpoint_process {
  std::string endpoint;
  /// See `dispatch::endpoint_entry::process_start_ms`.
  std::int64_t start_ms = 0;
};

/// Finds out which callers' requests crash the endpoints that run them.
class crash_task {
public:
  explicit crash_task(instance_context& context) : context_(context) {}
  ~crash_task() { *alive_ = false; }
  crash_task(const crash_task&) = delete;
  crash_task& operator=(const crash_task&) = delete;
  crash_task(crash_task&&) = delete;
  crash_task& operator=(crash_task&&) = delete;

  /// Checks whether an endpoint still takes connections, after a request that had been sent to it
  /// got no complete response. `fingerprint` is that of the request.
  void check(const std::string& request, const std::string& fingerprint,
             const endpoint_process& process);

private:
  void record_crash(const std::string& request, const std::string& fingerprint,
                    const endpoint_process& process);

  instance_context& context_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
