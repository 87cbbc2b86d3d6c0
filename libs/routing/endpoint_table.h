#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::routing {

enum class endpoint_kind { engine, service };
enum class endpoint_tier { standard, cheap };
enum class endpoint_state { starting, ready, draining };
/// Whether the endpoint rejects orders with an old fencing token.
enum class fencing_support { checks_tokens, ignores_tokens };

/// Load as the endpoint last reported it.
struct load_report {
  /// Local monotonic time that the figures belong to: receipt time minus the report's age.
  time_point as_of;
  /// Requests in the running batch and requests waiting for a place in it.
  int running = 0;
  int waiting = 0;
};

/// Identity and state of one endpoint, as the platform and its configuration say.
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
  /// Version of the loaded weights; 0 for services and before the first load.
  std::uint64_t weight_version = 0;
  std::vector<std::string> adapters;
  /// Requests that run at the same time; more wait. At least 1.
  int max_running = 1;
};

/// Endpoints that this instance knows, each with its last load report and the requests that this
/// instance sent since the report was taken.
class endpoint_table {
public:
  /// Adds an endpoint or replaces its description; its load figures are kept.
  /// Fails with `invalid_argument` without an id or with `max_running` under 1.
  result<void> put(endpoint it);
  void remove(std::string_view id);
  bool set_state(std::string_view id, endpoint_state state);
  bool set_weight_version(std::string_view id, std::uint64_t version);

  /// Takes a report unless a later one is known.
  void report(std::string_view id, const load_report& it);
  void note_dispatch(std::string_view id, time_point now);
  void note_finish(std::string_view id, time_point now);

  [[nodiscard]] const endpoint* find(std::string_view id) const;
  [[nodiscard]] std::optional<load_report> last_report(std::string_view id) const;
  /// Requests on the endpoint: the last report, plus own dispatches and minus own completions
  /// since then, and never less than this instance's own open requests.
  [[nodiscard]] int outstanding(std::string_view id) const;
  /// This instance's own open requests.
  [[nodiscard]] int own_open(std::string_view id) const;
  /// This instance's dispatches minus its completions since the last report.
  [[nodiscard]] int own_since_report(std::string_view id) const;
  [[nodiscard]] std::size_t size() const { return rows_.size(); }

  /// Calls `visit(const endpoint&)` in the order of ids.
  template <class Visitor>
  void for_each(Visitor&& visit) const {
    for (const auto& [id, it] : rows_) {
      visit(it.description);
    }
  }

private:
  struct row {
    endpoint description;
    std::optional<load_report> load;
    int own_open = 0;
    std::deque<time_point> started;
    std::deque<time_point> finished;
  };
  row* find_row(std::string_view id);
  static int outstanding(const row& it);

  std::map<std::string, row, std::less<>> rows_;
};

} // namespace boragedoor::routing
