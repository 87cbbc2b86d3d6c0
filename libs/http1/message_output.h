#pragma once

#include <memory>
#include <string>

struct bufferevent;

namespace boragedoor::http1 {

/// Adds a message body to the output of a connection. A large one is not copied.
void write_body(bufferevent* to, std::string body);
/// Keeps a long body until it is sent.
void write_body(bufferevent* to, const std::shared_ptr<const std::string>& body);

} // namespace boragedoor::http1
