#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "instance/endpoint_task.h"
#include "instance/instance_context.h"

namespace boragedoor::instance {

/// Whether a response came from the software that this instance took the endpoint for.
enum class process_verdict {
  confirmed,
  /// Other software runs under the endpoint's id, or a process that the registry does not name.
  refuted,
  /// The endpoint has no entry any more, and its last one named the software.
  gone,
  /// Neither the endpoint nor the registry tells now.
  unknown,
};

std::string_view to_string(process_verdict it);

/// The process of an endpoint and its software, as this instance knows them.
struct expected_process {
  routing::endpoint_process process;
  /// See `endpoint_entry::software`.
  std::string software;
};

/// Finds out whether an endpoint still runs the software that this instance takes it for.
///
/// An endpoint may start again under its id with other software, and its responses do not tell. An
/// instance that missed the change of the registry, because it was cut off or stood still, would
/// join the parts of a stream from different software. The check is made after the response has
/// begun, so a pause between the check and the request changes nothing.
class endpoint_verifier {
public:
  endpoint_verifier(instance_context& context, endpoint_decoder decode)
      : context_(context), decode_(std::move(decode)) {}
  ~endpoint_verifier() { *alive_ = false; }
  endpoint_verifier(const endpoint_verifier&) = delete;
  endpoint_verifier& operator=(const endpoint_verifier&) = delete;
  endpoint_verifier(endpoint_verifier&&) = delete;
  endpoint_verifier& operator=(endpoint_verifier&&) = delete;

  /// Asks an endpoint that is responding when its process started, and the registry if the endpoint
  /// does not say. `done` is never called before this returns.
  void verify(const expected_process& expected, std::function<void(process_verdict)> done);
  /// Reads the endpoint's entry from the registry, for a process that may have ended. `done` is
  /// never called before this returns.
  void verify_registered(const expected_process& expected,
                         std::function<void(process_verdict)> done);
  /// Compares an entry of the registry with what was expected. `started` is when the process of the
  /// endpoint started, if it says so.
  [[nodiscard]] process_verdict compare(const stored_item& entry, const expected_process& expected,
                                        std::optional<std::int64_t> started = std::nullopt) const;

private:
  void read_entry(const expected_process& expected, std::optional<std::int64_t> started,
                  std::function<void(process_verdict)> done);
  /// The verdict on an endpoint that has no entry in the registry.
  [[nodiscard]] process_verdict verdict_without_entry(const expected_process& expected) const;

  instance_context& context_;
  endpoint_decoder decode_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
