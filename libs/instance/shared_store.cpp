#include "instance/shared_store.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/overloaded.h"
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
/// The same for an instance that serves others. Its source answers whenever the store confirms the
/// copy there, and a source that does not must be noticed before the own copy counts as
/// unconfirmed.
constexpr duration upstream_watch_wait = milliseconds(1550);
constexpr duration upstream_timeout_slack = milliseconds(100);
static_assert(confirm_interval < upstream_watch_wait);
static_assert(upstream_watch_wait + upstream_timeout_slack < max_unconfirmed_time);
/// Time that a newly assigned source has to list the keys before the store is called instead, and
/// the delay between two calls until it has. At the start of a deployment it begins to list after
/// 0.6 s.
constexpr duration source_start_time = milliseconds(1400);
constexpr duration source_start_retry = milliseconds(100);
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

/// Query parameter of an instance that serves others.
constexpr std::string_view serves_parameter = "serves_others";
/// Header of an answer: how long ago the store confirmed the copy, in microseconds.
constexpr std::string_view age_header = "Boragedoor-Age";
/// Header of a refusal by an instance that is about to list the keys for others.
constexpr std::string_view listing_header = "Boragedoor-Listing";

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

duration pause_for(const watch_for_others& role, std::size_t /*instances*/) {
  return role.upstream ? min_watch_pause : shared_watch_pause;
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
  // The copy stays valid if only its source changes.
  const bool keeps_copy = serves_others() && std::holds_alternative<watch_for_others>(role);
  role_ = std::move(role);
  source_since_ = loop_.now();
  source_retry_at_ = {};
  for (auto& [name, it] : prefixes_) {
    it.source_retry_at = {};
  }
  if (keeps_copy) {
    return true;
  }
  ++role_generation_;
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

const net::address* shared_store::assigned_source() const {
  return std::visit(
      overloaded{[](const watch_directly&) -> const net::address* { return nullptr; },
                 [](const watch_for_others& it) { return it.upstream ? &*it.upstream : nullptr; },
                 [](const watch_through& it) { return &it.source; }},
      role_);
}

const net::address* shared_store::source(const shared_prefix& entry, time_point now) const {
  return now >= std::max(source_retry_at_, entry.source_retry_at) ? assigned_source() : nullptr;
}

void shared_store::call_source(shared_prefix& entry, std::string target, duration wait,
                               source_callback done) {
  http1::call_spec spec;
  spec.target = *source(entry, loop_.now());
  spec.message = {"GET", target, {{"Host", net::to_string(spec.target)}}, {}};
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = wait + (serves_others() ? upstream_timeout_slack : source_timeout_slack);
  spec.max_body_bytes = max_instance_answer_bytes;
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, alive = alive_, &entry, address = spec.target,
                      target = std::move(target), wait,
                      done = std::move(done)](http1::call_outcome outcome, http1::response it) {
    if (!*alive) {
      return;
    }
    const auto age = http1::integer_header(it.headers, age_header);
    const bool complete = outcome == http1::call_outcome::complete;
    // Instances of earlier versions state no age, which only those that serve others need.
    const bool has_age = age || !serves_others();
    if (complete && ((it.status == ok && has_age) || it.status == gone)) {
      done(source_answer{it.status == ok ? std::move(it.body) : std::string(),
                         duration(age.value_or(0))});
      return;
    }
    const bool is_listing = complete && it.status == service_unavailable &&
                            !net::find_header(it.headers, listing_header).empty();
    if (!is_listing || !retry_source(entry, address, target, wait, done)) {
      on_source_failure(entry, address, complete ? it.status : 0, done);
    }
  };
  client_.send(std::move(spec), std::move(callbacks));
}

bool shared_store::retry_source(shared_prefix& entry, const net::address& address,
                                const std::string& target, duration wait,
                                const source_callback& done) {
  const net::address* const assigned = assigned_source();
  if (assigned == nullptr || !(*assigned == address) ||
      loop_.now() >= source_since_ + source_start_time) {
    return false;
  }
  loop_.post_after(source_start_retry, [this, alive = alive_, &entry, target, wait, done] {
    if (!*alive) {
      return;
    }
    if (source(entry, loop_.now()) == nullptr) {
      done(std::nullopt);
    } else {
      call_source(entry, target, wait, done);
    }
  });
  return true;
}

void shared_store::on_source_failure(shared_prefix& entry, const net::address& address, int status,
                                     const source_callback& done) {
  const time_point now = loop_.now();
  if (status == service_unavailable) {
    // Its copies of other prefixes may be confirmed.
    entry.source_retry_at = now + source_retry_delay;
  } else {
    client_.drop_idle(address);
    if (const net::address* const assigned = assigned_source();
        assigned != nullptr && *assigned == address) {
      source_retry_at_ = now + source_retry_delay;
    }
  }
  done(std::nullopt);
}

void shared_store::list(const std::string& prefix, const std::string& after,
                        std::function<void(list_answer)> done) {
  shared_prefix* const entry = find(prefix);
  if (entry == nullptr || !after.empty() || source(*entry, loop_.now()) == nullptr) {
    list_store(prefix, after, std::move(done));
    return;
  }
  call_source(*entry,
              fmt::format("{}?prefix={}&{}={:d}", list_path, net::encode_component(prefix),
                          serves_parameter, serves_others()),
              duration::zero(),
              [this, entry, prefix, generation = role_generation_, sent_at = loop_.now(),
               done = std::move(done)](const std::optional<source_answer>& from) {
                auto answer = from ? list_answer_from_message(from->message)
                                   : result<list_answer>(error{error_code::unavailable,
                                                               "the instance did not respond"});
                // A list older than the last known revision would restore removed keys.
                if (!answer || answer.value().as_of < entry->last_revision) {
                  list_store(prefix, {}, done);
                  return;
                }
                if (generation == role_generation_ && serves_others()) {
                  entry->mirror.apply_page(
                      answer.value(), true,
                      {.sent_at = sent_at, .answered_at = loop_.now(), .age = from->age});
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
  store_.list(prefix, after,
              [this, alive = alive_, entry, generation = role_generation_, first = after.empty(),
               sent_at = loop_.now(), done = std::move(done)](list_answer it) {
                if (!*alive) {
                  return;
                }
                if (generation == role_generation_ && serves_others()) {
                  entry->mirror.apply_page(it, first,
                                           {.sent_at = sent_at, .answered_at = loop_.now()});
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
  if (source(*entry, loop_.now()) == nullptr) {
    watch_store(prefix, after, wait, std::move(done));
    return;
  }
  const bool serves = serves_others();
  if (serves && !entry->mirror.is_complete()) {
    request_list(std::move(done));
    return;
  }
  const duration limit = serves ? upstream_watch_wait : std::min(wait, source_watch_wait);
  call_source(
      *entry,
      fmt::format("{}?prefix={}&after={}&wait_ms={}&{}={:d}", watch_path,
                  net::encode_component(prefix), after, to_milliseconds(limit), serves_parameter,
                  serves),
      limit,
      [this, entry, prefix, after, wait, limit, serves, generation = role_generation_,
       sent_at = loop_.now(), done = std::move(done)](const std::optional<source_answer>& from) {
        result<watch_answer> answer =
            error{error_code::unavailable, "the instance did not respond"};
        if (from) {
          answer = from->message.empty()
                       ? result<watch_answer>(watch_answer{store_status::missing, {}, 0})
                       : watch_answer_from_message(from->message);
        }
        if (!answer) {
          // The store watch starts at the same revision, so it returns any change made in the
          // meantime at once.
          watch_store(prefix, after, wait, done);
          return;
        }
        entry->last_revision = std::max(entry->last_revision, answer.value().as_of);
        if (serves && generation == role_generation_) {
          apply_watch_answer(
              *entry, answer.value(),
              {.sent_at = sent_at, .wait = limit, .answered_at = loop_.now(), .age = from->age});
        }
        done(std::move(answer).value());
      });
}

void shared_store::request_list(std::function<void(watch_answer)> done) {
  // `missing` makes the caller list the prefix again, which fills the mirror.
  loop_.post([alive = alive_, done = std::move(done)] {
    if (*alive) {
      done({store_status::missing, {}, 0});
    }
  });
}

void shared_store::watch_store(const std::string& prefix, std::uint64_t after, duration wait,
                               std::function<void(watch_answer)> done) {
  shared_prefix& entry = prefixes_.find(prefix)->second;
  const bool serves = serves_others();
  if (serves && !entry.mirror.is_complete()) {
    request_list(std::move(done));
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
  // An instance with a source of its own does not serve those that serve others: two of them could
  // follow each other.
  const bool for_server = http1::number_parameter(target, serves_parameter) != 0;
  if (entry == nullptr || !serves_others() || (for_server && assigned_source() != nullptr)) {
    exchange->respond(not_watching_response());
  } else if (!is_fresh(*entry)) {
    http1::response out = not_watching_response();
    if (!entry->mirror.is_complete()) {
      out.headers.emplace_back(listing_header, "1");
    }
    exchange->respond(std::move(out));
  } else if (path == list_path) {
    exchange->respond(with_age(
        *entry, {ok, {{"Content-Type", "application/cbor"}}, to_message(entry->mirror.list())}));
  } else {
    const duration wait = milliseconds(http1::number_parameter(target, "wait_ms"));
    const duration limit = for_server ? upstream_watch_wait : source_watch_wait;
    answer_watch(*entry, {.after = http1::number_parameter(target, "after"),
                          .exchange = exchange,
                          .ends_at = loop_.now() + std::min(wait, limit),
                          .serves_others = for_server});
  }
  return true;
}

http1::response shared_store::with_age(const shared_prefix& entry, http1::response it) const {
  it.headers.emplace_back(age_header, std::to_string(entry.mirror.age(loop_.now()).count()));
  return it;
}

void shared_store::answer_watch(shared_prefix& entry, pending_watch call) {
  if (const auto changes = entry.mirror.changes(call.after)) {
    call.exchange->respond(with_age(entry, to_response(*changes)));
    return;
  }
  const std::uint64_t id = ++last_pending_id_;
  call.exchange->on_left([&entry, id] { entry.pending.erase(id); });
  entry.pending.emplace(id, std::move(call));
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
    if (!changes && it.second.serves_others) {
      changes = watch_answer{.status = store_status::ok,
                             .events = {},
                             .as_of = std::max(it.second.after, entry.mirror.as_of())};
    }
    if (changes) {
      due.emplace_back(it.second.exchange, std::move(*changes));
    }
    return changes.has_value();
  });
  for (const auto& [exchange, changes] : due) {
    exchange->respond(with_age(entry, to_response(changes)));
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
    ended.exchange->respond(with_age(
        entry, to_response({store_status::ok, {}, std::max(ended.after, entry.mirror.as_of())})));
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
