#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/stream_origins.h"
#include "instance/endpoint_verifier.h"
#include "instance/instance_context.h"

namespace boragedoor::instance {

/// The software that began a stream.
struct known_origin {
  std::string software;
};
/// No instance has recorded the stream, or did so too long ago.
struct unknown_origin {};
/// The store did not answer, so it is not known whether the stream was recorded.
struct unread_origin {};

using origin_answer = std::variant<known_origin, unknown_origin, unread_origin>;

/// Records in the store which software began each stream, so that every instance can continue a
/// stream at that software, also after the instance that began it was killed.
///
/// Design note: the records are written a moment after the stream has begun, many at once. A
/// stream whose record was not written before its instance was killed cannot be continued; asking
/// the store before the first event is forwarded would delay every stream.
///
/// A record is written only while the registry's entry of the endpoint is unchanged or names the
/// same process, so an instance that missed an endpoint's change of software does not record the
/// former one.
class stream_origin_task {
public:
  stream_origin_task(instance_context& context, const endpoint_verifier& verifier);
  ~stream_origin_task() { *alive_ = false; }
  stream_origin_task(const stream_origin_task&) = delete;
  stream_origin_task& operator=(const stream_origin_task&) = delete;
  stream_origin_task(stream_origin_task&&) = delete;
  stream_origin_task& operator=(stream_origin_task&&) = delete;

  /// Records that a process has begun the stream of a caller's attempt.
  void record(const std::string& attempt, const expected_process& from);
  /// Finds out which software began the stream of an attempt. `done` may be called at once.
  void find(const std::string& attempt, std::function<void(const origin_answer&)> done);

private:
  void tick();
  void store_records(time_point now);
  void request_lease(time_point now);
  void on_stored(const std::vector<dispatch::stream_origin>& records, const commit_answer& answer);
  /// Compares the records whose endpoints' entries have changed with the present entries.
  void check_changed(const std::vector<dispatch::stream_origin>& records,
                     const std::vector<stored_item>& found);
  void drop(const std::string& attempt, const routing::endpoint_process& process,
            std::string_view reason);

  instance_context& context_;
  const endpoint_verifier& verifier_;
  dispatch::stream_origins origins_;
  /// The lease that new records are bound to, and when it was requested. Records vanish with it.
  std::uint64_t lease_ = 0;
  time_point lease_since_{};
  /// Whether a call to the store is in progress.
  bool storing_ = false;
  net::timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
