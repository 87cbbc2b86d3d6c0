#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "standin/stand_in.h"

namespace boragedoor::standin {

struct service_options {
  net::address listen{"127.0.0.1", 0};
  /// Name in load reports.
  std::string endpoint = "service";
  /// Time from a call's effect to its answer.
  duration latency = duration::zero();
  /// Executed requests that are kept for GET /executed; older ones are only counted.
  std::size_t kept = 10000;
};

/// A plain service that runs every request, each time it arrives. It answers GET /executed,
/// /load and /healthz itself.
class service_server final : public stand_in {
public:
  static result<std::unique_ptr<service_server>> create(net::event_loop& loop,
                                                        const service_options& options);

  [[nodiscard]] const std::string& incarnation() const { return incarnation_; }

  /// The body of GET /executed.
  [[nodiscard]] json executed() const;

private:
  service_server(net::event_loop& loop, const service_options& options);

  static std::string classify(const net::http_request& request);
  void handle(const std::shared_ptr<call>& it);
  void execute(const std::shared_ptr<call>& it);
  void load(call& it) const;
  void crashed();

  net::event_loop& loop_;
  service_options options_;
  std::string incarnation_;
  std::int64_t crashes_ = 0;
  std::int64_t count_ = 0;
  std::int64_t running_ = 0;
  std::deque<json> executed_;
};

} // namespace boragedoor::standin
