#include "instance/crash_task.h"

#include <algorithm>
#include <iterator>
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
      retry_timer_(context.loop, [this] { store_records(); }) {}

void crash_task::check(const std::string& request, const std::string& fingerprint,
                       const routing::endpoint_process& process) {
  const dispatch::endpoint_entry* entry = context_.endpoints.find(process.endpoint);
  if (entry == nullptr || entry->process_start_ms != process.start_ms) {
    record_crash(request, fingerprint, process);
    return;
  }
  context_.outgoing.check(
      process.endpoint, entry->address,
      [this, alive = alive_, request, fingerprint, process](dispatch::connection_check state) {
        if (!*alive) {
          return;
        }
        context_.record(events::event_number::crash_checked, request, process.endpoint,
                        {{"fingerprint", fingerprint},
                         {"process", process.start_ms},
                         {"state", to_string(state)},
                         {"cut_off", context_.outgoing.is_cut_off()}});
        if (state == dispatch::connection_check::unconnected) {
          record_crash(request, fingerprint, process);
        }
      });
}

void crash_task::record_crash(const std::string& request, const std::string& fingerprint,
                              const routing::endpoint_process& process) {
  context_.record(events::event_number::endpoint_crashed, request, process.endpoint,
                  {{"fingerprint", fingerprint}, {"process", process.start_ms}});
  const std::vector<std::string> running = {fingerprint};
  auto records =
      suspects_.record_crash(context_.loop.now(), context_.stable_wall_now(), process.endpoint,
                             std::to_string(process.start_ms), running);
  std::erase_if(records, [](const auto& it) { return key_of(it).size() > max_key_size; });
  std::ranges::move(records, std::back_inserter(unstored_));
  while (unstored_.size() > max_unstored_records) {
    unstored_.pop_front();
  }
  store_records();
}

void crash_task::store_records() {
  if (storing_ || unstored_.empty()) {
    return;
  }
  storing_ = true;
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
  if (status == store_status::ok) {
    store_records();
    return;
  }
  // Those of requests that have completed meanwhile are not needed any more.
  std::ranges::copy_if(batch, std::front_inserter(unstored_),
                       [this](const auto& it) { return suspects_.is_suspect(it.fingerprint); });
  retry_timer_.start_once(retry_delay);
}

void crash_task::note_completed(const std::string& fingerprint) {
  if (!suspects_.is_suspect(fingerprint)) {
    return;
  }
  std::erase_if(unstored_, [&](const auto& it) { return it.fingerprint == fingerprint; });
  for (const requests::crash_record& it : suspects_.records()) {
    if (it.fingerprint == fingerprint) {
      suspects_.remove(it);
    }
  }
  store_change change;
  for (const auto& [key, record] : stored_) {
    if (record.fingerprint == fingerprint && change.removed.size() < max_records_at_once) {
      change.removed.push_back(key);
    }
  }
  if (!change.removed.empty()) {
    // If this fails, the records stay with the other instances until they expire.
    context_.store.commit(change, [](const commit_answer& /*it*/) {});
  }
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
}

} // namespace boragedoor::instance
