#include "raw_replica.h"

#include "base/json.h"

namespace boragedoor::platform {

void announce_raw_replica(store_stand_in& store, const std::string& id, const std::string& service,
                          const net::address& address, int slots) {
  store.put("servers/" + id, {{"service", service},
                              {"address", net::to_string(address)},
                              {"zone", "z1"},
                              {"version", "v1"},
                              {"slots", slots},
                              {"state", "ready"},
                              {"cold_remaining_ms", 0},
                              {"models", json::array()},
                              {"sequence", 1},
                              {"born", 1}});
}

std::string header_of(const std::string& message, std::string_view name) {
  const auto at = message.find(std::string(name) + ": ");
  const auto from = at + name.size() + 2;
  return at == std::string::npos ? "" : message.substr(from, message.find('\r', from) - from);
}

} // namespace boragedoor::platform
