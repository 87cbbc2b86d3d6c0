#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"
#include "dispatch/service_configuration.h"

namespace boragedoor::dispatch {

/// Why a request is not routed.
enum class route_refusal { no_configuration, no_route, unknown_key };

/// Where a request goes and on whose behalf.
struct routed {
  std::shared_ptr<const service_configuration> configuration;
  const route* matched = nullptr;
  /// Empty on an open route without a known key.
  std::string workspace;
};

/// The configuration in force, with look-ups. Versions only go up.
class route_table {
public:
  /// Takes a version. Returns false and changes nothing unless it is newer than the present one.
  bool apply(service_configuration next);

  /// The route of the host with the longest prefix of the path; nothing if there is none.
  [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const route* find_by_name(std::string_view name) const;
  /// The workspace that holds a key.
  [[nodiscard]] std::optional<std::string> workspace_of(std::string_view key) const;

  /// Routes a request; `key` is empty when the caller showed none. On a refusal `why` is set.
  [[nodiscard]] std::optional<routed> match(std::string_view host, std::string_view path,
                                            std::string_view key, route_refusal& why) const;

  /// Version in force; 0 before the first.
  [[nodiscard]] std::uint64_t version() const { return current_ ? current_->version : 0; }
  [[nodiscard]] const std::shared_ptr<const service_configuration>& current() const {
    return current_;
  }

private:
  std::shared_ptr<const service_configuration> current_;
  std::map<std::string, std::string, std::less<>> workspace_by_key_;
};

/// Draws a service of a route by the weights of its shares; empty without services.
std::string draw_service(const route& from, random_engine& random);

} // namespace boragedoor::dispatch
