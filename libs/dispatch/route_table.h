#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"
#include "dispatch/service_configuration.h"

namespace boragedoor::dispatch {

/// Why a request was not routed.
enum class route_refusal { no_configuration, no_route, unknown_key };

/// The route of a request and the workspace that sent it.
struct route_match {
  std::shared_ptr<const service_configuration> configuration;
  const route* matched_route = nullptr;
  /// Empty if the key is unknown, which only open routes and configurations without workspaces
  /// allow.
  std::string workspace;
};

/// Holds the current configuration and looks up routes and API keys in it.
class route_table {
public:
  /// Replaces the configuration. Returns false and changes nothing unless `next` has a higher
  /// version than the current one.
  bool apply(service_configuration next);

  /// Returns the route of the host with the longest matching path prefix, or null.
  [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const route* find_by_name(std::string_view name) const;
  /// Returns the workspace that an API key belongs to.
  [[nodiscard]] std::optional<std::string> workspace_of(std::string_view key) const;

  /// Finds the route and the workspace of a request. `key` is empty if the request has no API key.
  /// Sets `refusal` if it returns nothing.
  [[nodiscard]] std::optional<route_match> match(std::string_view host, std::string_view path,
                                                 std::string_view key,
                                                 route_refusal& refusal) const;

  /// Version of the current configuration; 0 if there is none yet.
  [[nodiscard]] std::uint64_t version() const { return current_ ? current_->version : 0; }
  [[nodiscard]] const std::shared_ptr<const service_configuration>& current() const {
    return current_;
  }

private:
  std::shared_ptr<const service_configuration> current_;
  std::map<std::string, std::string, std::less<>> workspace_by_key_;
};

/// Picks a service of the route at random by weight. Returns an empty name if it has no services.
std::string choose_service(const route& source, random_engine& random);

} // namespace boragedoor::dispatch
