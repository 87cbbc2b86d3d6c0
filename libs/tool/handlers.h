#pragma once

#include "tool/command.h"

namespace boragedoor::tool {

/// What each command does; `commands` in command_catalogue.cpp names them.
int questionnaire_check(command_context& context);
int questionnaire_generate(command_context& context);
int config_propose(command_context& context);
int config_show(command_context& context);
int config_diff(command_context& context);
int config_status(command_context& context);
int key_issue(command_context& context);
int key_withdraw(command_context& context);
int key_list(command_context& context);
int instance_list(command_context& context);
int instance_drain(command_context& context);
int endpoint_list(command_context& context);
int usage_show(command_context& context);
int timeline(command_context& context);
int version(command_context& context);
int help(command_context& context);

} // namespace boragedoor::tool
