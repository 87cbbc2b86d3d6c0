#include "replication/freshness_evidence.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace boragedoor::replication {

namespace {

constexpr duration age_unit = milliseconds(100);

std::uint8_t to_carried(std::optional<time_point> at, time_point now) {
  if (!at) {
    return carried_ages::unknown;
  }
  const auto units = (now - *at + age_unit - duration(1)) / age_unit;
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, carried_ages::unknown));
}

} // namespace

void freshness_evidence::on_list(std::span<const member> members) {
  std::set<std::string_view> names;
  std::set<std::string_view> with_others;
  for (const member& it : members) {
    names.insert(it.data_centre);
    if (it.id != options_.self && it.state != member_state::leaving) {
      with_others.insert(it.data_centre);
    }
  }
  std::vector<data_centre_state> next;
  std::string joined;
  for (const std::string_view name : names) {
    const auto known = std::ranges::find(data_centres_, name, &data_centre_state::name);
    const auto heard = known == data_centres_.end() ? std::nullopt : known->heard;
    next.push_back({std::string(name), heard, with_others.contains(name)});
    joined.append(name).push_back('\n');
  }
  data_centres_ = std::move(next);
  names_hash_ = static_cast<std::uint32_t>(hash64(joined));
  has_list_ = true;
}

void freshness_evidence::on_store_read(time_point sent) {
  store_read_ = std::max(store_read_.value_or(sent), sent);
}

void freshness_evidence::on_heartbeat_sent(std::uint64_t sequence, time_point now) {
  sent_.emplace_back(sequence, now);
  while (now - sent_.front().second > options_.echo_limit) {
    sent_.pop_front();
  }
}

bool freshness_evidence::on_heartbeat(std::string_view peer_data_centre, std::uint64_t echo,
                                      const carried_ages& ages, time_point now) {
  const auto sent = std::ranges::find(sent_, echo, &std::pair<std::uint64_t, time_point>::first);
  if (sent == sent_.end() || now - sent->second > options_.echo_limit) {
    return false;
  }
  advance(store_read_, ages.store, now);
  for (data_centre_state& it : data_centres_) {
    if (it.name == peer_data_centre) {
      advance(it.heard, 0, now);
    }
  }
  // Lists that differ would assign ages to the wrong data centres.
  if (ages.names_hash == names_hash_ && ages.data_centres.size() == data_centres_.size()) {
    for (std::size_t n = 0; n < data_centres_.size(); ++n) {
      advance(data_centres_[n].heard, ages.data_centres[n], now);
    }
  }
  return true;
}

void freshness_evidence::advance(std::optional<time_point>& at, std::uint8_t age,
                                 time_point now) const {
  if (age == carried_ages::unknown) {
    return;
  }
  const time_point candidate = now - age_unit * age - options_.transit_allowance;
  at = std::max(at.value_or(candidate), candidate);
}

carried_ages freshness_evidence::ages(time_point now) const {
  carried_ages out;
  out.store = to_carried(store_read_, now);
  out.names_hash = names_hash_;
  for (const data_centre_state& it : data_centres_) {
    out.data_centres.push_back(to_carried(it.heard, now));
  }
  return out;
}

bool freshness_evidence::is_recent(std::optional<time_point> at, time_point now) const {
  return at && now - *at < options_.limit;
}

bool freshness_evidence::is_fresh(time_point now) const {
  if (is_recent(store_read_, now)) {
    return true;
  }
  return has_list_ && std::ranges::all_of(data_centres_, [&](const data_centre_state& it) {
           return !it.has_others || is_recent(it.heard, now);
         });
}

std::optional<duration> freshness_evidence::store_age(time_point now) const {
  return store_read_ ? std::optional<duration>(now - *store_read_) : std::nullopt;
}

} // namespace boragedoor::replication
