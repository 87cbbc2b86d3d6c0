#include "daemon/announcement_task.h"

namespace boragedoor::daemon {

namespace {

// A digest of 60 bytes to 6 neighbours in this period costs 72 B/s, and a lost announcement is
// repaired within one period a hop.
constexpr duration digest_period = seconds(5);

} // namespace

announcement_task::announcement_task(const daemon_context& context, peer_task& peers)
    : context_(context), peers_(peers), timer_(context.loop, [this] {
        peers_.broadcast({{"type", "announce_digest"}, {"digest", board_.digest()}});
      }) {
  peers_.received().connect(
      [this](const std::string& peer, const json& message) { on_message(peer, message); });
  peers_.connected().connect([this](const std::string& peer) { send_all(peer); });
}

void announcement_task::start() {
  timer_.start_periodic(digest_period);
}

void announcement_task::announce(const announcement& it) {
  merge(it, {});
}

void announcement_task::merge(const announcement& it, const std::string& from) {
  if (!board_.merge(it)) {
    return;
  }
  peers_.broadcast({{"type", "announce"}, {"facts", json::array({to_json(it)})}}, from);
  learned_.emit(it);
}

void announcement_task::send_all(const std::string& peer) {
  json facts = json::array();
  for (const auto& it : board_.all()) {
    facts.push_back(to_json(it));
  }
  if (!facts.empty()) {
    peers_.send(peer, {{"type", "announce"}, {"facts", std::move(facts)}});
  }
}

void announcement_task::on_message(const std::string& peer, const json& message) {
  const auto type = string_field(message, "type").value_or("");
  if (type == "announce_digest") {
    const auto digest = message.find("digest");
    if (digest != message.end() && *digest != board_.digest()) {
      send_all(peer);
    }
    return;
  }
  const auto facts = message.find("facts");
  if (type != "announce" || facts == message.end() || !facts->is_array()) {
    return;
  }
  for (const json& value : *facts) {
    if (const auto it = announcement_from_json(value); it) {
      merge(it.value(), peer);
    }
  }
}

} // namespace boragedoor::daemon
