#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "http1/message.h"
#include "jobs/event_reader.h"
#include "jobs/job.h"

namespace boragedoor::instance {

/// Metadata that is added to a request to an endpoint.
struct send_context {
  /// Id of the intended endpoint. A different process at its address rejects the request.
  std::string endpoint;
  std::string workspace;
  duration time_left{};
};

/// Metadata of an endpoint's response.
struct endpoint_reply {
  /// Attempt id echoed by the endpoint; empty if there is none.
  std::string attempt;
  /// The endpoint states that it did not execute the request.
  bool not_run = false;
  /// The response comes from a different process at the endpoint's address.
  bool misdirected = false;
  /// Signature that shows that the endpoint itself made the response and that it is complete.
  std::string signature;
  /// The endpoint states that it leaves and takes no further requests.
  bool leaving = false;
  /// Numbers of running and waiting requests, if the endpoint reports them.
  std::optional<int> running;
  std::optional<int> waiting;
  /// Requests a second that the endpoint takes from all instances together, if it states a limit.
  std::optional<double> request_limit;
  /// Version of the weights that generated the response.
  std::optional<std::uint64_t> weight_version;
};

/// State that an engine reports about itself.
struct engine_report {
  /// Number of orders accepted since the engine started. See `version_order::expected_sequence`.
  std::uint64_t order_sequence = 0;
  bool order_in_progress = false;
  std::map<std::string, std::uint64_t, std::less<>> versions;
};

/// What an engine does with its running requests when it loads weights.
enum class load_mode {
  /// Loads after they have finished, and starts no new ones before.
  wait,
  /// Resets their streams.
  truncate,
  /// Continues them with the new version.
  retain,
};

/// An order to an engine to load a version of a model's weights.
struct version_order {
  std::string endpoint;
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::retain;
  std::string holder;
  std::uint64_t fencing_token = 0;
  /// The engine rejects the order if its `order_sequence` differs.
  std::uint64_t expected_sequence = 0;
};

/// Encodes requests to endpoints and decodes their responses. Does no I/O.
class endpoint_protocol {
public:
  virtual ~endpoint_protocol() = default;
  endpoint_protocol() = default;
  endpoint_protocol(const endpoint_protocol&) = delete;
  endpoint_protocol& operator=(const endpoint_protocol&) = delete;
  endpoint_protocol(endpoint_protocol&&) = delete;
  endpoint_protocol& operator=(endpoint_protocol&&) = delete;

  /// Encodes the forwarded form of a caller's request.
  [[nodiscard]] virtual http1::request forward(const http1::request& received,
                                               const send_context& context) const = 0;
  /// Encodes a run of a job's item. With `after_event` the run resumes after that event.
  [[nodiscard]] virtual http1::request generate(const jobs::job& job, const jobs::job_item& item,
                                                std::optional<std::uint64_t> after_event,
                                                const send_context& context) const = 0;
  [[nodiscard]] virtual http1::request score(const jobs::reward_call& call,
                                             const send_context& context) const = 0;
  [[nodiscard]] virtual http1::request report(const std::string& endpoint) const = 0;
  [[nodiscard]] virtual http1::request order(const version_order& order) const = 0;

  [[nodiscard]] virtual endpoint_reply read(const http1::response& head) const = 0;
  [[nodiscard]] virtual std::optional<engine_report>
  read_report(const http1::response& response) const = 0;
  /// Returns when the process that made a report started, in Unix milliseconds, if it says so.
  [[nodiscard]] virtual std::optional<std::int64_t>
  read_process_start(const http1::response& report) const = 0;
  /// Returns the weight version that a stream event announces, if any.
  [[nodiscard]] virtual std::optional<std::uint64_t>
  version_change(const jobs::stream_event& event) const = 0;
  /// Returns the headers of an endpoint's response that are forwarded to the caller.
  [[nodiscard]] virtual net::headers forwarded_headers(const http1::response& response) const = 0;
};

} // namespace boragedoor::instance
