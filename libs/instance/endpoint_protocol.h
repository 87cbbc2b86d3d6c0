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

/// What the system adds to a request on its way to an endpoint.
struct send_context {
  /// Endpoint that must answer: another process at its address refuses.
  std::string endpoint;
  std::string workspace;
  duration time_left{};
};

/// What an endpoint says of itself beside the response.
struct endpoint_reply {
  /// Request that the response answers, as the endpoint echoes it; empty if it does not.
  std::string attempt;
  /// The endpoint certainly did not run the request.
  bool not_run = false;
  /// Another process answers at the address.
  bool misdirected = false;
  /// Proof that the response is the endpoint's own and complete.
  std::string signature;
  /// Requests running and waiting, if the endpoint tells.
  std::optional<int> running;
  std::optional<int> waiting;
  /// Version of the weights that generate the response.
  std::optional<std::uint64_t> weight_version;
};

/// State of an engine by its own report.
struct engine_report {
  /// Orders accepted since its start; an order may be bound to it.
  std::uint64_t order_sequence = 0;
  bool order_in_progress = false;
  std::map<std::string, std::uint64_t, std::less<>> versions;
};

/// What happens to the runs of an engine that loads weights.
enum class load_mode {
  /// They finish first; nothing new starts meanwhile.
  wait,
  /// Their streams are reset.
  truncate,
  /// They go on under the new version.
  retain,
};

/// An order to load weights.
struct version_order {
  std::string endpoint;
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::retain;
  std::string holder;
  std::uint64_t fencing_token = 0;
  std::uint64_t expected_sequence = 0;
};

/// How endpoints are spoken to. Only encodes and decodes.
class endpoint_protocol {
public:
  virtual ~endpoint_protocol() = default;
  endpoint_protocol() = default;
  endpoint_protocol(const endpoint_protocol&) = delete;
  endpoint_protocol& operator=(const endpoint_protocol&) = delete;
  endpoint_protocol(endpoint_protocol&&) = delete;
  endpoint_protocol& operator=(endpoint_protocol&&) = delete;

  /// A caller's request as it is sent on.
  [[nodiscard]] virtual http1::request forward(const http1::request& received,
                                               const send_context& to) const = 0;
  /// A run of a job's item; with `after` it continues behind that event.
  [[nodiscard]] virtual http1::request generate(const jobs::job& of, const jobs::job_item& item,
                                                std::optional<std::uint64_t> after,
                                                const send_context& to) const = 0;
  [[nodiscard]] virtual http1::request score(const jobs::reward_call& call,
                                             const send_context& to) const = 0;
  [[nodiscard]] virtual http1::request report(const std::string& endpoint) const = 0;
  [[nodiscard]] virtual http1::request order(const version_order& it) const = 0;

  [[nodiscard]] virtual endpoint_reply read(const http1::response& head) const = 0;
  [[nodiscard]] virtual std::optional<engine_report>
  read_report(const http1::response& it) const = 0;
  /// The version that an event of a stream announces, if it does.
  [[nodiscard]] virtual std::optional<std::uint64_t>
  version_change(const jobs::stream_event& it) const = 0;
  /// Headers of an endpoint's response that go on to the caller.
  [[nodiscard]] virtual net::headers passed_on(const http1::response& it) const = 0;
};

} // namespace boragedoor::instance
