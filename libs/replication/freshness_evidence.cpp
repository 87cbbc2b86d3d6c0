#include "replication/freshness_evidence.h"

#include <algorithm>
#include <set>

#include "base/hash.h"

namespace boragedoor::replication {

namespace {

constexpr duration age_unit = milliseconds(100);

std::uint8_t encode_age(std::optional<time_point> at, time_point now) {
  if (!at) {
    return evidence_ages::unknown;
  }
  const auto units = (now - *at + age_unit - duration(1)) / age_unit;
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, evidence_ages::unknown));
}

} // namespace

void freshness_evidence::on_instance_list(std::span<const member> members) {
  std::set<std::string_view> names;
  std::set<std::string_view> with_others;
  for (const member& it : members) {
    names.insert(it.data_centre);
    if (it.id != options_.self && it.state != member_state::leaving) {
      with_others.insert(it.data_centre);
    }
  }
  std::vector<data_centre_state> next;
  std::string joined_names;
  for (const std::string_view name : names) {
    const auto known = std::ranges::find(data_centres_, name, &data_centre_state::name);
    const auto last_heard = known == data_centres_.end() ? std::nullopt : known->last_heard;
    next.push_back({std::string(name), last_heard, with_others.contains(name)});
    joined_names.append(name).push_back('\n');
  }
  data_centres_ = std::move(next);
  names_hash_ = static_cast<std::uint32_t>(hash64(joined_names));
  has_list_ = true;
}

void freshness_evidence::on_store_read(time_point sent) {
  last_store_read_ = std::max(last_store_read_.value_or(sent), sent);
}

void freshness_evidence::on_heartbeat_sent(std::uint64_t sequence, time_point now) {
  sent_heartbeats_.emplace_back(sequence, now);
  while (now - sent_heartbeats_.front().second > options_.max_echo_age) {
    sent_heartbeats_.pop_front();
  }
}

bool freshness_evidence::on_heartbeat(std::string_view peer_data_centre, std::uint64_t echo,
                                      const evidence_ages& ages, time_point now) {
  const auto sent =
      std::ranges::find(sent_heartbeats_, echo, &std::pair<std::uint64_t, time_point>::first);
  if (sent == sent_heartbeats_.end() || now - sent->second > options_.max_echo_age) {
    return false;
  }
  update_time(last_store_read_, ages.store, now);
  for (data_centre_state& it : data_centres_) {
    if (it.name == peer_data_centre) {
      update_time(it.last_heard, 0, now);
    }
  }
  // With different instance lists, ages would be assigned to the wrong data centres.
  if (ages.names_hash == names_hash_ && ages.data_centres.size() == data_centres_.size()) {
    for (std::size_t n = 0; n < data_centres_.size(); ++n) {
      update_time(data_centres_[n].last_heard, ages.data_centres[n], now);
    }
  }
  return true;
}

void freshness_evidence::update_time(std::optional<time_point>& at, std::uint8_t age,
                                     time_point now) const {
  if (age == evidence_ages::unknown) {
    return;
  }
  const time_point candidate = now - age_unit * age - options_.transit_allowance;
  at = std::max(at.value_or(candidate), candidate);
}

evidence_ages freshness_evidence::ages(time_point now) const {
  evidence_ages out;
  out.store = encode_age(last_store_read_, now);
  out.names_hash = names_hash_;
  for (const data_centre_state& it : data_centres_) {
    out.data_centres.push_back(encode_age(it.last_heard, now));
  }
  return out;
}

bool freshness_evidence::is_recent(std::optional<time_point> at, time_point now) const {
  return at && now - *at < options_.max_age;
}

bool freshness_evidence::is_fresh(time_point now) const {
  if (is_recent(last_store_read_, now)) {
    return true;
  }
  return has_list_ && std::ranges::all_of(data_centres_, [&](const data_centre_state& it) {
           return !it.has_others || is_recent(it.last_heard, now);
         });
}

std::optional<duration> freshness_evidence::store_age(time_point now) const {
  return last_store_read_ ? std::optional<duration>(now - *last_store_read_) : std::nullopt;
}

} // namespace boragedoor::replication
