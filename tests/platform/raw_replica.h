#pragma once

#include <string>
#include <string_view>

#include "http1/raw_peer.h"
#include "net/http_types.h"
#include "store_stand_in.h"

namespace boragedoor::platform {

/// Adds the registry entry of a replica that is no `replica_stand_in`, such as one that breaks the
/// protocol.
void announce_raw_replica(store_stand_in& store, const std::string& id, const std::string& service,
                          const net::address& address, int slots = 4,
                          const std::string& model = {});

/// Takes the next whole request from what a connection has received; empty if there is none yet.
std::string take_request(http1::raw_connection& from);

/// The response to a request for the report of an engine with the model "m".
std::string engine_report_message();

/// Returns the value of a header field in a message as it was received; empty if there is none.
std::string header_of(const std::string& message, std::string_view name);

} // namespace boragedoor::platform
