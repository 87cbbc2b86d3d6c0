#include "instance/crash_task.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <span>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"

namespace boragedoor::instance {

namespace {

/// Endpoints that may crash under a request before it is held.
constexpr std::size_t crashes_to_hold = 3;
/// Time for which a record is kept, in memory and in the store.
constexpr duration retention = std::chrono::minutes(10);
/// The store takes keys of up to 200 bytes and changes of up to 32 keys.
constexpr std::size_t max_key_size = 200;
constexpr std::size_t max_records_at_once = 32;
constexpr std::size_t max_unstored_records = 1024;
/// Time after which records are stored again if the store did not take them.
constexpr duration retry_delay = milliseconds(250);
/// Wait of a watch call. Each instance counts the crashes that it sees at once, so the records of
/// the others may come later.
constexpr duration watch_wait = seconds(5);
/// How often open checks are compared with the registry.
constexpr duration check_interval = milliseconds(250);

/// What shows that a process ended.
constexpr std::string_view connection_evidence = "connection";
constexpr std::string_view registry_evidence = "registry";

std::string key_of(const requests::crash_record& it) {
  return fmt::format("{}{}/{}/{}", crash_prefix, it.fingerprint, net::encode_component(it.endpoint),
                     it.incarnation);
}

} // namespace

crash_task::crash_task(instance_context& context)
    : context_(context),
      suspects_(requests::crash_suspects::create({.crashes_to_hold = crashes_to_hold,
                                                  .count_shared_crashes = true,
                                                  .retention = retention})),
      watch_(context.loop, context.store, std::string(crash_prefix), {.wait = watch_wait},
             {.on_put = [this](const stored_item& it) { on_put(it); },
              .on_removed = [this](const std::string& key) { on_removed(key); },
              .on_synced = nullptr,
              .on_reachable = nullptr}),
      retry_timer_(context.loop, [this] { store_records(); }),
      check_timer_(context.loop, [this] { on_check_timer(); }) {}

void crash_task::check(dispatch::broken_attempt attempt) {
  const routing::endpoint_process& process = attempt.process;
  const dispatch::endpoint_entry* entry = context_.endpoints.find(process.endpoint);
  if (entry == nullptr || entry->process_start_ms != process.start_ms) {
    record_crashes({std::move(attempt)}, registry_evidence);
    return;
  }
  if (checks_.is_empty()) {
    check_timer_.start_periodic(check_interval);
  }
  checks_.add(std::move(attempt), entry->address, context_.loop.now());
  run_checks();
}

void crash_task::run_checks() {
  for (const auto& due : checks_.take_due(context_.loop.now())) {
    context_.outgoing.check(
        due.process.endpoint, due.address,
        [this, alive = alive_, process = due.process](dispatch::connection_check state) {
          if (*alive) {
            on_checked(process, state);
          }
        });
  }
}

void crash_task::on_checked(const routing::endpoint_process& process,
                            dispatch::connection_check state) {
  context_.record(events::event_number::crash_checked, {}, process.endpoint,
                  {{"process", process.start_ms},
                   {"state", to_string(state)},
                   {"cut_off", context_.outgoing.is_cut_off()}});
  record_crashes(
      checks_.note_checked(process, state, context_.loop.now(), context_.stable_wall_now()),
      connection_evidence);
}

void crash_task::on_check_timer() {
  std::vector<dispatch::registered_process> registered;
  context_.endpoints.for_each([&](const dispatch::endpoint_entry& it) {
    registered.push_back({{it.description.id, it.process_start_ms}, it.address});
  });
  record_crashes(checks_.note_registry(registered), registry_evidence);
  for (const dispatch::broken_attempt& it : checks_.expire(context_.loop.now())) {
    context_.record(
        events::event_number::crash_checked, it.request, it.process.endpoint,
        {{"process", it.process.start_ms}, {"fingerprint", it.fingerprint}, {"state", "given_up"}});
  }
  if (checks_.is_empty()) {
    check_timer_.cancel();
    return;
  }
  run_checks();
}

void crash_task::record_crashes(const std::vector<dispatch::broken_attempt>& attempts,
                                std::string_view evidence) {
  for (const dispatch::broken_attempt& it : attempts) {
    context_.record(events::event_number::endpoint_crashed, it.request, it.process.endpoint,
                    {{"fingerprint", it.fingerprint},
                     {"process", it.process.start_ms},
                     {"evidence", evidence}});
    const std::vector<std::string> running = {it.fingerprint};
    auto records =
        suspects_.record_crash(context_.loop.now(), context_.stable_wall_now(), it.process.endpoint,
                               std::to_string(it.process.start_ms), running);
    for (requests::crash_record& one : records) {
      if (key_of(one).size() > max_key_size) {
        note_not_stored(one, "the key is too long");
      } else {
        unstored_.push_back(std::move(one));
      }
    }
  }
  while (unstored_.size() > max_unstored_records) {
    note_not_stored(unstored_.front(), "too many records wait");
    unstored_.pop_front();
  }
  store_records();
}

void crash_task::note_not_stored(const requests::crash_record& record, std::string_view reason) {
  context_.record(
      events::event_number::crash_not_recorded, {}, record.endpoint,
      {{"fingerprint", record.fingerprint}, {"process", record.incarnation}, {"reason", reason}});
}

bool crash_task::is_held(const std::string& fingerprint) const {
  std::set<requests::crash_suspects::crash_id> unconfirmed;
  for (const routing::endpoint_process& it : checks_.unconfirmed(fingerprint)) {
    unconfirmed.emplace(it.endpoint, std::to_string(it.start_ms));
  }
  return suspects_.is_held(fingerprint, std::move(unconfirmed));
}

void crash_task::store_records() {
  if (storing_ || (unstored_.empty() && obsolete_.empty())) {
    return;
  }
  storing_ = true;
  if (!obsolete_.empty()) {
    remove_obsolete();
    return;
  }
  // Crashes are rare, so each change has a lease of its own, with which its records vanish.
  context_.store.grant_lease(retention, [this, alive = alive_](const lease_answer& granted) {
    if (!*alive) {
      return;
    }
    if (granted.status == store_status::ok) {
      commit_records(granted.lease);
    } else {
      on_stored({}, granted.status);
    }
  });
}

void crash_task::remove_obsolete() {
  store_change change;
  std::copy_n(obsolete_.begin(), std::min(max_records_at_once, obsolete_.size()),
              std::back_inserter(change.removed));
  context_.store.commit(
      change, [this, alive = alive_, keys = change.removed](const commit_answer& it) {
        if (!*alive) {
          return;
        }
        if (it.status == store_status::ok) {
          std::ranges::for_each(keys, [this](const std::string& key) { obsolete_.erase(key); });
        }
        on_stored({}, it.status);
      });
}

void crash_task::commit_records(std::uint64_t lease) {
  const auto end = unstored_.begin() +
                   static_cast<std::ptrdiff_t>(std::min(unstored_.size(), max_records_at_once));
  record_list batch(unstored_.begin(), end);
  unstored_.erase(unstored_.begin(), end);
  store_change change;
  for (const requests::crash_record& it : batch) {
    change.puts.push_back({key_of(it), to_cbor(requests::to_json(std::span(&it, 1))), lease});
  }
  context_.store.commit(change,
                        [this, alive = alive_, batch = std::move(batch)](const commit_answer& it) {
                          if (*alive) {
                            on_stored(batch, it.status);
                          }
                        });
}

void crash_task::on_stored(const record_list& batch, store_status status) {
  storing_ = false;
  for (const requests::crash_record& it : batch) {
    if (!suspects_.is_suspect(it.fingerprint)) {
      // The request has completed meanwhile. A change without an answer may take effect later.
      obsolete_.insert(key_of(it));
    } else if (status != store_status::ok) {
      unstored_.push_front(it);
    }
  }
  if (status == store_status::ok) {
    store_records();
  } else {
    retry_timer_.start_once(retry_delay);
  }
}

void crash_task::note_completed(const std::string& fingerprint) {
  checks_.forget(fingerprint);
  if (!suspects_.is_suspect(fingerprint)) {
    return;
  }
  std::erase_if(unstored_, [&](const auto& it) { return it.fingerprint == fingerprint; });
  for (const requests::crash_record& it : suspects_.records()) {
    if (it.fingerprint == fingerprint) {
      suspects_.remove(it);
    }
  }
  for (const auto& [key, record] : stored_) {
    if (record.fingerprint == fingerprint) {
      obsolete_.insert(key);
    }
  }
  store_records();
}

void crash_task::on_put(const stored_item& it) {
  const auto parsed = parse_cbor(it.value);
  const auto records = parsed ? requests::crash_records_from_json(parsed.value())
                              : result<std::vector<requests::crash_record>>(parsed.error());
  if (!records || records.value().size() != 1 || key_of(records.value().front()) != it.key) {
    context_.record(events::event_number::store_document_damaged, {}, {}, {{"key", it.key}});
    return;
  }
  stored_[it.key] = records.value().front();
  suspects_.merge(context_.loop.now(), context_.stable_wall_now(), records.value());
}

void crash_task::on_removed(const std::string& key) {
  const auto found = stored_.find(key);
  if (found != stored_.end()) {
    suspects_.remove(found->second);
    stored_.erase(found);
  }
  obsolete_.erase(key);
}

} // namespace boragedoor::instance
