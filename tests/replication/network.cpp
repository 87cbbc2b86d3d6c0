#include "network.h"

namespace boragedoor::replication {

std::vector<member> make_fleet(std::size_t instances, std::size_t data_centres,
                               std::size_t regions) {
  std::vector<member> fleet;
  for (std::size_t n = 0; n < instances; ++n) {
    const std::size_t place = n % data_centres;
    const std::string id = "instance-" + std::to_string(n);
    fleet.push_back({id, "dc-" + std::to_string(place), "region-" + std::to_string(place % regions),
                     id + ":7000", member_state::live});
  }
  return fleet;
}

std::string make_document(std::uint64_t revision, const std::set<std::string>& keys) {
  std::string text = "revision " + std::to_string(revision) + '\n' + std::string(2000, 'x') + '\n';
  for (const std::string& key : keys) {
    text += '[' + key + "]\n";
  }
  return text;
}

bool lists_key(std::string_view document, std::string_view key_id) {
  return document.find('[' + std::string(key_id) + ']') != std::string_view::npos;
}

network::network(std::vector<member> fleet, std::uint64_t seed)
    : random_(seed), fleet_(std::move(fleet)) {
  nodes.resize(fleet_.size());
  for (std::size_t n = 0; n < fleet_.size(); ++n) {
    index_[fleet_[n].id] = n;
    nodes[n].info = fleet_[n];
    restart(n);
  }
}

bool network::with_probability(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

void network::schedule(duration delay, std::function<void()> run) {
  queue_.emplace(std::pair(now_ + delay, ++event_sequence_), std::move(run));
}

void network::run(duration length) {
  const duration end = now_ + length;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto next = queue_.extract(queue_.begin());
    now_ = next.key().first;
    next.mapped()();
  }
  now_ = end;
}

void network::run_on_node(std::size_t to, duration delay, std::function<void()> run) {
  schedule(delay, [this, to, process = nodes[to].state.get(), run = std::move(run)]() mutable {
    if (nodes[to].state.get() != process) {
      return; // The connection was closed when the process ended.
    }
    if (nodes[to].paused_until > now_) {
      run_on_node(to, nodes[to].paused_until - now_, std::move(run));
      return;
    }
    run();
    check_invariants(nodes[to]);
  });
}

void network::restart(std::size_t n) {
  node& it = nodes[n];
  replicator_options options;
  options.self = it.info.id;
  options.data_centre = it.info.data_centre;
  options.boot_id = "boot-" + std::to_string(++boot_count_);
  options.is_listed = lists_key;
  auto next = std::make_unique<replicator>(options);
  it.state = std::move(next);
  it.state->on_instance_list(fleet_);
  it.rejected_keys.clear();
  it.highest_revision = 0;
  it.paused_until = {};
  const std::uniform_int_distribution<std::int64_t> phase(0, 1000);
  auto draw = phase;
  run_on_node(n, milliseconds(draw(random_)), [this, n] { tick(n, nodes[n].state.get()); });
  run_on_node(n, milliseconds(1), [this, n] { read_store(n); });
}

void network::tick(std::size_t n, const replicator* process) {
  execute(n, nodes[n].state->tick(now()));
  run_on_node(n, milliseconds(100), [this, n, process] { tick(n, process); });
}

void network::read_store(std::size_t n) {
  if (is_store_up && nodes[n].info.region != partitioned_region) {
    execute(n, nodes[n].state->on_store_head(head, now(), now()));
  }
  if (store_poll_interval > duration(0)) {
    run_on_node(n, store_poll_interval, [this, n] { read_store(n); });
  }
}

void network::propose(const std::set<std::string>& keys) {
  const std::uint64_t revision = head ? head->revision + 1 : 1;
  head = configuration_version{revision, make_document(revision, keys)};
}

void network::withdraw(std::size_t n, const std::string& key_id) {
  run_on_node(n, duration(0), [this, n, key_id] {
    withdrawn.push_back(key_id);
    execute(n, nodes[n].state->withdraw(key_id, now()));
  });
}

void network::execute(std::size_t from, const std::vector<replication_action>& actions) {
  for (const replication_action& action : actions) {
    if (const auto* const it = std::get_if<send_message>(&action)) {
      send(from, index_.at(it->peer), it->payload);
    }
  }
}

duration network::delay(const member& a, const member& b) {
  const std::int64_t base = a.data_centre == b.data_centre ? 500
                            : a.region == b.region         ? 3000
                                                           : 80000;
  std::uniform_int_distribution<std::int64_t> extra(0, base / 2);
  return duration(base + extra(random_));
}

void network::send(std::size_t from, std::size_t to, const message& sent_message) {
  const std::string bytes = encode(sent_message);
  ++messages;
  // 8 bytes for the frame header and mask of a websocket client.
  nodes[from].bytes_sent += bytes.size() + 8;
  if (std::holds_alternative<heartbeat>(sent_message)) {
    largest_heartbeat = std::max(largest_heartbeat, bytes.size());
  }
  const member& a = nodes[from].info;
  const member& b = nodes[to].info;
  const bool is_partitioned =
      a.region != b.region && (a.region == partitioned_region || b.region == partitioned_region);
  if (is_partitioned || with_probability(loss)) {
    return;
  }
  for (int copies = with_probability(duplication) ? 2 : 1; copies > 0; --copies) {
    run_on_node(to, delay(a, b), [this, to, id = a.id, copy = decode(bytes).value()] {
      execute(to, nodes[to].state->on_message(id, copy, now()));
    });
  }
}

bool network::is_valid(const node& observer, const std::string& key_id) const {
  return lists_key(observer.state->configuration().current().document, key_id) &&
         !observer.state->withdrawn().contains(key_id);
}

void network::check_invariants(node& checked_node) {
  const std::uint64_t revision = checked_node.state->configuration().revision();
  revision_decreases += revision < checked_node.highest_revision ? 1 : 0;
  checked_node.highest_revision = std::max(checked_node.highest_revision, revision);
  for (const std::string& key : withdrawn) {
    if (checked_node.state->withdrawn().contains(key)) {
      checked_node.rejected_keys.insert(key);
    }
    reaccepted_withdrawals +=
        checked_node.rejected_keys.contains(key) && is_valid(checked_node, key) ? 1 : 0;
  }
}

} // namespace boragedoor::replication
