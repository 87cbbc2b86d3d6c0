#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "settings/daemon_settings.h"

namespace boragedoor::settings {

/// Why a value is refused.
struct value_problem {
  std::string problem;
  std::string remedy;
};

/// What is known about one key; docs/settings.md has a row for each.
struct setting_key {
  std::string_view section;
  std::string_view name;
  /// Form of the value, for the page.
  std::string_view form;
  /// Default as text; keys without one are required.
  std::optional<std::string_view> fallback;
  std::string_view meaning;
  /// Checks a value and stores it.
  std::optional<value_problem> (*apply)(daemon_settings&, std::string_view value);
};

/// All keys in the order of the page.
std::span<const setting_key> setting_keys();

/// Looks a key up; returns nullptr when there is none.
const setting_key* find_setting(std::string_view section, std::string_view name);

/// True when some key belongs to the section.
bool is_section(std::string_view section);

} // namespace boragedoor::settings
