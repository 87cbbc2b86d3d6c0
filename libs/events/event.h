#pragma once

#include <cstdint>
#include <string>

#include "base/json.h"
#include "base/time.h"
#include "events/catalogue.h"

namespace boragedoor::events {

/// One entry of the timeline. Empty text and zero numbers mean "not applicable".
struct event {
  event_number number = event_number::daemon_started;
  /// Instance that recorded the event, and the id of its process start.
  std::string instance;
  std::string boot;
  /// Position in the process's own order, from 1.
  std::uint64_t sequence = 0;
  time_point monotonic;
  wall_time wall;
  std::string request;
  std::string endpoint;
  std::string workspace;
  std::string shard;
  std::uint64_t revision = 0;
  /// Id (see `event_id`) of the event, on any instance, that led to this one.
  std::string cause;
  /// Further named values. Never holds a key or a body.
  json details = json::object();
};

/// Returns "instance/boot/sequence", which is unique over all processes.
std::string event_id(const event& it);

/// Converts to and from the JSON form that the daemon writes.
json to_json(const event& it);
result<event> event_from_json(const json& value);

} // namespace boragedoor::events
