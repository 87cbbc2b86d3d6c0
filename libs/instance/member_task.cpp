#include "instance/member_task.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view duties_key = "boragedoor/duties";

/// Renewals per lease TTL: two may be lost before the lease expires.
constexpr int renewals_per_lease = 3;
/// This process treats its lease as expired this much early, because clocks run at different rates.
constexpr duration lease_safety_margin = milliseconds(200);
constexpr duration tick_interval = milliseconds(100);
constexpr duration claim_retry = milliseconds(300);
constexpr duration watch_wait = seconds(10);
constexpr duration initial_watch_pause = milliseconds(200);

} // namespace

member_task::member_task(instance_context& context, std::string address, std::string relay,
                         duration lease_ttl)
    : context_(context), address_(std::move(address)), relay_(std::move(relay)),
      lease_ttl_(lease_ttl),
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
  watch_.start();
  timer_.start_periodic(tick_interval);
  tick();
}

void member_task::drain() {
  draining_ = true;
  fencing_token_ = 0;
  // Makes `tick` write the entry again, with the draining state.
  registered_ = false;
  next_renewal_ = context_.loop.now();
  tick();
}

void member_task::leave() {
  leaving_ = true;
  fencing_token_ = 0;
  registered_ = false;
  if (lease_ != 0) {
    // Ending the lease removes the entry at once. If the call fails, the lease expires by itself.
    context_.store.end_lease(std::exchange(lease_, 0));
  }
}

bool member_task::is_member(time_point now) const {
  return registered_ && now < valid_until_;
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

watch_role member_task::role() const {
  const duties::member* watcher = members_.watcher_of(context_.identity.data_centre);
  if (watcher == nullptr) {
    return watch_directly{};
  }
  if (watcher->id == context_.identity.member_id()) {
    return watch_for_others{};
  }
  const net::address relay_address = net::parse_address(watcher->relay);
  if (relay_address.port == 0 || watcher->instance == context_.identity.name) {
    return watch_directly{};
  }
  return watch_through{relay_address};
}

std::optional<duty_permit> member_task::permit(time_point now) const {
  if (fencing_token_ == 0 || !is_member(now)) {
    return std::nullopt;
  }
  return duty_permit{fencing_token_, valid_until_};
}

void member_task::reject_token(std::uint64_t token) {
  if (token != 0 && token == fencing_token_) {
    rejected_token_ = token;
    fencing_token_ = 0;
    next_claim_ = context_.loop.now() + lease_ttl_;
    context_.record(events::event_number::lease_lost, {}, {}, {{"fencing_token", token}});
  }
}

void member_task::tick() {
  const time_point now = context_.loop.now();
  if (leaving_) {
    return;
  }
  if (lease_ != 0 && now >= valid_until_ + lease_safety_margin) {
    // The entry may have been removed. A new lease creates a new entry, younger than the others.
    lease_ = 0;
    registered_ = false;
    if (std::exchange(fencing_token_, 0) != 0) {
      context_.record(events::event_number::lease_lost, {}, {}, {{"duty", "all"}});
    }
  }
  if (!call_pending_ && now >= next_renewal_) {
    if (lease_ == 0) {
      request_lease();
    } else if (!registered_) {
      register_member();
    } else {
      renew();
    }
  }
  claim_duties();
}

void member_task::request_lease() {
  const time_point sent_at = context_.loop.now();
  call_pending_ = true;
  context_.store.grant_lease(lease_ttl_, [this, sent_at, alive = alive_](const lease_answer& it) {
    if (!*alive) {
      return;
    }
    call_pending_ = false;
    next_renewal_ = context_.loop.now() + tick_interval;
    if (it.status != store_status::ok || leaving_) {
      return;
    }
    lease_ = it.lease;
    valid_until_ = sent_at + it.ttl - lease_safety_margin;
    register_member();
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
                            .draining = draining_};
  call_pending_ = true;
  const std::uint64_t lease = lease_;
  store_change change;
  change.puts.push_back({key(), duties::to_document(self), lease});
  context_.store.commit(change, [this, lease, alive = alive_](const commit_answer& it) {
    if (!*alive) {
      return;
    }
    call_pending_ = false;
    const time_point now = context_.loop.now();
    next_renewal_ = now + tick_interval;
    if (leaving_ || lease != lease_) {
      return;
    }
    if (it.status == store_status::missing) {
      lease_ = 0;
      return;
    }
    if (it.status == store_status::ok) {
      registered_ = true;
      next_renewal_ = now + lease_ttl_ / renewals_per_lease;
      context_.record(events::event_number::membership_changed, {}, {}, {{"entered", true}});
      changed.emit();
    }
  });
}

void member_task::renew() {
  const time_point sent_at = context_.loop.now();
  call_pending_ = true;
  context_.store.keep_lease(lease_, [this, sent_at, alive = alive_](const lease_answer& it) {
    if (!*alive) {
      return;
    }
    call_pending_ = false;
    if (it.status == store_status::ok) {
      valid_until_ = sent_at + lease_ttl_ - lease_safety_margin;
      next_renewal_ = sent_at + lease_ttl_ / renewals_per_lease;
      return;
    }
    next_renewal_ = context_.loop.now() + tick_interval;
    if (it.status == store_status::missing && !leaving_) {
      lease_ = 0;
      registered_ = false;
      fencing_token_ = 0;
      context_.record(events::event_number::lease_lost, {}, {}, {{"duty", "all"}});
    }
  });
}

void member_task::claim_duties() {
  const time_point now = context_.loop.now();
  const duties::member* oldest = members_.oldest();
  if (draining_ || !is_member(now) || oldest == nullptr ||
      oldest->id != context_.identity.member_id()) {
    fencing_token_ = 0;
    return;
  }
  if (fencing_token_ != 0 || claim_pending_ || now < next_claim_) {
    return;
  }
  claim_pending_ = true;
  next_claim_ = now + claim_retry;
  context_.store.read(std::string(duties_key), [this, alive = alive_](const read_answer& found) {
    if (*alive) {
      continue_claim(found);
    }
  });
}

void member_task::continue_claim(const read_answer& found) {
  const std::string self = context_.identity.member_id();
  if (found.status != store_status::ok && found.status != store_status::missing) {
    claim_pending_ = false;
    return;
  }
  if (found.status == store_status::ok && found.item.value == self &&
      found.item.revision != rejected_token_) {
    // An earlier claim took effect although its response was lost.
    claim_pending_ = false;
    fencing_token_ = found.item.revision;
  } else {
    store_change change;
    change.expected.push_back({std::string(duties_key), found.item.revision});
    change.puts.push_back({std::string(duties_key), self, 0});
    context_.store.commit(change, [this, alive = alive_](const commit_answer& it) {
      if (!*alive) {
        return;
      }
      claim_pending_ = false;
      if (it.status == store_status::ok) {
        fencing_token_ = it.revision;
        context_.record(events::event_number::lease_acquired, {}, {},
                        {{"duty", "all"}, {"fencing_token", fencing_token_}});
      }
    });
  }
}

} // namespace boragedoor::instance
