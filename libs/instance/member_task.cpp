#include "instance/member_task.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/overloaded.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view duties_key = "boragedoor/duties";

constexpr duration tick_interval = milliseconds(100);
/// Time in which the processes of a deployment that starts as a whole enter.
constexpr duration joint_start_time = milliseconds(600);
/// A member that started this much earlier did not start together with this process.
constexpr duration min_age_difference = seconds(2);
/// A member that is cut off from the endpoints for this long hands the duties over. Shorter cuts do
/// less harm than the time without a holder.
constexpr duration yield_delay = milliseconds(500);
constexpr duration watch_wait = seconds(10);
constexpr duration initial_watch_pause = milliseconds(200);

} // namespace

member_task::member_task(instance_context& context, std::string address, std::string relay,
                         duration lease_ttl)
    : context_(context), address_(std::move(address)), relay_(std::move(relay)),
      lease_({.ttl = lease_ttl}),
      claim_(context.identity.member_id(), context.loop.now(), {.lease_ttl = lease_ttl}),
      watch_(context.loop, context.store, std::string(member_prefix),
             {.wait = watch_wait, .pause = initial_watch_pause},
             {.on_put =
                  [this](const stored_item& it) {
                    auto decoded = duties::member_from_document(it.value);
                    if (!decoded) {
                      context_.record(events::event_number::store_document_damaged, {}, {},
                                      {{"key", it.key}, {"reason", decoded.error().message}});
                      return;
                    }
                    decoded.value().created = it.created;
                    decoded.value().revision = it.revision;
                    members_.put(it.key, decoded.value());
                  },
              .on_removed =
                  [this](const std::string& key) { members_.remove(key, context_.loop.now()); },
              .on_synced =
                  [this] {
                    watch_.set_pause(watch_pause());
                    changed.emit();
                  },
              .on_reachable = nullptr}),
      timer_(context.loop, [this] { tick(); }) {}

std::string member_task::key() const {
  // A restarted process has a new key, so its entry counts as newly created.
  return std::string(member_prefix) + context_.identity.member_id();
}

void member_task::start() {
  watching_since_ = context_.loop.now();
  started_ms_ = to_milliseconds(context_.stable_wall_now());
  watch_.start();
  timer_.start_periodic(tick_interval);
  tick();
}

void member_task::drain() {
  const time_point now = context_.loop.now();
  draining_ = true;
  claim_.release(now);
  lease_.write_entry_again(now);
  tick();
}

void member_task::leave() {
  claim_.release(context_.loop.now());
  if (const std::uint64_t lease = lease_.leave(); lease != 0) {
    // Ending the lease removes the entry at once. If the call fails, the lease expires by itself.
    context_.store.end_lease(lease);
  }
}

bool member_task::is_member(time_point now) const {
  return lease_.is_valid(now);
}

std::vector<dispatch::endpoint_relay> member_task::endpoint_relays() const {
  std::vector<dispatch::endpoint_relay> list;
  for (const duties::member& it : members_.all()) {
    const net::address address = net::parse_address(it.relay);
    if (address.port != 0 && !it.draining && it.instance != context_.identity.name) {
      list.push_back({address, it.data_centre == context_.identity.data_centre});
    }
  }
  return list;
}

std::vector<net::address> member_task::relays() const {
  std::vector<net::address> list;
  for (const duties::member& it : members_.all()) {
    const net::address relay_address = net::parse_address(it.relay);
    if (relay_address.port != 0 && it.instance != context_.identity.name) {
      list.push_back(relay_address);
    }
  }
  // Rotates the list by a hash of the name, so that instances start with different relays.
  if (!list.empty()) {
    std::rotate(list.begin(),
                list.begin() +
                    static_cast<std::ptrdiff_t>(hash64(context_.identity.name) % list.size()),
                list.end());
  }
  return list;
}

duration member_task::watch_pause() const {
  return watch_pause_for(role(), members_.all().size());
}

bool member_task::knows_role(time_point now) const {
  return now - watching_since_ >= joint_start_time ||
         (watch_.is_synced() && members_.has_older_member(started_ms_, min_age_difference));
}

watch_role member_task::role() const {
  const duties::member* watcher = members_.watcher_of(context_.identity.data_centre);
  if (watcher == nullptr) {
    return watch_directly{};
  }
  // The entry of a former process of this instance may still exist.
  const auto address_of = [this](const duties::member& it) -> std::optional<net::address> {
    const net::address address = net::parse_address(it.relay);
    return address.port == 0 || it.instance == context_.identity.name ? std::nullopt
                                                                      : std::optional(address);
  };
  if (watcher->id == context_.identity.member_id()) {
    const duties::member* first = members_.first_watcher();
    return watch_for_others{first == nullptr || first->id == watcher->id ? std::nullopt
                                                                         : address_of(*first)};
  }
  const auto source = address_of(*watcher);
  return source ? watch_role(watch_through{*source}) : watch_directly{};
}

std::optional<duty_holder> member_task::permit(time_point now) const {
  const auto token = claim_.token(now);
  if (!token || !is_member(now)) {
    return std::nullopt;
  }
  return duty_holder{.name = context_.identity.name,
                     .fencing_token = *token,
                     .is_current = [this, token, alive = alive_] {
                       const time_point sent_at = context_.loop.now();
                       return *alive && is_member(sent_at) && claim_.token(sent_at) == token;
                     }};
}

void member_task::reject_token(std::uint64_t token) {
  if (claim_.reject(token, context_.loop.now())) {
    context_.record(events::event_number::lease_lost, {}, {},
                    {{"fencing_token", token}, {"reason", "rejected"}});
  }
}

void member_task::release_duties(std::string_view reason) {
  if (claim_.release(context_.loop.now())) {
    context_.record(events::event_number::lease_lost, {}, {},
                    {{"duty", "all"}, {"reason", reason}});
  }
}

void member_task::set_cut_off(bool cut_off) {
  cut_off_since_ = cut_off ? std::optional(context_.loop.now()) : std::nullopt;
  has_yielded_ = false;
}

void member_task::yield_duties() {
  const time_point now = context_.loop.now();
  has_yielded_ = true;
  claim_.release(now);
  context_.record(events::event_number::lease_released, {}, {},
                  {{"duty", "all"}, {"reason", "cut_off"}});
  // The next member may claim the duties as soon as the entry is gone, as after a lost lease. A
  // flag in the entry would not do: a write of it that takes effect late could name a holder that
  // has claimed the duties again.
  if (const std::uint64_t lease = lease_.restart(now); lease != 0) {
    context_.store.end_lease(lease);
  }
}

void member_task::tick() {
  const time_point now = context_.loop.now();
  if (lease_.has_left()) {
    return;
  }
  if (cut_off_since_ && now - *cut_off_since_ >= yield_delay && !has_yielded_ && claim_.holds()) {
    yield_duties();
  }
  if (lease_.drop_expired(now)) {
    release_duties("expired");
  }
  switch (lease_.next_step(now)) {
  case duties::lease_step::none:
    break;
  case duties::lease_step::grant:
    request_lease();
    break;
  case duties::lease_step::enter:
    register_member();
    break;
  case duties::lease_step::renew:
    renew();
    break;
  }
  claim_duties();
}

void member_task::request_lease() {
  const time_point sent_at = context_.loop.now();
  context_.store.grant_lease(lease_.ttl(), [this, sent_at, alive = alive_](const lease_answer& it) {
    if (!*alive || lease_.has_left()) {
      return;
    }
    if (it.status != store_status::ok) {
      lease_.failed(context_.loop.now());
      return;
    }
    lease_.granted(it.lease, it.ttl, sent_at);
    tick();
  });
}

void member_task::register_member() {
  const duties::member self{.id = context_.identity.member_id(),
                            .instance = context_.identity.name,
                            .data_centre = context_.identity.data_centre,
                            .region = context_.identity.region,
                            .address = address_,
                            .relay = relay_,
                            .processor = context_.identity.processor,
                            .draining = draining_,
                            .started_ms = started_ms_};
  const std::uint64_t lease = lease_.lease();
  store_change change;
  change.puts.push_back({key(), duties::to_document(self), lease});
  context_.store.commit(change, [this, lease, alive = alive_](const commit_answer& it) {
    if (!*alive) {
      return;
    }
    const time_point now = context_.loop.now();
    if (it.status == store_status::missing) {
      lease_.lost(lease, now);
    } else if (it.status != store_status::ok) {
      lease_.failed(now);
    } else if (lease_.entered(lease, it.revision, now)) {
      context_.record(events::event_number::membership_changed, {}, {}, {{"entered", true}});
      changed.emit();
    }
  });
}

void member_task::renew() {
  const time_point sent_at = context_.loop.now();
  const std::uint64_t lease = lease_.lease();
  context_.store.keep_lease(lease, [this, lease, sent_at, alive = alive_](const lease_answer& it) {
    if (!*alive) {
      return;
    }
    if (it.status == store_status::ok) {
      lease_.renewed(lease, sent_at);
    } else if (it.status == store_status::missing) {
      lease_.lost(lease, context_.loop.now());
      release_duties("missing");
    } else {
      lease_.failed(context_.loop.now());
    }
  });
}

void member_task::claim_duties() {
  const time_point now = context_.loop.now();
  if (draining_ || !is_member(now)) {
    release_duties("no_member");
    return;
  }
  // The pages of a first list may lack older members.
  const duties::member* oldest = watch_.is_synced() ? members_.oldest() : nullptr;
  if (oldest == nullptr || oldest->id != context_.identity.member_id() || !claim_.try_start(now)) {
    return;
  }
  context_.store.read(std::string(duties_key), [this, alive = alive_](const read_answer& found) {
    if (*alive) {
      continue_claim(found);
    }
  });
}

void member_task::continue_claim(const read_answer& found) {
  const time_point now = context_.loop.now();
  if ((found.status != store_status::ok && found.status != store_status::missing) || draining_ ||
      !is_member(now)) {
    claim_.fail();
    return;
  }
  const duties::duty_record record{.holder = found.item.value, .revision = found.item.revision};
  duties::holder_entry entry;
  if (record.holder == context_.identity.member_id()) {
    entry = {lease_.entry_revision(), lease_.entry_revision(), false};
  } else if (const duties::member* holder = members_.find(record.holder)) {
    entry = {holder->revision, holder->created, holder->draining};
  }
  std::visit(overloaded{[](const duties::claim_postponed&) {},
                        [this](const duties::claim_adopted&) { record_claim(); },
                        [this](const duties::claim_write& it) { write_claim(it); }},
             claim_.decide(record, entry, now));
}

void member_task::write_claim(const duties::claim_write& claim) {
  store_change change;
  change.expected.push_back({std::string(duties_key), claim.record_revision});
  if (!claim.previous_holder.empty()) {
    change.expected.push_back(
        {std::string(member_prefix) + claim.previous_holder, claim.previous_entry_revision});
  }
  change.puts.push_back({std::string(duties_key), context_.identity.member_id(), 0});
  context_.store.commit(change, [this, alive = alive_](const commit_answer& it) {
    if (!*alive) {
      return;
    }
    const time_point now = context_.loop.now();
    if (it.status != store_status::ok || draining_ || lease_.has_left()) {
      // If the record names this process all the same, the next claim adopts it.
      claim_.fail();
      return;
    }
    claim_.written(it.revision, now);
    if (claim_.holds()) {
      record_claim();
    }
  });
}

void member_task::record_claim() {
  context_.record(events::event_number::lease_acquired, {}, {},
                  {{"duty", "all"}, {"fencing_token", claim_.held_token()}});
}

} // namespace boragedoor::instance
