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
    nodes[n].who = fleet_[n];
    restart(n);
  }
}

bool network::flip(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

void network::at(duration delay, std::function<void()> run) {
  queue_.emplace(std::pair(now_ + delay, ++order_), std::move(run));
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

void network::deliver(std::size_t to, duration delay, std::function<void()> run) {
  at(delay, [this, to, process = nodes[to].state.get(), run = std::move(run)]() mutable {
    if (nodes[to].state.get() != process) {
      return; // The connection ended with the process.
    }
    if (nodes[to].paused_until > now_) {
      deliver(to, nodes[to].paused_until - now_, std::move(run));
      return;
    }
    run();
    check(nodes[to]);
  });
}

void network::restart(std::size_t n) {
  node& it = nodes[n];
  spread_options options;
  options.self = it.who.id;
  options.data_centre = it.who.data_centre;
  options.boot_id = "boot-" + std::to_string(++boots_);
  options.is_listed = lists_key;
  auto next = std::make_unique<spread>(options);
  it.state = std::move(next);
  it.state->on_list(fleet_);
  it.refused.clear();
  it.highest = 0;
  it.paused_until = {};
  const std::uniform_int_distribution<std::int64_t> phase(0, 1000);
  auto draw = phase;
  deliver(n, milliseconds(draw(random_)), [this, n] { tick(n, nodes[n].state.get()); });
  deliver(n, milliseconds(1), [this, n] { read_store(n); });
}

void network::tick(std::size_t n, const spread* process) {
  carry_out(n, nodes[n].state->tick(now()));
  deliver(n, milliseconds(100), [this, n, process] { tick(n, process); });
}

void network::read_store(std::size_t n) {
  if (is_store_up && nodes[n].who.region != cut_region) {
    carry_out(n, nodes[n].state->on_store_head(head, now(), now()));
  }
  if (poll > duration(0)) {
    deliver(n, poll, [this, n] { read_store(n); });
  }
}

void network::propose(const std::set<std::string>& keys) {
  const std::uint64_t revision = head ? head->revision + 1 : 1;
  head = configuration_version{revision, make_document(revision, keys)};
}

void network::withdraw(std::size_t n, const std::string& key_id) {
  deliver(n, duration(0), [this, n, key_id] {
    withdrawn.push_back(key_id);
    carry_out(n, nodes[n].state->withdraw(key_id, now()));
  });
}

void network::carry_out(std::size_t from, const std::vector<spread_action>& actions) {
  for (const spread_action& action : actions) {
    if (const auto* const it = std::get_if<send_message>(&action)) {
      send(from, index_.at(it->peer), it->what);
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

void network::send(std::size_t from, std::size_t to, const message& it) {
  const std::string bytes = encode(it);
  ++messages;
  // Eight bytes of frame header and mask, as websocket clients send.
  nodes[from].bytes_sent += bytes.size() + 8;
  if (std::holds_alternative<heartbeat>(it)) {
    largest_heartbeat = std::max(largest_heartbeat, bytes.size());
  }
  const member& a = nodes[from].who;
  const member& b = nodes[to].who;
  const bool is_cut = a.region != b.region && (a.region == cut_region || b.region == cut_region);
  if (is_cut || flip(loss)) {
    return;
  }
  for (int copies = flip(duplication) ? 2 : 1; copies > 0; --copies) {
    deliver(to, delay(a, b), [this, to, id = a.id, copy = decode(bytes).value()] {
      carry_out(to, nodes[to].state->on_message(id, copy, now()));
    });
  }
}

bool network::is_valid(const node& it, const std::string& key_id) const {
  return lists_key(it.state->configuration().current().document, key_id) &&
         !it.state->withdrawn().contains(key_id);
}

void network::check(node& it) {
  const std::uint64_t revision = it.state->configuration().revision();
  reverts += revision < it.highest ? 1 : 0;
  it.highest = std::max(it.highest, revision);
  for (const std::string& key : withdrawn) {
    if (it.state->withdrawn().contains(key)) {
      it.refused.insert(key);
    }
    comebacks += it.refused.contains(key) && is_valid(it, key) ? 1 : 0;
  }
}

} // namespace boragedoor::replication
