#pragma once

#include <string>

struct bufferevent;

namespace boragedoor::http1 {

/// Adds a message body to the output of a connection. A large one is not copied.
void write_body(bufferevent* to, std::string body);

} // namespace boragedoor::http1
