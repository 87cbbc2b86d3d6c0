#include "dispatch/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace boragedoor::dispatch {

namespace {

/// Returns the host in lower case and without its port.
std::string normalized_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
  return name;
}

} // namespace

bool route_table::apply(service_configuration next) {
  if (next.version <= version()) {
    return false;
  }
  for (route& it : next.routes) {
    it.host = normalized_host(it.host);
  }
  workspace_by_key_.clear();
  for (const workspace& it : next.workspaces) {
    for (const std::string& key : it.keys) {
      workspace_by_key_.emplace(key, it.name);
    }
  }
  current_ = std::make_shared<const service_configuration>(std::move(next));
  return true;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
  if (!current_) {
    return nullptr;
  }
  const std::string name = normalized_host(host);
  const route* best = nullptr;
  for (const route& it : current_->routes) {
    if (it.host == name && path.starts_with(it.prefix) &&
        (best == nullptr || it.prefix.size() > best->prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const route* route_table::find_by_name(std::string_view name) const {
  if (!current_) {
    return nullptr;
  }
  const auto& all = current_->routes;
  const auto it =
      std::find_if(all.begin(), all.end(), [&](const route& one) { return one.name == name; });
  return it == all.end() ? nullptr : &*it;
}

std::optional<std::string> route_table::workspace_of(std::string_view key) const {
  const auto it = workspace_by_key_.find(key);
  if (it == workspace_by_key_.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::optional<route_match> route_table::match(std::string_view host, std::string_view path,
                                              std::string_view key, route_refusal& refusal) const {
  if (!current_) {
    refusal = route_refusal::no_configuration;
    return std::nullopt;
  }
  const route* matched_route = find(host, path);
  if (matched_route == nullptr) {
    refusal = route_refusal::no_route;
    return std::nullopt;
  }
  auto owner = workspace_of(key);
  if (!owner && !matched_route->open && !current_->workspaces.empty()) {
    refusal = route_refusal::unknown_key;
    return std::nullopt;
  }
  return route_match{current_, matched_route, std::move(owner).value_or(std::string())};
}

std::string choose_service(const route& source, random_engine& random) {
  if (source.services.empty()) {
    return {};
  }
  double total = 0;
  for (const service_share& it : source.services) {
    total += it.weight;
  }
  double left = std::uniform_real_distribution<double>(0, std::max(total, 0.0))(random);
  for (const service_share& it : source.services) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return source.services.back().service;
}

} // namespace boragedoor::dispatch
