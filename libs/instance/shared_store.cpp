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

/// Wait of a watch that serves several instances. With the time-out behind it, it is over sooner
/// than a change must be in force, also where a link swallowed it.
constexpr duration serving_wait = milliseconds(1500);
/// Wait of a watch at another instance. It is short because a frozen instance is noticed by its
/// end.
constexpr duration following_wait = seconds(1);
constexpr duration following_slack = milliseconds(400);
/// An instance that did not answer is asked again after this time. Its entry as a member ends after
/// three seconds.
constexpr duration set_aside_time = seconds(1);
/// A copy that the store has not confirmed for longer is not shown to others: one wait, the
/// time-out of the call and the pause between two calls.
constexpr duration longest_unconfirmed = milliseconds(2600);
static_assert(longest_unconfirmed <= longest_lost_watch);

/// Pauses between two watches. The longest keeps the news that an endpoint drains within half of
/// the two seconds after which it must get no more requests, and the sum of a watching instance's
/// pause and a follower's is below it.
constexpr duration pause_per_instance = milliseconds(30);
constexpr duration least_pause = milliseconds(100);
constexpr duration longest_pause = seconds(1);
constexpr duration serving_pause = milliseconds(400);

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int not_serving = 503;

http1::response refusal() {
  return error_response(not_serving, "no_watch", "this instance does not watch for others now",
                        executed::no);
}

http1::response to_response(const watch_answer& it) {
  if (it.status == store_status::missing) {
    return error_response(gone, "history_gone", "the changes are no longer known", executed::no);
  }
  return {ok, {{"Content-Type", "application/cbor"}}, to_message(it)};
}

duration pause_of(const watch_directly& /*role*/, std::size_t instances) {
  return std::clamp(pause_per_instance * static_cast<duration::rep>(instances), least_pause,
                    longest_pause);
}

duration pause_of(const watch_for_others& /*role*/, std::size_t /*instances*/) {
  return serving_pause;
}

duration pause_of(const watch_through& /*role*/, std::size_t /*instances*/) {
  // These calls go to another instance and cost the store nothing.
  return least_pause;
}

} // namespace

duration watch_pause_for(const watch_role& role, std::size_t instances) {
  return std::visit([instances](const auto& it) { return pause_of(it, instances); }, role);
}

shared_store::shared_store(net::event_loop& loop, durable_store& store,
                           std::vector<std::string> prefixes)
    : loop_(loop), store_(store), calls_(loop) {
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
  ++role_number_;
  source_set_aside_until_ = {};
  for (auto& [name, it] : prefixes_) {
    it.mirror.clear();
    while (!it.waiting.empty()) {
      end_waiting(it, it.waiting.begin()->first);
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
  return through != nullptr && now >= source_set_aside_until_ ? &through->source : nullptr;
}

void shared_store::ask(std::string target, duration wait,
                       std::function<void(std::optional<std::string>)> done) {
  http1::call_spec spec;
  spec.target = *source(loop_.now());
  spec.message = {"GET", std::move(target), {{"Host", net::to_string(spec.target)}}, {}};
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = wait + following_slack;
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, alive = alive_, number = role_number_, from = spec.target,
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
    calls_.drop_idle(from);
    if (number == role_number_) {
      source_set_aside_until_ = loop_.now() + set_aside_time;
    }
    done(std::nullopt);
  };
  calls_.send(std::move(spec), std::move(callbacks));
}

void shared_store::list(const std::string& prefix, const std::string& after,
                        std::function<void(list_answer)> done) {
  shared_prefix* const of = find(prefix);
  if (of == nullptr || !after.empty() || source(loop_.now()) == nullptr) {
    list_directly(prefix, after, std::move(done));
    return;
  }
  ask(fmt::format("{}?prefix={}", list_path, net::encode_component(prefix)), duration::zero(),
      [this, of, prefix, done = std::move(done)](const std::optional<std::string>& message) {
        auto answer = message ? list_answer_from_message(*message)
                              : result<list_answer>(error{error_code::unavailable, "no answer"});
        // A list that is older than what is known already would bring removed keys back.
        if (!answer || answer.value().as_of < of->seen) {
          list_directly(prefix, {}, done);
          return;
        }
        of->seen = answer.value().as_of;
        done(std::move(answer).value());
      });
}

void shared_store::list_directly(const std::string& prefix, const std::string& after,
                                 std::function<void(list_answer)> done) {
  shared_prefix* const of = find(prefix);
  if (of == nullptr) {
    store_.list(prefix, after, std::move(done));
    return;
  }
  store_.list(prefix, after,
              [this, alive = alive_, of, number = role_number_, first = after.empty(),
               done = std::move(done)](list_answer it) {
                if (!*alive) {
                  return;
                }
                if (number == role_number_ && std::holds_alternative<watch_for_others>(role_)) {
                  of->mirror.take_page(it, first, loop_.now());
                }
                of->seen = std::max(of->seen, it.as_of);
                done(std::move(it));
              });
}

void shared_store::watch(const std::string& prefix, std::uint64_t after, duration wait,
                         std::function<void(watch_answer)> done) {
  shared_prefix* const of = find(prefix);
  if (of == nullptr) {
    store_.watch(prefix, after, wait, std::move(done));
    return;
  }
  if (source(loop_.now()) == nullptr) {
    watch_store(prefix, after, wait, std::move(done));
    return;
  }
  const duration limit = std::min(wait, following_wait);
  ask(fmt::format("{}?prefix={}&after={}&wait_ms={}", watch_path, net::encode_component(prefix),
                  after, std::chrono::duration_cast<milliseconds>(limit).count()),
      limit,
      [this, of, prefix, after, wait,
       done = std::move(done)](const std::optional<std::string>& message) {
        result<watch_answer> answer = error{error_code::unavailable, "no answer"};
        if (message) {
          answer = message->empty()
                       ? result<watch_answer>(watch_answer{store_status::missing, {}, 0})
                       : watch_answer_from_message(*message);
        }
        if (!answer) {
          // What came meanwhile is told at once, because the store is asked from where the other
          // instance stood.
          watch_store(prefix, after, wait, done);
          return;
        }
        of->seen = std::max(of->seen, answer.value().as_of);
        done(std::move(answer).value());
      });
}

void shared_store::watch_store(const std::string& prefix, std::uint64_t after, duration wait,
                               std::function<void(watch_answer)> done) {
  shared_prefix& of = prefixes_.find(prefix)->second;
  const bool serves = std::holds_alternative<watch_for_others>(role_);
  if (serves && !of.mirror.is_complete()) {
    // The prefix is listed again, which makes the copy.
    loop_.post([alive = alive_, done = std::move(done)] {
      if (*alive) {
        done({store_status::missing, {}, 0});
      }
    });
    return;
  }
  store_.watch(prefix, after, serves ? std::min(wait, serving_wait) : wait,
               [this, alive = alive_, &of, number = role_number_, serves,
                done = std::move(done)](watch_answer it) {
                 if (!*alive) {
                   return;
                 }
                 of.seen = std::max(of.seen, it.as_of);
                 if (serves && number == role_number_) {
                   take_watch_answer(of, it);
                 }
                 done(std::move(it));
               });
}

void shared_store::take_watch_answer(shared_prefix& of, const watch_answer& it) {
  of.mirror.take_events(it, loop_.now());
  if (it.status == store_status::ok) {
    answer_waiting(of);
    return;
  }
  // The others ask the store themselves until it answers here again.
  of.mirror.lose_contact();
  while (!of.waiting.empty()) {
    end_waiting(of, of.waiting.begin()->first);
  }
}

bool shared_store::answer(const std::shared_ptr<http1::exchange>& from) {
  const std::string& target = from->received().target;
  const std::string_view path = http1::path_of(target);
  if (path != list_path && path != watch_path) {
    return false;
  }
  shared_prefix* const of = find(http1::query_parameter(target, "prefix").value_or(std::string()));
  if (of == nullptr || !std::holds_alternative<watch_for_others>(role_) ||
      !of->mirror.is_fresh(loop_.now(), longest_unconfirmed)) {
    from->respond(refusal());
  } else if (path == list_path) {
    from->respond({ok, {{"Content-Type", "application/cbor"}}, to_message(of->mirror.list())});
  } else {
    answer_watch(*of, http1::number_parameter(target, "after"),
                 milliseconds(http1::number_parameter(target, "wait_ms")), from);
  }
  return true;
}

void shared_store::answer_watch(shared_prefix& of, std::uint64_t after, duration wait,
                                const std::shared_ptr<http1::exchange>& from) {
  if (const auto changes = of.mirror.changes(after)) {
    from->respond(to_response(*changes));
    return;
  }
  const std::uint64_t id = ++last_waiting_;
  of.waiting.emplace(id, waiting_watch{after, from});
  from->on_left([&of, id] { of.waiting.erase(id); });
  loop_.post_after(std::min(wait, following_wait), [this, alive = alive_, &of, id] {
    if (*alive) {
      end_waiting(of, id);
    }
  });
}

void shared_store::answer_waiting(shared_prefix& of) {
  std::vector<std::pair<std::shared_ptr<http1::exchange>, watch_answer>> due;
  std::erase_if(of.waiting, [&](const auto& it) {
    auto changes = of.mirror.changes(it.second.after);
    if (changes) {
      due.emplace_back(it.second.from, std::move(*changes));
    }
    return changes.has_value();
  });
  for (const auto& [from, changes] : due) {
    from->respond(to_response(changes));
  }
}

void shared_store::end_waiting(shared_prefix& of, std::uint64_t id) {
  const auto it = of.waiting.find(id);
  if (it == of.waiting.end()) {
    return;
  }
  const waiting_watch ended = std::move(it->second);
  of.waiting.erase(it);
  if (of.mirror.is_fresh(loop_.now(), longest_unconfirmed)) {
    ended.from->respond(
        to_response({store_status::ok, {}, std::max(ended.after, of.mirror.as_of())}));
  } else {
    ended.from->respond(refusal());
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
