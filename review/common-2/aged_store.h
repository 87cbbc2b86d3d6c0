// The platform's metadata store with many keys. Unlike the project's stand-in it keeps its history for
// `retention` only and finds the changes after a revision without reading all of it.
#pragma once

#include <algorithm>
#include <charconv>
#include <deque>
#include <list>

#include "deployment.h"

namespace review {

class aged_store {
public:
  explicit aged_store(net::event_loop& loop) : loop_(loop), timer_(loop, [this] { tick(); }) {
    server_ = http1::server::listen(
                  loop, {"127.0.0.1", 0}, [this](const auto& it) { on_call(it); },
                  &boragedoor::instance::listener_refusal)
                  .value();
    server_->set_limits({.body_bytes = 4UL * 1024 * 1024});
    timer_.start_periodic(milliseconds(10));
  }

  [[nodiscard]] const net::address& address() const { return server_->local_address(); }

  /// Writes a value, as if long ago.
  void put_old(const std::string& key, std::string value) {
    ++revision_;
    items_[key] = {std::move(value), revision_, revision_, 0};
    forgotten_ = revision_;
  }
  void put(const std::string& key, std::string value) {
    ++revision_;
    write(key, std::move(value), 0);
    notify();
  }
  [[nodiscard]] std::size_t size() const { return items_.size(); }
  [[nodiscard]] std::size_t listed() const { return listed_; }

private:
  static constexpr duration retention = seconds(20);
  static constexpr std::size_t page_items = 500;
  static constexpr std::size_t page_bytes = 1024UL * 1024;

  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::string key;
    bool removed = false;
    item it;
    time_point at{};
  };
  struct lease {
    duration ttl{};
    time_point ends{};
  };
  struct watcher {
    std::shared_ptr<http1::exchange> exchange;
    std::string prefix;
    std::uint64_t after = 0;
    time_point until{};
  };

  static http1::response answer(int status, const json& body = json::object()) {
    return {status, {{"Content-Type", "application/json"}}, to_text(body)};
  }
  static json to_json(const std::string& key, const item& it) {
    return {{"key", key},
            {"value", base64(it.value)},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
  }
  static std::string parameter(const std::string& target, std::string_view name) {
    return http1::query_parameter(target, name).value_or("");
  }

  void on_call(const std::shared_ptr<http1::exchange>& it) {
    const std::string& target = it->received().target;
    const std::string_view path = http1::path_of(target);
    if (path == "/kv-watch") {
      const auto after = http1::number_parameter(target, "after");
      if (after < forgotten_) {
        it->respond(answer(410));
        return;
      }
      watchers_.push_back({it, parameter(target, "prefix"), after,
                           loop_.now() + milliseconds(http1::number_parameter(target, "wait_ms"))});
      notify();
      return;
    }
    it->respond(answer_to(it->received(), path));
    notify();
  }

  http1::response answer_to(const http1::request& from, std::string_view path) {
    const json body = from.body.empty() ? json::object() : parse_json(from.body).value();
    if (path == "/kv-key") {
      const std::string key = parameter(from.target, "key");
      const auto found = items_.find(key);
      if (found == items_.end()) {
        return answer(404);
      }
      json out = to_json(key, found->second);
      out["as_of"] = revision_;
      return answer(200, out);
    }
    if (path == "/kv-range") {
      return list(parameter(from.target, "prefix"), parameter(from.target, "after"));
    }
    if (path == "/kv-txn") {
      return commit(body);
    }
    if (path == "/kv-lease") {
      const duration ttl = milliseconds(integer_field(body, "ttl_ms").value_or(1000));
      leases_[++last_lease_] = {ttl, loop_.now() + ttl};
      return answer(200, {{"lease", last_lease_},
                          {"ttl_ms", std::chrono::duration_cast<milliseconds>(ttl).count()}});
    }
    const std::string_view digits = path.substr(path.rfind('/') + 1);
    std::uint64_t id = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), id);
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      return answer(404);
    }
    found->second.ends = loop_.now() + (path.starts_with("/kv-keep/") ? found->second.ttl : duration::zero());
    return answer(200);
  }

  http1::response list(const std::string& prefix, const std::string& after) {
    json list = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
         it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (list.size() == page_items || bytes >= page_bytes) {
        more = true;
        break;
      }
      list.push_back(to_json(it->first, it->second));
      bytes += it->second.value.size();
    }
    listed_ += list.size();
    return answer(200, {{"items", std::move(list)}, {"has_more", more}, {"as_of", revision_}});
  }

  http1::response commit(const json& from) {
    json present = json::array();
    bool matches = true;
    for (const json& it : from["expected"]) {
      const std::string key = it["key"];
      const auto found = items_.find(key);
      matches = matches && (found == items_.end() ? 0 : found->second.revision) == it["revision"];
      if (found != items_.end()) {
        present.push_back(to_json(key, found->second));
      }
    }
    if (!matches) {
      return answer(412, {{"items", present}});
    }
    for (const json& it : from["puts"]) {
      if (it.contains("lease") && !leases_.contains(it["lease"].get<std::uint64_t>())) {
        return answer(404);
      }
    }
    ++revision_;
    for (const json& it : from["puts"]) {
      write(it["key"], platform::decode_base64(it["value"].get<std::string>()).value(),
            it.value("lease", std::uint64_t{0}));
    }
    for (const json& key : from["remove"]) {
      remove(key);
    }
    return answer(200, {{"revision", revision_}});
  }

  void write(const std::string& key, std::string value, std::uint64_t lease_id) {
    item& it = items_[key];
    it = {std::move(value), revision_, it.created == 0 ? revision_ : it.created, lease_id};
    history_.push_back({key, false, it, loop_.now()});
  }
  void remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      history_.push_back({key, true, {{}, revision_, 0, 0}, loop_.now()});
    }
  }

  void notify() {
    const time_point now = loop_.now();
    for (auto it = watchers_.begin(); it != watchers_.end();) {
      json events = json::array();
      const auto first =
          std::partition_point(history_.begin(), history_.end(), [&](const change& one) {
            return one.it.revision <= it->after;
          });
      for (auto at = first; at != history_.end(); ++at) {
        if (at->key.starts_with(it->prefix)) {
          events.push_back(at->removed ? json{{"key", at->key},
                                              {"revision", at->it.revision},
                                              {"tombstone", true}}
                                       : to_json(at->key, at->it));
        }
      }
      if (events.empty() && now < it->until && it->exchange->is_open()) {
        ++it;
        continue;
      }
      it->exchange->respond(answer(200, {{"events", events}, {"as_of", revision_}}));
      it = watchers_.erase(it);
    }
  }

  void tick() {
    const time_point now = loop_.now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now < it->second.ends) {
        ++it;
        continue;
      }
      ++revision_;
      std::vector<std::string> ended;
      for (const auto& [key, one] : leased()) {
        if (one == it->first) {
          ended.push_back(key);
        }
      }
      for (const std::string& key : ended) {
        remove(key);
      }
      it = leases_.erase(it);
    }
    while (!history_.empty() && now - history_.front().at > retention) {
      forgotten_ = std::max(forgotten_, history_.front().it.revision);
      history_.pop_front();
    }
    notify();
  }

  /// Keys that are bound to a lease; only members and records of crashes are.
  std::vector<std::pair<std::string, std::uint64_t>> leased() const {
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (const std::string prefix : {"boragedoor/members/", "boragedoor/crashes/"}) {
      for (auto it = items_.lower_bound(prefix);
           it != items_.end() && it->first.starts_with(prefix); ++it) {
        found.emplace_back(it->first, it->second.lease);
      }
    }
    return found;
  }

  net::event_loop& loop_;
  std::unique_ptr<http1::server> server_;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::map<std::uint64_t, lease> leases_;
  std::list<watcher> watchers_;
  std::uint64_t revision_ = 10;
  std::uint64_t forgotten_ = 0;
  std::uint64_t last_lease_ = 100;
  std::size_t listed_ = 0;
  net::timer timer_;
};

} // namespace review
