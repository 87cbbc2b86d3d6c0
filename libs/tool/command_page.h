#pragma once

#include <string>

#include "tool/command.h"

namespace boragedoor::tool {

/// Returns what `boragedoor NAME --help` prints.
std::string help_text(const command& it);

/// Returns the reference page docs/commands/NAME.md. Both have the same sections and wording.
std::string reference_page(const command& it);

/// Returns the file name of a reference page, for example "config-propose.md".
std::string page_name(const command& it);

/// Returns the list of commands that `boragedoor help` prints.
std::string command_list();

/// Returns the index of the reference pages, docs/commands/README.md.
std::string page_index();

} // namespace boragedoor::tool
