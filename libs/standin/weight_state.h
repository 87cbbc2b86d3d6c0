#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace boragedoor::standin {

/// Which versions of which models are published. Pure.
class weight_state {
public:
  void publish(const std::string& model, std::int64_t version) { models_[model].insert(version); }

  /// The greatest version, or nothing for an unknown model.
  [[nodiscard]] std::optional<std::int64_t> latest(std::string_view model) const {
    const auto it = models_.find(model);
    return it == models_.end() ? std::nullopt : std::optional(*it->second.rbegin());
  }

  [[nodiscard]] bool has(std::string_view model, std::int64_t version) const {
    const auto it = models_.find(model);
    return it != models_.end() && it->second.contains(version);
  }

private:
  std::map<std::string, std::set<std::int64_t>, std::less<>> models_;
};

} // namespace boragedoor::standin
