#include "store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/json_fields.h"
#include "instance/error_response.h"
#include "platform/base64.h"

namespace boragedoor::platform {

namespace {

constexpr duration tick_interval = milliseconds(10);
/// Small, so that listings in tests take several pages.
constexpr std::size_t page_size = 3;

std::string encode(std::string_view data) {
  std::string text;
  append_base64(text, data);
  return text;
}

std::uint64_t integer_parameter(std::string_view target, std::string_view name) {
  const std::string text = http1::query_parameter(target, name).value_or("0");
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::uint64_t lease_id_of(std::string_view path) {
  const std::string_view digits = path.substr(path.rfind('/') + 1);
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

http1::response respond(int status, const json& body = json::object()) {
  return {status, {{"Content-Type", "application/json"}}, to_text(body)};
}

} // namespace

store_stand_in::store_stand_in(net::event_loop& loop)
    : loop_(loop), timer_(loop, [this] { tick(); }) {
  for (std::size_t n = 0; n < 2; ++n) {
    listeners_[n].server =
        http1::server::listen(
            loop, {"127.0.0.1", 0}, [this, n](const auto& exchange) { on_call(n, exchange); },
            &instance::listener_refusal)
            .value();
    listeners_[n].server->set_limits({.body_bytes = 4UL * 1024 * 1024});
  }
  timer_.start_periodic(tick_interval);
}

store_stand_in::~store_stand_in() = default;

void store_stand_in::set_fault(store_fault fault, std::size_t n) {
  listeners_[n].fault = fault;
  if (fault == store_fault::none) {
    listeners_[n].silent.clear();
  }
}

void store_stand_in::set_body_limit(std::size_t bytes) {
  for (listener& it : listeners_) {
    it.server->set_limits({.body_bytes = bytes});
  }
}

int store_stand_in::calls(const std::string& name) const {
  const auto it = calls_.find(name);
  return it == calls_.end() ? 0 : it->second;
}

std::vector<std::string> store_stand_in::keys(std::string_view prefix) const {
  std::vector<std::string> list;
  for (const auto& [key, it] : items_) {
    if (key.starts_with(prefix)) {
      list.push_back(key);
    }
  }
  return list;
}

void store_stand_in::put(const std::string& key, const json& value) {
  put_bytes(key, to_text(value));
}

void store_stand_in::put_bytes(const std::string& key, std::string value) {
  ++revision_;
  write(key, std::move(value), 0);
  notify_watchers();
}

void store_stand_in::erase(const std::string& key) {
  ++revision_;
  remove(key);
  notify_watchers();
}

void store_stand_in::write(const std::string& key, std::string value, std::uint64_t lease_id) {
  item& it = items_[key];
  it.created = it.created == 0 ? revision_ : it.created;
  it.value = std::move(value);
  it.revision = revision_;
  it.lease = lease_id;
  history_.push_back({key, false, it});
}

void store_stand_in::remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, true, {.value = {}, .revision = revision_}});
  }
}

json store_stand_in::to_json(const std::string& key, const item& it) {
  return {{"key", key},
          {"value", encode(it.value)},
          {"revision", it.revision},
          {"created", it.created},
          {"lease", it.lease}};
}

void store_stand_in::on_call(std::size_t n, const std::shared_ptr<http1::exchange>& exchange) {
  const std::string name(http1::path_of(exchange->received().target));
  ++calls_[name];
  listener& at = listeners_[n];
  if (at.fault == store_fault::refuse) {
    exchange->respond(respond(503));
    return;
  }
  if (at.fault == store_fault::silent) {
    at.silent.push_back(exchange);
    return;
  }
  if (name == "/kv-watch" && watch(exchange)) {
    return;
  }
  const http1::response out = handle_request(exchange->received());
  if (at.fault == store_fault::lose_answers && name == "/kv-txn") {
    at.silent.push_back(exchange);
  } else {
    exchange->respond(out);
  }
  notify_watchers();
}

http1::response store_stand_in::handle_request(const http1::request& request) {
  const std::string_view path = http1::path_of(request.target);
  const auto body = request.body.empty() ? result<json>(json::object()) : parse_json(request.body);
  if (path == "/kv-key") {
    const std::string key = http1::query_parameter(request.target, "key").value_or("");
    const auto it = items_.find(key);
    if (it == items_.end()) {
      return respond(404);
    }
    json out = to_json(key, it->second);
    out["as_of"] = revision_;
    return respond(200, out);
  }
  if (path == "/kv-range") {
    return list(request.target);
  }
  if (path == "/kv-watch") {
    return respond(410);
  }
  if (path == "/kv-txn") {
    return commit(body.value());
  }
  if (path == "/kv-lease") {
    const duration ttl = milliseconds(integer_field(body.value(), "ttl_ms").value_or(1000));
    leases_[++last_lease_] = {ttl, loop_.now() + ttl};
    return respond(200, {{"lease", last_lease_},
                         {"ttl_ms", std::chrono::duration_cast<milliseconds>(ttl).count()}});
  }
  const auto found = leases_.find(lease_id_of(path));
  if (found == leases_.end()) {
    return respond(404);
  }
  if (path.starts_with("/kv-keep/")) {
    found->second.expires_at = loop_.now() + found->second.ttl;
  } else {
    found->second.expires_at = loop_.now();
    tick();
  }
  return respond(200);
}

http1::response store_stand_in::commit(const json& change) {
  json present = json::array();
  bool matches = true;
  for (const json& it : *array_field(change, "expected")) {
    const std::string key = it["key"];
    const auto found = items_.find(key);
    const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    matches = matches && revision == it["revision"].get<std::uint64_t>();
    if (found != items_.end()) {
      present.push_back(to_json(key, found->second));
    }
  }
  if (!matches) {
    return respond(412, {{"items", present}});
  }
  for (const json& it : *array_field(change, "puts")) {
    if (it.contains("lease") && !leases_.contains(it["lease"].get<std::uint64_t>())) {
      return respond(404);
    }
  }
  ++revision_;
  for (const json& it : *array_field(change, "puts")) {
    write(it["key"], decode_base64(it["value"].get<std::string>()).value(),
          it.value("lease", std::uint64_t{0}));
  }
  for (const json& key : *array_field(change, "remove")) {
    remove(key);
  }
  return respond(200, {{"revision", revision_}});
}

http1::response store_stand_in::list(std::string_view target) {
  const std::string prefix = http1::query_parameter(target, "prefix").value_or("");
  const std::string after = http1::query_parameter(target, "after").value_or("");
  json items = json::array();
  bool more = false;
  for (auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
       it != items_.end(); ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    if (items.size() == page_size) {
      more = true;
      break;
    }
    items.push_back(to_json(it->first, it->second));
  }
  return respond(200, {{"items", items}, {"has_more", more}, {"as_of", revision_}});
}

json store_stand_in::events_since(std::string_view prefix, std::uint64_t after) const {
  json events = json::array();
  for (const event& it : history_) {
    if (it.it.revision <= after || !it.key.starts_with(prefix)) {
      continue;
    }
    events.push_back(it.removed
                         ? json{{"key", it.key}, {"revision", it.it.revision}, {"tombstone", true}}
                         : to_json(it.key, it.it));
  }
  return events;
}

bool store_stand_in::watch(const std::shared_ptr<http1::exchange>& exchange) {
  const std::string& target = exchange->received().target;
  watcher it{exchange, http1::query_parameter(target, "prefix").value_or(""),
             integer_parameter(target, "after"),
             loop_.now() + milliseconds(integer_parameter(target, "wait_ms"))};
  if (it.after < compacted_revision_) {
    return false;
  }
  watchers_.push_back(std::move(it));
  notify_watchers();
  return true;
}

void store_stand_in::notify_watchers() {
  const time_point now = loop_.now();
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    const json events = events_since(it->prefix, it->after);
    if (events.empty() && now < it->deadline && it->exchange->is_open()) {
      ++it;
      continue;
    }
    it->exchange->respond(respond(200, {{"events", events}, {"as_of", revision_}}));
    it = watchers_.erase(it);
  }
}

void store_stand_in::tick() {
  const time_point now = loop_.now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    ++revision_;
    std::vector<std::string> expired_keys;
    for (const auto& [key, one] : items_) {
      if (one.lease == it->first) {
        expired_keys.push_back(key);
      }
    }
    for (const std::string& key : expired_keys) {
      remove(key);
    }
    it = leases_.erase(it);
  }
  notify_watchers();
}

} // namespace boragedoor::platform
