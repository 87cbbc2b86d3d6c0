#include "instance/stream_origin_task.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "net/http_types.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view key_prefix = "boragedoor/streams/";
/// The store takes keys of up to 200 bytes and changes of up to 32 keys. Each record may need one
/// more for the entry of its endpoint.
constexpr std::size_t max_key_size = 200;
constexpr std::size_t max_records_at_once = 16;
/// Time in which records are collected for one call.
constexpr duration store_interval = milliseconds(100);
/// Interval at which old records are forgotten while no new ones come.
constexpr duration expiry_interval = seconds(5);
/// Lifetime of a lease, and how long new records use it. A record stays for at least the
/// difference, which is longer than callers wait.
constexpr duration lease_ttl = seconds(90);
constexpr duration lease_use = seconds(30);

std::string key_of(std::string_view attempt) {
  return fmt::format("{}{}", key_prefix, net::encode_component(std::string(attempt)));
}

} // namespace

stream_origin_task::stream_origin_task(instance_context& context, const endpoint_verifier& verifier)
    : context_(context), verifier_(verifier), timer_(context.loop, [this] { tick(); }) {}

void stream_origin_task::record(const std::string& attempt, const expected_process& from) {
  if (key_of(attempt).size() > max_key_size) {
    context_.record(events::event_number::stream_not_recorded, attempt, {},
                    {{"reason", "the id is too long"}});
    return;
  }
  const dispatch::endpoint_entry* entry = context_.endpoints.find(from.process.endpoint);
  if (entry == nullptr || entry->process_start_ms != from.process.start_ms) {
    drop(attempt, from.process, "the endpoint was replaced");
    return;
  }
  const bool idle = origins_.unstored(1).empty();
  if (!origins_.add({.attempt = attempt,
                     .software = from.software,
                     .process = from.process,
                     .key = entry->key,
                     .revision = entry->revision},
                    context_.loop.now())) {
    context_.record(events::event_number::stream_not_recorded, attempt, {},
                    {{"reason", "too many records wait for the store"}});
  }
  if (idle) {
    timer_.start_once(store_interval);
  }
}

void stream_origin_task::find(const std::string& attempt,
                              std::function<void(const origin_answer&)> done) {
  if (auto software = origins_.find(attempt)) {
    done(known_origin{*std::move(software)});
    return;
  }
  const std::string key = key_of(attempt);
  if (attempt.empty() || key.size() > max_key_size) {
    done(unknown_origin{});
    return;
  }
  context_.store.read(key, [done = std::move(done)](const read_answer& it) {
    switch (it.status) {
    case store_status::ok:
      done(known_origin{it.item.value});
      return;
    case store_status::missing:
      done(unknown_origin{});
      return;
    case store_status::conflict:
    case store_status::refused:
    case store_status::unknown:
      done(unread_origin{});
      return;
    }
  });
}

void stream_origin_task::tick() {
  const time_point now = context_.loop.now();
  origins_.expire(now);
  if (!storing_ && !origins_.unstored(1).empty()) {
    if (lease_ == 0 || now - lease_since_ >= lease_use) {
      request_lease(now);
    } else {
      store_records(now);
    }
  }
  if (!origins_.unstored(1).empty()) {
    timer_.start_once(store_interval);
  } else if (origins_.size() > 0) {
    timer_.start_once(expiry_interval);
  }
}

void stream_origin_task::request_lease(time_point now) {
  storing_ = true;
  context_.store.grant_lease(lease_ttl, [this, now, alive = alive_](const lease_answer& it) {
    if (!*alive) {
      return;
    }
    storing_ = false;
    if (it.status == store_status::ok) {
      lease_ = it.lease;
      lease_since_ = now;
      store_records(context_.loop.now());
    }
  });
}

void stream_origin_task::store_records(time_point now) {
  auto records = origins_.unstored(max_records_at_once);
  if (records.empty() || now - lease_since_ >= lease_use) {
    return;
  }
  store_change change;
  for (const dispatch::stream_origin& it : records) {
    const bool listed = std::any_of(change.expected.begin(), change.expected.end(),
                                    [&](const expectation& other) { return other.key == it.key; });
    if (!listed) {
      change.expected.push_back({it.key, it.revision});
    }
    change.puts.push_back({key_of(it.attempt), it.software, lease_});
  }
  storing_ = true;
  context_.store.commit(
      change, [this, records = std::move(records), alive = alive_](const commit_answer& it) {
        if (*alive) {
          on_stored(records, it);
        }
      });
}

void stream_origin_task::on_stored(const std::vector<dispatch::stream_origin>& records,
                                   const commit_answer& answer) {
  storing_ = false;
  switch (answer.status) {
  case store_status::ok:
    origins_.mark_stored(records);
    store_records(context_.loop.now());
    return;
  case store_status::missing:
    // The lease has ended.
    lease_ = 0;
    return;
  case store_status::conflict:
    check_changed(records, answer.found);
    return;
  case store_status::refused:
  case store_status::unknown:
    return;
  }
}

void stream_origin_task::check_changed(const std::vector<dispatch::stream_origin>& records,
                                       const std::vector<stored_item>& found) {
  for (const dispatch::stream_origin& record : records) {
    const auto entry = std::find_if(found.begin(), found.end(), [&](const stored_item& it) {
      return it.key == record.key && it.revision != 0;
    });
    if (entry == found.end()) {
      drop(record.attempt, record.process, "the endpoint's entry is gone");
    } else if (verifier_.compare(*entry, {record.process, record.software}) !=
               process_verdict::confirmed) {
      drop(record.attempt, record.process, "the endpoint was replaced");
    } else {
      origins_.set_revision(record.attempt, entry->revision);
    }
  }
}

void stream_origin_task::drop(const std::string& attempt, const routing::endpoint_process& process,
                              std::string_view reason) {
  origins_.drop(attempt);
  context_.record(events::event_number::stream_not_recorded, attempt, process.endpoint,
                  {{"reason", reason}, {"process", process.start_ms}});
}

} // namespace boragedoor::instance
