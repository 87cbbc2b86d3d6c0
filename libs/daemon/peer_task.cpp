#include "daemon/peer_task.h"

#include <utility>

namespace boragedoor::daemon {

namespace {

// How often missing links are tried again and calls are checked for their deadline.
constexpr duration tick_period = milliseconds(200);

// A connection for calls is closed after this time without one. Usage is flushed every second, so
// connections to its holders stay open.
constexpr duration caller_idle_limit = seconds(15);

constexpr const char* field_type = "type";
constexpr const char* field_call = "call";

json make_answer(const json& call, const json& body) {
  return {{field_type, "answer"}, {field_call, call}, {"body", body}};
}

} // namespace

result<std::unique_ptr<peer_task>> peer_task::create(const daemon_context& context) {
  std::unique_ptr<peer_task> task(new peer_task(context));
  peer_task* plain = task.get();
  auto listener = peer::peer_listener::listen(
      context.loop, context.settings.listen.peers,
      [plain](const std::shared_ptr<peer::peer_link>& link) { plain->accept(link); });
  if (!listener) {
    return listener.error();
  }
  task->listener_ = std::move(listener).value();
  task->timer_.start_periodic(tick_period);
  return task;
}

peer_task::peer_task(const daemon_context& context)
    : context_(context), timer_(context.loop, [this] { tick(); }) {}

peer_task::~peer_task() {
  for (auto& [id, it] : links_) {
    it.link->close();
  }
  for (const auto& it : unnamed_) {
    it->close();
  }
  for (auto& [target, it] : callers_) {
    if (it.link) {
      it.link->close();
    }
  }
}

const net::address& peer_task::local_address() const {
  return listener_->local_address();
}

json peer_task::hello() const {
  return {{field_type, "hello"},
          {"instance", context_.settings.instance.id},
          {"boot", context_.boot_id}};
}

void peer_task::on_list(std::span<const listed_instance> list) {
  addresses_.clear();
  for (const auto& it : list) {
    addresses_[it.id] = it.peers;
  }
}

void peer_task::set_neighbours(std::span<const std::string> ids) {
  neighbours_ = {ids.begin(), ids.end()};
  std::vector<std::string> dropped;
  for (const auto& [id, it] : links_) {
    // The side that does not connect keeps a link that its neighbour still wants.
    if (!neighbours_.contains(id) && context_.settings.instance.id < id) {
      dropped.push_back(id);
    }
  }
  for (const auto& id : dropped) {
    const auto link = links_[id].link;
    on_neighbour_closed(id, link.get());
    link->close();
  }
  connect_missing();
}

void peer_task::tick() {
  connect_missing();
  const time_point now = context_.now();
  std::vector<std::uint64_t> late;
  for (const auto& [number, it] : calls_) {
    if (now >= it.deadline) {
      late.push_back(number);
    }
  }
  for (const auto number : late) {
    finish_call(number, {});
  }
  for (auto it = callers_.begin(); it != callers_.end();) {
    if (now - it->second.last_used > caller_idle_limit) {
      count(*it->second.link);
      it->second.link->close();
      it = callers_.erase(it);
    } else {
      ++it;
    }
  }
}

void peer_task::connect_missing() {
  for (const auto& id : neighbours_) {
    const auto address = addresses_.find(id);
    if (context_.settings.instance.id >= id || links_.contains(id) || address == addresses_.end() ||
        address->second.port == 0) {
      continue;
    }
    auto link = peer::peer_link::connect(context_.loop, address->second);
    links_[id] = {link, id, false};
    const auto* plain = link.get();
    link->start({[this, id, plain] {
                   const auto it = links_.find(id);
                   if (it != links_.end() && it->second.link.get() == plain) {
                     it->second.link->send(hello());
                     attach(id, it->second.link);
                   }
                 },
                 [this, id](const json& message) { on_neighbour_message(id, message); },
                 [this, id, plain](bool /*refused*/) { on_neighbour_closed(id, plain); }});
  }
}

void peer_task::accept(const std::shared_ptr<peer::peer_link>& link) {
  unnamed_.insert(link);
  const auto it = std::make_shared<incoming_link>();
  it->link = link;
  peer::peer_link::callbacks handlers;
  handlers.on_message = [this, it](const json& message) { on_incoming(*it, message); };
  const auto* plain = link.get();
  handlers.on_closed = [this, plain, it](bool /*refused*/) {
    if (std::erase_if(unnamed_, [plain](const auto& each) { return each.get() == plain; }) == 0) {
      on_neighbour_closed(it->peer, plain);
    }
  };
  link->start(std::move(handlers));
}

void peer_task::on_incoming(incoming_link& it, const json& message) {
  const auto type = string_field(message, field_type).value_or("");
  if (type == "hello") {
    it.peer = string_field(message, "instance").value_or("");
    return;
  }
  const auto link = it.link.lock();
  if (!link || it.peer.empty()) {
    return;
  }
  // A link for calls never becomes a neighbour link.
  if (type == "call") {
    receive_request(link, it.peer, message);
    return;
  }
  if (!it.is_neighbour) {
    it.is_neighbour = true;
    unnamed_.erase(link);
    if (const auto old = links_.find(it.peer); old != links_.end()) {
      count(*old->second.link);
      old->second.link->close();
    }
    attach(it.peer, link);
  }
  on_neighbour_message(it.peer, message);
}

void peer_task::attach(const std::string& id, const std::shared_ptr<peer::peer_link>& link) {
  links_[id] = {link, id, true};
  events::event it;
  it.number = events::event_number::peer_connected;
  it.details["peer"] = id;
  context_.record(std::move(it));
  connected_.emit(id);
}

void peer_task::on_neighbour_message(const std::string& id, const json& message) {
  if (message.is_object()) {
    received_.emit(id, message);
  }
}

void peer_task::on_neighbour_closed(const std::string& id, const peer::peer_link* link) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.link.get() != link) {
    return;
  }
  const bool was_open = it->second.open;
  count(*it->second.link);
  links_.erase(it);
  if (was_open) {
    events::event entry;
    entry.number = events::event_number::peer_disconnected;
    entry.details["peer"] = id;
    context_.record(std::move(entry));
    disconnected_.emit(id);
  }
}

bool peer_task::send(const std::string& peer, const json& message) {
  const auto it = links_.find(peer);
  return it != links_.end() && it->second.open && it->second.link->send(message);
}

void peer_task::broadcast(const json& message, const std::string& except) {
  for (const auto& [id, it] : links_) {
    if (id != except && it.open) {
      it.link->send(message);
    }
  }
}

void peer_task::receive_request(const std::shared_ptr<peer::peer_link>& link,
                                const std::string& from, const json& message) {
  const auto number = message.find(field_call);
  const auto body = message.find("body");
  if (number == message.end() || body == message.end() || !body->is_object()) {
    return;
  }
  const std::weak_ptr<peer::peer_link> weak = link;
  called_.emit(from, *body, [weak, id = *number](const json& answer) {
    if (const auto open = weak.lock()) {
      open->send(make_answer(id, answer));
    }
  });
}

peer_task::caller& peer_task::caller_for(const net::address& target) {
  auto& it = callers_[target];
  it.last_used = context_.now();
  if (it.link) {
    return it;
  }
  it.link = peer::peer_link::connect(context_.loop, target);
  const auto* plain = it.link.get();
  it.link->start({[this, target] {
                    auto& open = callers_[target];
                    open.open = true;
                    open.link->send(hello());
                    for (const auto& message : open.waiting) {
                      open.link->send(message);
                    }
                    open.waiting.clear();
                  },
                  [this](const json& message) {
                    if (string_field(message, field_type) == "answer") {
                      const auto number = integer_field(message, field_call).value_or(0);
                      const auto body = message.find("body");
                      finish_call(static_cast<std::uint64_t>(number),
                                  {body == message.end() ? json() : *body, false});
                    }
                  },
                  [this, target, plain](bool refused) {
                    const auto found = callers_.find(target);
                    if (found != callers_.end() && found->second.link.get() == plain) {
                      count(*found->second.link);
                      callers_.erase(found);
                      fail_calls(target, refused);
                    }
                  }});
  return it;
}

void peer_task::call(const net::address& target, json request, duration timeout,
                     std::function<void(const peer_reply&)> done) {
  const std::uint64_t number = ++last_call_;
  calls_[number] = {target, std::move(done), context_.now() + timeout};
  json message = {{field_type, "call"}, {field_call, number}, {"body", std::move(request)}};
  caller& it = caller_for(target);
  if (it.open) {
    it.link->send(message);
  } else {
    it.waiting.push_back(std::move(message));
  }
}

void peer_task::finish_call(std::uint64_t number, const peer_reply& reply) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) {
    return;
  }
  const auto done = std::move(it->second.done);
  const auto target = it->second.target;
  calls_.erase(it);
  if (!reply.answer && !reply.refused) {
    // A call without an answer makes the connection suspect: it may have gone silent for good
    // while new ones work.
    const auto found = callers_.find(target);
    if (found != callers_.end()) {
      count(*found->second.link);
      found->second.link->close();
      callers_.erase(found);
    }
  }
  done(reply);
}

void peer_task::fail_calls(const net::address& target, bool refused) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, it] : calls_) {
    if (it.target == target) {
      numbers.push_back(number);
    }
  }
  for (const auto number : numbers) {
    finish_call(number, {std::nullopt, refused});
  }
}

void peer_task::count(const peer::peer_link& link) {
  closed_bytes_ += link.bytes_sent() + link.bytes_received();
}

std::size_t peer_task::control_bytes() const {
  std::size_t n = closed_bytes_;
  for (const auto& [id, it] : links_) {
    n += it.link->bytes_sent() + it.link->bytes_received();
  }
  for (const auto& [target, it] : callers_) {
    n += it.link->bytes_sent() + it.link->bytes_received();
  }
  return n;
}

} // namespace boragedoor::daemon
