#include "standin/ordering_state.h"

#include <algorithm>
#include <array>
#include <utility>

namespace boragedoor::standin {

namespace {

constexpr std::array<std::string_view, 5> states{"spare", "starting", "live", "draining", "gone"};
constexpr std::array<std::string_view, 5> needed{"id", "address", "data_centre", "pool", "kind"};

} // namespace

result<void> ordering_state::replace(const json& document) {
  const auto list = document.find("endpoints");
  if (!document.is_object() || list == document.end() || !list->is_array()) {
    return error{error_code::invalid_argument, "endpoints must be an array"};
  }
  std::vector<endpoint> next;
  for (const json& fields : *list) {
    for (const auto name : needed) {
      if (!string_field(fields, name)) {
        return error{error_code::invalid_argument,
                     "endpoint " + std::to_string(next.size()) + " lacks " + std::string(name)};
      }
    }
    std::string state = string_field(fields, "state").value_or("live");
    if (std::find(states.begin(), states.end(), state) == states.end()) {
      return error{error_code::invalid_argument, "unknown endpoint state " + state};
    }
    next.push_back({fields, std::move(state)});
  }
  endpoints_ = std::move(next);
  return success();
}

std::size_t ordering_state::set_count(std::string_view data_centre, std::string_view pool,
                                      std::string_view tier, std::size_t count, time_point now) {
  move_on(now);
  const auto is_active = [](const endpoint& it) {
    return it.state == "live" || it.state == "starting";
  };
  std::size_t active = 0;
  for (endpoint& it : endpoints_) {
    if (matches(it, data_centre, pool, tier) && is_active(it)) {
      if (active < count) {
        ++active;
      } else {
        it.state = "draining";
        it.since = now;
      }
    }
  }
  for (endpoint& it : endpoints_) {
    if (active < count && it.state == "spare" && matches(it, data_centre, pool, tier)) {
      it.state = "starting";
      it.since = now;
      ++active;
    }
  }
  move_on(now);
  return active;
}

std::size_t ordering_state::reclaim(std::string_view data_centre) {
  std::size_t n = 0;
  for (endpoint& it : endpoints_) {
    const bool cheap = string_field(it.fields, "tier") == "cheap" &&
                       string_field(it.fields, "data_centre") == data_centre;
    if (cheap && it.state != "gone" && it.state != "spare") {
      it.state = "gone";
      ++n;
    }
  }
  return n;
}

json ordering_state::list(time_point now) {
  move_on(now);
  json list = json::array();
  for (const endpoint& it : endpoints_) {
    if (it.state != "spare") {
      json fields = it.fields;
      fields["state"] = it.state;
      list.push_back(std::move(fields));
    }
  }
  return {{"endpoints", std::move(list)}};
}

bool ordering_state::matches(const endpoint& it, std::string_view data_centre,
                             std::string_view pool, std::string_view tier) {
  return string_field(it.fields, "data_centre") == data_centre &&
         string_field(it.fields, "pool") == pool &&
         string_field(it.fields, "tier").value_or("standard") == tier;
}

void ordering_state::move_on(time_point now) {
  for (endpoint& it : endpoints_) {
    if (it.state == "starting" && it.since + start_time_ <= now) {
      it.state = "live";
    } else if (it.state == "draining" && it.since != time_point{} &&
               it.since + drain_time_ <= now) {
      // The endpoint can be ordered again.
      it.state = "spare";
    }
  }
}

} // namespace boragedoor::standin
