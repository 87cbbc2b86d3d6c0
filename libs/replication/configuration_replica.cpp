#include "replication/configuration_replica.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace boragedoor::replication {

std::uint64_t document_hash(std::string_view document) {
  return hash64(document);
}

configuration_delta make_delta(const configuration_version& base,
                               const configuration_version& next) {
  const std::string_view before = base.document;
  const std::string_view after = next.document;
  const auto prefix =
      static_cast<std::size_t>(std::ranges::mismatch(before, after).in1 - before.begin());
  const std::size_t max_suffix = std::min(before.size(), after.size()) - prefix;
  std::size_t suffix = 0;
  while (suffix < max_suffix &&
         before[before.size() - 1 - suffix] == after[after.size() - 1 - suffix]) {
    ++suffix;
  }
  return {base.revision,
          next.revision,
          prefix,
          before.size() - prefix - suffix,
          std::string(after.substr(prefix, after.size() - prefix - suffix)),
          document_hash(after)};
}

apply_outcome configuration_replica::apply(const configuration_version& snapshot) {
  if (snapshot.revision <= current_.revision) {
    return apply_outcome::stale;
  }
  install(snapshot, make_delta(current_, snapshot));
  return apply_outcome::applied;
}

apply_outcome configuration_replica::apply(const configuration_delta& delta) {
  if (delta.revision <= current_.revision) {
    return apply_outcome::stale;
  }
  const std::size_t size = current_.document.size();
  if (delta.base_revision != current_.revision || delta.offset > size ||
      delta.removed > size - delta.offset) {
    return apply_outcome::needs_snapshot;
  }
  configuration_version next = current_;
  next.revision = delta.revision;
  next.document.replace(delta.offset, delta.removed, delta.inserted);
  if (document_hash(next.document) != delta.hash) {
    return apply_outcome::needs_snapshot;
  }
  install(std::move(next), delta);
  return apply_outcome::applied;
}

void configuration_replica::install(configuration_version next, configuration_delta delta) {
  current_ = std::move(next);
  hash_ = document_hash(current_.document);
  history_bytes_ += delta.inserted.size();
  history_.push_back(std::move(delta));
  while (history_.size() > max_history_deltas || history_bytes_ > max_history_bytes) {
    history_bytes_ -= history_.front().inserted.size();
    history_.pop_front();
  }
}

std::optional<std::vector<configuration_delta>>
configuration_replica::deltas_since(std::uint64_t revision) const {
  const auto first = std::ranges::find(history_, revision, &configuration_delta::base_revision);
  if (first == history_.end()) {
    return std::nullopt;
  }
  return std::vector<configuration_delta>(first, history_.end());
}

void configuration_replica::on_store_answer(std::uint64_t revision) {
  store_revision_ = std::max(store_revision_.value_or(0), revision);
}

void configuration_replica::on_peer_answer(std::string_view instance, bootstrap_answer answer) {
  if (!ready_) {
    peer_answers_.insert_or_assign(std::string(instance), std::move(answer));
  }
}

bool configuration_replica::is_ready(std::string_view self, std::span<const member> members) {
  if (ready_) {
    return true;
  }
  std::uint64_t newest = store_revision_.value_or(0);
  for (const auto& [instance, answer] : peer_answers_) {
    newest = std::max(newest, answer.revision);
  }
  if (current_.revision >= newest && (store_revision_ || has_enough_peers(self, members))) {
    ready_ = true;
    peer_answers_.clear();
  }
  return ready_;
}

bool configuration_replica::has_enough_peers(std::string_view self,
                                             std::span<const member> members) const {
  std::size_t others = 0;
  std::size_t answered = 0;
  std::set<std::string_view> data_centres;
  std::set<std::string_view> answered_data_centres;
  for (const member& it : members) {
    if (it.id == self || it.state == member_state::leaving) {
      continue;
    }
    ++others;
    data_centres.insert(it.data_centre);
    if (peer_answers_.contains(it.id)) {
      ++answered;
      answered_data_centres.insert(it.data_centre);
    }
  }
  return others > 0 && answered >= std::min(min_bootstrap_peers, others) &&
         answered_data_centres.size() >= std::min(min_bootstrap_data_centres, data_centres.size());
}

} // namespace boragedoor::replication
