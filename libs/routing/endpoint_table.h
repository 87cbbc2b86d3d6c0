#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "routing/endpoint_load.h"

namespace boragedoor::routing {

enum class endpoint_kind { engine, service };
enum class endpoint_tier { standard, cheap };
enum class endpoint_state { starting, ready, draining };
/// Whether the endpoint rejects orders that carry an outdated fencing token.
enum class fencing_support { checks_tokens, ignores_tokens };

/// Identity and state of an endpoint, from the platform and its configuration.
struct endpoint {
  std::string id;
  std::string address;
  std::string data_centre;
  std::string region;
  std::string pool;
  std::string model;
  endpoint_kind kind = endpoint_kind::engine;
  endpoint_tier tier = endpoint_tier::standard;
  endpoint_state state = endpoint_state::ready;
  fencing_support fencing = fencing_support::checks_tokens;
  /// Version of the loaded weights; 0 for services and before weights are first loaded.
  std::uint64_t weight_version = 0;
  std::vector<std::string> adapters;
  /// Maximum number of concurrent requests, at least 1. Further requests are queued.
  int max_running = 1;
};

/// The endpoints known to this instance, each with its last load report and the requests that this
/// instance dispatched and completed since then.
class endpoint_table {
public:
  /// Adds an endpoint or replaces its description, keeping its load figures.
  /// Fails with `invalid_argument` when the id is empty or `max_running` is below 1.
  result<void> put(endpoint description);
  void remove(std::string_view id);
  bool set_state(std::string_view id, endpoint_state state);
  bool set_weight_version(std::string_view id, std::uint64_t version);

  /// Stores a load report unless a report of the same or a later time is known.
  void update_load(std::string_view id, const load_report& load);
  void record_dispatch(std::string_view id, time_point now);
  void record_completion(std::string_view id, time_point now);

  [[nodiscard]] const endpoint* find(std::string_view id) const;
  [[nodiscard]] std::optional<load_report> last_report(std::string_view id) const;
  /// Estimated requests on the endpoint: the last report, plus this instance's dispatches and minus
  /// its completions since then, but at least this instance's own open requests.
  [[nodiscard]] int outstanding(std::string_view id) const;
  /// Open requests that this instance dispatched.
  [[nodiscard]] int own_open_requests(std::string_view id) const;
  /// This instance's dispatches minus its completions since the last report.
  [[nodiscard]] int own_net_since_report(std::string_view id) const;
  [[nodiscard]] std::size_t size() const { return rows_.size(); }

  /// Calls `visit(const endpoint&)` for each endpoint, ordered by id.
  template <class Visitor>
  void for_each(Visitor&& visit) const {
    for (const auto& [id, it] : rows_) {
      visit(it.description);
    }
  }

private:
  struct row {
    endpoint description;
    endpoint_load load;
  };
  row* find_row(std::string_view id);

  std::map<std::string, row, std::less<>> rows_;
};

} // namespace boragedoor::routing
