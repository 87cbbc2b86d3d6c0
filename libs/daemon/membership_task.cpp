#include "daemon/membership_task.h"

#include <algorithm>

#include "base/json.h"

namespace boragedoor::daemon {

namespace {

// The list is small and near; a slower answer is treated as a failed poll.
constexpr duration poll_timeout = seconds(3);

listed_instance instance_from(const json& row) {
  listed_instance it;
  it.id = string_field(row, "id").value_or("");
  it.callers = net::parse_address(string_field(row, "address").value_or(""));
  it.peers = net::parse_address(string_field(row, "peer_address").value_or(""));
  it.data_centre = string_field(row, "data_centre").value_or("");
  it.region = string_field(row, "region").value_or("");
  it.leaving = string_field(row, "state").value_or("") == "leaving";
  return it;
}

} // namespace

membership_task::membership_task(const daemon_context& context)
    : context_(context), timer_(context.loop, [this] { poll(); }) {}

void membership_task::start() {
  poll();
  timer_.start_periodic(context_.settings.timing.list_poll);
}

void membership_task::poll() {
  net::http_call_spec spec;
  spec.target = context_.settings.platform.instance_list;
  spec.path = "/instances";
  spec.progress_timeout = poll_timeout;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this](const net::http_reply& reply) {
    const auto value = parse_json(reply.body);
    if (reply.status == 200 && value) {
      accept(value.value());
    }
  };
  context_.http.send(std::move(spec), std::move(callbacks));
}

void membership_task::accept(const json& value) {
  const auto rows = value.is_object() ? value.find("instances") : value.end();
  if (rows == value.end() || !rows->is_array()) {
    return;
  }
  std::vector<listed_instance> list;
  for (const json& row : *rows) {
    listed_instance it = instance_from(row);
    if (!it.id.empty() && it.callers.port != 0) {
      list.push_back(std::move(it));
    }
  }
  std::ranges::sort(list, {}, &listed_instance::id);
  if (!known_ || list != list_) {
    known_ = true;
    list_ = std::move(list);
    events::event it;
    it.number = events::event_number::membership_changed;
    it.details["instances"] = list_.size();
    context_.record(std::move(it));
    changed_.emit(list_);
  }
  polled_.emit(list_, milliseconds(integer_field(value, "lag_ms").value_or(0)));
}

} // namespace boragedoor::daemon
