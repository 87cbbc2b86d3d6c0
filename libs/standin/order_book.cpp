#include "standin/order_book.h"

#include <algorithm>
#include <utility>

namespace boragedoor::standin {

std::string_view to_string(fencing mode) {
  return mode == fencing::checked ? "checked" : "ignored";
}

std::string_view to_string(order_book::verdict it) {
  switch (it) {
  case order_book::verdict::execute:
    return "execute";
  case order_book::verdict::in_progress:
    return "in_progress";
  case order_book::verdict::repeated:
    return "repeated";
  case order_book::verdict::stale:
    return "stale";
  }
  return "unknown";
}

order_book::verdict order_book::receive(const std::string& order_id, const std::string& scope,
                                        std::int64_t fencing_token, const json& body,
                                        wall_time now) {
  const verdict it = judge(order_id, scope, fencing_token);
  json record = body;
  record["received_ms"] = to_milliseconds(now);
  record["verdict"] = to_string(it);
  received_.push_back(std::move(record));
  if (it == verdict::execute) {
    states_[order_id] = false;
  }
  return it;
}

order_book::verdict order_book::judge(const std::string& order_id, const std::string& scope,
                                      std::int64_t token) {
  std::int64_t& greatest = greatest_[scope];
  if (mode_ == fencing::checked && token < greatest) {
    return verdict::stale;
  }
  greatest = std::max(greatest, token);
  const auto found = states_.find(order_id);
  if (found == states_.end()) {
    return verdict::execute;
  }
  return found->second ? verdict::repeated : verdict::in_progress;
}

void order_book::finish(const std::string& order_id, bool applied) {
  if (applied) {
    states_[order_id] = true;
  } else {
    states_.erase(order_id);
  }
}

void order_book::interrupt() {
  std::erase_if(states_, [](const auto& it) { return !it.second; });
}

std::int64_t order_book::greatest_token(std::string_view scope) const {
  const auto it = greatest_.find(scope);
  return it == greatest_.end() ? 0 : it->second;
}

json order_book::list() const {
  return {{"orders", received_}};
}

} // namespace boragedoor::standin
