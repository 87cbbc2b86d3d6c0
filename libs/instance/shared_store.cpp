#include "instance/shared_store.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "instance/call_limits.h"
#include "instance/error_response.h"
#include "instance/prefix_watch.h"
#include "instance/watch_messages.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view list_path = "/shared/list";
constexpr std::string_view watch_path = "/shared/watch";

/// Time in which a confirmed change must take effect at all instances.
constexpr duration change_deadline = seconds(2);
/// Interval at which the store confirms a copy that is served to other instances.
constexpr duration confirm_interval = milliseconds(1500);
/// Shortest wait of a watch call that confirms such a copy.
constexpr duration min_shared_wait = milliseconds(100);
/// A copy that the store has not confirmed within this time is not served to other instances: the
/// way to the store may be lost, which shows only when the call times out. It covers a confirmation
/// that is late.
constexpr duration max_unconfirmed_time = milliseconds(1750);
/// Time in which an instance whose source serves no copy gets the changes from the store.
constexpr duration store_fallback_time = milliseconds(250);
static_assert(confirm_interval < max_unconfirmed_time);
static_assert(max_unconfirmed_time + store_fallback_time <= change_deadline);

/// Wait of a watch sent to another instance. Short, because an unresponsive instance is only
/// detected when the watch times out.
constexpr duration source_watch_wait = seconds(1);
constexpr duration source_timeout_slack = milliseconds(400);
/// Delay before an unresponsive source is called again. Its member entry expires after three
/// seconds.
constexpr duration source_retry_delay = seconds(1);
/// Pauses between two watch calls. A draining endpoint must receive no more requests after two
/// seconds; the maximum pause uses half of that. The pause of an instance that watches for others
/// plus the pause of an instance that follows it stays below the maximum.
constexpr duration pause_per_instance = milliseconds(30);
constexpr duration min_watch_pause = milliseconds(100);
constexpr duration max_watch_pause = seconds(1);
constexpr duration shared_watch_pause = milliseconds(400);

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int service_unavailable = 503;

http1::response not_watching_response() {
  return error_response(service_unavailable, "no_watch",
                        "this instance does not currently watch the store for other instances",
                        executed::no);
}

http1::response to_response(const watch_answer& it) {
  if (it.status == store_status::missing) {
    return error_response(gone, "history_gone",
                          "the changes after this revision are no longer available", executed::no);
  }
  return {ok, {{"Content-Type", "application/cbor"}}, to_message(it)};
}

duration pause_for(const watch_directly& /*role*/, std::size_t instances) {
  return std::clamp(pause_per_instance * static_cast<duration::rep>(instances), min_watch_pause,
                    max_watch_pause);
}

duration pause_for(const watch_for_others& /*role*/, std::size_t /*instances*/) {
  return shared_watch_pause;
}

duration pause_for(const watch_through& /*role*/, std::size_t /*instances*/) {
  // These calls go to another instance and put no load on the store.
  return min_watch_pause;
}

} // namespace

duration watch_pause_for(const watch_role& role, std::size_t instances) {
  return std::visit([instances](const auto& it) { return pause_for(it, instances); }, role);
}

shared_store::shared_store(net::event_loop& loop, durable_store& store,
                           std::vector<std::string> prefixes,
                           std::shared_ptr<http1::byte_budget> budget)
    : loop_(loop), store_(store), client_(loop, std::move(budget)) {
  for (std::string& it : prefixes) {
    prefixes_.try_emplace(std::move(it));
  }
}

shared_store::~shared_store() {
  *alive_ = false;
}

bool shared_store::set_role(watch_role role) {
  if (role == role_) {
    return false;
  }
  role_ = std::move(role);
  ++role_generation_;
  source_retry_at_ = {};
  for (auto& [name, it] : prefixes_) {
    it.mirror.clear();
    while (!it.pending.empty()) {
      end_pending(it, it.pending.begin()->first);
    }
  }
  return true;
}

shared_store::shared_prefix* shared_store::find(std::string_view prefix) {
  const auto it = prefixes_.find(prefix);
  return it == prefixes_.end() ? nullptr : &it->second;
}

const net::address* shared_store::source(time_point now) const {
  const auto* through = std::get_if<watch_through>(&role_);
  return through != nullptr && now >= source_retry_at_ ? &through->source : nullptr;
}

void shared_store::call_source(std::string target, duration wait,
                               std::function<void(std::optional<std::string>)> done) {
  http1::call_spec spec;
  spec.target = *source(loop_.now());
  spec.message = {"GET", std::move(target), {{"Host", net::to_string(spec.target)}}, {}};
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = wait + source_timeout_slack;
  spec.max_body_bytes = max_instance_answer_bytes;
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, alive = alive_, generation = role_generation_, address = spec.target,
                      done = std::move(done)](http1::call_outcome outcome, http1::response it) {
    if (!*alive) {
      return;
    }
    const bool answered =
        outcome == http1::call_outcome::complete && (it.status == ok || it.status == gone);
    if (answered) {
      done(it.status == ok ? std::optional(std::move(it.body)) : std::string());
      return;
    }
    client_.drop_idle(address);
    if (generation == role_generation_) {
      source_retry_at_ = loop_.now() + source_retry_delay;
    }
    done(std::nullopt);
  };
  client_.send(std::move(spec), std::move(callbacks));
}

void shared_store::list(const std::string& prefix, const std::string& after,
                        std::function<void(list_answer)> done) {
  shared_prefix* const entry = find(prefix);
  if (entry == nullptr || !after.empty() || source(loop_.now()) == nullptr) {
    list_store(prefix, after, std::move(done));
    return;
  }
  call_source(
      fmt::format("{}?prefix={}", list_path, net::encode_component(prefix)), duration::zero(),
      [this, entry, prefix, done = std::move(done)](const std::optional<std::string>& message) {
        auto answer = message ? list_answer_from_message(*message)
                              : result<list_answer>(
                                    error{error_code::unavailable, "the instance did not respond"});
        // A list older than the last known revision would restore removed keys.
        if (!answer || answer.value().as_of < entry->last_revision) {
          list_store(prefix, {}, done);
          return;
        }
        entry->last_revision = answer.value().as_of;
        done(std::move(answer).value());
      });
}

void shared_store::list_store(const std::string& prefix, const std::string& after,
                              std::function<void(list_answer)> done) {
  shared_prefix* const entry = find(prefix);
  if (entry == nullptr) {
    store_.list(prefix, after, std::move(done));
    return;
  }
  store_.list(
      prefix, after,
      [this, alive = alive_, entry, generation = role_generation_, first = after.empty(),
       sent_at = loop_.now(), done = std::move(done)](list_answer it) {
        if (!*alive) {
          return;
        }
        if (generation == role_generation_ && std::holds_alternative<watch_for_others>(role_)) {
          entry->mirror.apply_page(it, first, {.sent_at = sent_at, .answered_at = loop_.now()});
        }
        entry->last_revision = std::max(entry->last_revision, it.as_of);
        done(std::move(it));
      });
}

void shared_store::watch(const std::string& prefix, std::uint64_t after, duration wait,
                         std::function<void(watch_answer)> done) {
  shared_prefix* const entry = find(prefix);
  if (entry == nullptr) {
    store_.watch(prefix, after, wait, std::move(done));
    return;
  }
  if (source(loop_.now()) == nullptr) {
    watch_store(prefix, after, wait, std::move(done));
    return;
  }
  const duration limit = std::min(wait, source_watch_wait);
  call_source(fmt::format("{}?prefix={}&after={}&wait_ms={}", watch_path,
                          net::encode_component(prefix), after, to_milliseconds(limit)),
              limit,
              [this, entry, prefix, after, wait,
               done = std::move(done)](const std::optional<std::string>& message) {
                result<watch_answer> answer =
                    error{error_code::unavailable, "the instance did not respond"};
                if (message) {
                  answer = message->empty()
                               ? result<watch_answer>(watch_answer{store_status::missing, {}, 0})
                               : watch_answer_from_message(*message);
                }
                if (!answer) {
                  // The store watch starts at the same revision, so it returns any change made in
                  // the meantime at once.
                  watch_store(prefix, after, wait, done);
                  return;
                }
                entry->last_revision = std::max(entry->last_revision, answer.value().as_of);
                done(std::move(answer).value());
              });
}

void shared_store::watch_store(const std::string& prefix, std::uint64_t after, duration wait,
                               std::function<void(watch_answer)> done) {
  shared_prefix& entry = prefixes_.find(prefix)->second;
  const bool serves = std::holds_alternative<watch_for_others>(role_);
  if (serves && !entry.mirror.is_complete()) {
    // `missing` makes the caller list the prefix again, which fills the mirror.
    loop_.post([alive = alive_, done = std::move(done)] {
      if (*alive) {
        done({store_status::missing, {}, 0});
      }
    });
    return;
  }
  const time_point now = loop_.now();
  if (serves) {
    wait = std::min(wait, entry.mirror.next_wait(now, confirm_interval, min_shared_wait));
  }
  store_.watch(prefix, after, wait,
               [this, alive = alive_, &entry, generation = role_generation_, serves, wait,
                sent_at = now, done = std::move(done)](watch_answer it) {
                 if (!*alive) {
                   return;
                 }
                 entry.last_revision = std::max(entry.last_revision, it.as_of);
                 if (serves && generation == role_generation_) {
                   apply_watch_answer(
                       entry, it, {.sent_at = sent_at, .wait = wait, .answered_at = loop_.now()});
                 }
                 done(std::move(it));
               });
}

void shared_store::apply_watch_answer(shared_prefix& entry, const watch_answer& it,
                                      const call_times& times) {
  entry.mirror.apply_events(it, times);
  if (it.status == store_status::ok) {
    answer_pending(entry);
    return;
  }
  // Other instances call the store directly until it responds to this instance again.
  entry.mirror.mark_unconfirmed();
  while (!entry.pending.empty()) {
    end_pending(entry, entry.pending.begin()->first);
  }
}

bool shared_store::is_fresh(const shared_prefix& entry) const {
  return entry.mirror.is_fresh(loop_.now(), max_unconfirmed_time);
}

bool shared_store::answer(const std::shared_ptr<http1::exchange>& exchange) {
  const std::string& target = exchange->received().target;
  const std::string_view path = http1::path_of(target);
  if (path != list_path && path != watch_path) {
    return false;
  }
  shared_prefix* const entry =
      find(http1::query_parameter(target, "prefix").value_or(std::string()));
  if (entry == nullptr || !std::holds_alternative<watch_for_others>(role_) || !is_fresh(*entry)) {
    exchange->respond(not_watching_response());
  } else if (path == list_path) {
    exchange->respond(
        {ok, {{"Content-Type", "application/cbor"}}, to_message(entry->mirror.list())});
  } else {
    answer_watch(*entry, http1::number_parameter(target, "after"),
                 milliseconds(http1::number_parameter(target, "wait_ms")), exchange);
  }
  return true;
}

void shared_store::answer_watch(shared_prefix& entry, std::uint64_t after, duration wait,
                                const std::shared_ptr<http1::exchange>& exchange) {
  if (const auto changes = entry.mirror.changes(after)) {
    exchange->respond(to_response(*changes));
    return;
  }
  const std::uint64_t id = ++last_pending_id_;
  entry.pending.emplace(
      id, pending_watch{after, exchange, loop_.now() + std::min(wait, source_watch_wait)});
  exchange->on_left([&entry, id] { entry.pending.erase(id); });
  schedule_end(entry, id);
}

void shared_store::schedule_end(shared_prefix& entry, std::uint64_t id) {
  const auto it = entry.pending.find(id);
  if (it == entry.pending.end()) {
    return;
  }
  // Once the copy is not fresh any more, the other instance has to call the store.
  const time_point now = loop_.now();
  const duration left =
      std::min(it->second.ends_at - now, entry.mirror.fresh_for(now, max_unconfirmed_time));
  if (left <= duration::zero()) {
    end_pending(entry, id);
    return;
  }
  loop_.post_after(left, [this, alive = alive_, &entry, id] {
    if (*alive) {
      schedule_end(entry, id);
    }
  });
}

void shared_store::answer_pending(shared_prefix& entry) {
  std::vector<std::pair<std::shared_ptr<http1::exchange>, watch_answer>> due;
  std::erase_if(entry.pending, [&](const auto& it) {
    auto changes = entry.mirror.changes(it.second.after);
    if (changes) {
      due.emplace_back(it.second.exchange, std::move(*changes));
    }
    return changes.has_value();
  });
  for (const auto& [exchange, changes] : due) {
    exchange->respond(to_response(changes));
  }
}

void shared_store::end_pending(shared_prefix& entry, std::uint64_t id) {
  const auto it = entry.pending.find(id);
  if (it == entry.pending.end()) {
    return;
  }
  const pending_watch ended = std::move(it->second);
  entry.pending.erase(it);
  if (is_fresh(entry)) {
    ended.exchange->respond(
        to_response({store_status::ok, {}, std::max(ended.after, entry.mirror.as_of())}));
  } else {
    ended.exchange->respond(not_watching_response());
  }
}

void shared_store::read(const std::string& key, std::function<void(read_answer)> done) {
  store_.read(key, std::move(done));
}

void shared_store::commit(const store_change& change, std::function<void(commit_answer)> done) {
  store_.commit(change, std::move(done));
}

void shared_store::grant_lease(duration ttl, std::function<void(lease_answer)> done) {
  store_.grant_lease(ttl, std::move(done));
}

void shared_store::keep_lease(std::uint64_t lease, std::function<void(lease_answer)> done) {
  store_.keep_lease(lease, std::move(done));
}

void shared_store::end_lease(std::uint64_t lease) {
  store_.end_lease(lease);
}

} // namespace boragedoor::instance
