#include "raw_replica.h"

#include <utility>

#include "base/json.h"

namespace boragedoor::platform {

void announce_raw_replica(store_stand_in& store, const std::string& id, const std::string& service,
                          const net::address& address, int slots, const std::string& model) {
  json models = json::array();
  if (!model.empty()) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
  }
  store.put("servers/" + id, {{"service", service},
                              {"address", net::to_string(address)},
                              {"zone", "z1"},
                              {"version", "v1"},
                              {"slots", slots},
                              {"state", "ready"},
                              {"cold_remaining_ms", 0},
                              {"stage", "both"},
                              {"models", models},
                              {"sequence", 1},
                              {"born", 1}});
}

std::string take_request(http1::raw_connection& from) {
  constexpr std::string_view head_end = "\r\n\r\n";
  const auto end = from.received.find(head_end);
  if (end == std::string::npos) {
    return {};
  }
  const std::string length = header_of(from.received, "Content-Length");
  if (from.received.size() < end + head_end.size() + (length.empty() ? 0 : std::stoul(length))) {
    return {};
  }
  return std::exchange(from.received, {});
}

std::string engine_report_message() {
  const std::string report =
      to_text({{"stage", "both"},
               {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
               {"busy", false},
               {"sequence", 0},
               {"queued", 0},
               {"running", 0},
               {"born", 1}});
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(report.size()) + "\r\n\r\n" + report;
}

std::string header_of(const std::string& message, std::string_view name) {
  const auto at = message.find(std::string(name) + ": ");
  const auto from = at + name.size() + 2;
  return at == std::string::npos ? "" : message.substr(from, message.find('\r', from) - from);
}

} // namespace boragedoor::platform
