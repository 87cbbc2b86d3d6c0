#include "dispatch/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace boragedoor::dispatch {

namespace {

/// A host without its port, in lower case.
std::string host_name(std::string_view host) {
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
    it.host = host_name(it.host);
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
  const std::string name = host_name(host);
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

std::optional<routed> route_table::match(std::string_view host, std::string_view path,
                                         std::string_view key, route_refusal& why) const {
  if (!current_) {
    why = route_refusal::no_configuration;
    return std::nullopt;
  }
  const route* matched = find(host, path);
  if (matched == nullptr) {
    why = route_refusal::no_route;
    return std::nullopt;
  }
  auto owner = workspace_of(key);
  if (!owner && !matched->open && !current_->workspaces.empty()) {
    why = route_refusal::unknown_key;
    return std::nullopt;
  }
  return routed{current_, matched, std::move(owner).value_or(std::string())};
}

std::string draw_service(const route& from, random_engine& random) {
  if (from.services.empty()) {
    return {};
  }
  double total = 0;
  for (const service_share& it : from.services) {
    total += it.weight;
  }
  double left = std::uniform_real_distribution<double>(0, std::max(total, 0.0))(random);
  for (const service_share& it : from.services) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return from.services.back().service;
}

} // namespace boragedoor::dispatch
