#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace boragedoor::standin {

/// Whether a receiver of orders rejects an old fencing token.
enum class fencing { checked, ignored };

std::string_view to_string(fencing mode);

/// All orders that a stand-in received, and its judgement of each. Pure.
class order_book {
public:
  enum class verdict {
    execute,
    /// The same order is being executed.
    in_progress,
    /// The same order was executed.
    repeated,
    /// The token is older than the greatest seen in its scope.
    stale,
  };

  explicit order_book(fencing mode) : mode_(mode) {}

  /// Records an order and judges it. Tokens are compared within one `scope`. An order that is to
  /// be executed counts as in progress until `finish`.
  verdict receive(const std::string& order_id, const std::string& scope, std::int64_t fencing_token,
                  const json& body, wall_time now);

  /// Ends an order; one that failed may be executed again.
  void finish(const std::string& order_id, bool applied);

  /// Forgets which orders are in progress, as a crash does.
  void interrupt();

  [[nodiscard]] std::int64_t greatest_token(std::string_view scope) const;

  /// Everything received: `{"orders":[body + "received_ms" + "verdict"]}`.
  [[nodiscard]] json list() const;

private:
  verdict judge(const std::string& order_id, const std::string& scope, std::int64_t token);

  fencing mode_;
  std::map<std::string, std::int64_t, std::less<>> greatest_;
  // Order ids that are in progress (false) or applied (true).
  std::map<std::string, bool, std::less<>> states_;
  std::vector<json> received_;
};

std::string_view to_string(order_book::verdict it);

} // namespace boragedoor::standin
