#include "http1/client.h"

#include <algorithm>
#include <utility>

namespace boragedoor::http1 {

client::client(net::event_loop& loop, std::shared_ptr<byte_budget> budget, std::size_t max_idle)
    : loop_(loop), budget_(budget ? std::move(budget) : byte_budget::create(loop)),
      max_idle_(max_idle) {
  pool_.on_idle = [this](const std::shared_ptr<client_connection>& it) {
    if (idle_count_ >= max_idle_) {
      it->close();
      return;
    }
    ++idle_count_;
    idle_[it->target()].push_back(it);
  };
  pool_.on_closed = [this](client_connection& it) {
    const auto found = open_.find(&it);
    if (found == open_.end()) {
      return;
    }
    if (const auto list = idle_.find(it.target()); list != idle_.end()) {
      idle_count_ -=
          std::erase_if(list->second, [&](const auto& member) { return member.get() == &it; });
      if (list->second.empty()) {
        idle_.erase(list);
      }
    }
    // The connection may be in the middle of a callback of its own.
    loop_.post([keep = std::move(found->second)] {});
    open_.erase(found);
  };
}

client::~client() {
  const auto all = open_;
  for (const auto& [key, it] : all) {
    it->close();
  }
}

std::shared_ptr<client_connection> client::take_idle(const net::address& target,
                                                     std::string_view response_id) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) {
    return nullptr;
  }
  const time_point now = loop_.now();
  const auto expired = [now](const auto& it) { return now - it->idle_since() > it->keep_for(); };
  const std::vector<std::shared_ptr<client_connection>> all = found->second;
  std::shared_ptr<client_connection> newest;
  for (const auto& it : all) {
    if (expired(it)) {
      it->close();
    } else if (!it->has_carried(response_id)) {
      newest = it;
    }
  }
  if (newest) {
    auto& list = idle_[target];
    idle_count_ -= std::erase(list, newest);
    if (list.empty()) {
      idle_.erase(target);
    }
  }
  return newest;
}

std::shared_ptr<call> client::send(call_spec spec, call_callbacks callbacks) {
  std::shared_ptr<client_connection> connection;
  if (!spec.new_connection) {
    connection = take_idle(spec.target, spec.response_id);
  }
  if (!connection) {
    connection = std::make_shared<client_connection>(loop_, pool_, budget_, spec.target);
    open_.emplace(connection.get(), connection);
    ++made_;
  }
  connection->start(std::move(spec), std::move(callbacks));
  return connection;
}

void client::probe(const net::address& target, duration timeout,
                   std::function<void(bool connected)> done) {
  const auto connected = std::make_shared<bool>(false);
  call_spec spec;
  spec.target = target;
  spec.connect_timeout = timeout;
  spec.new_connection = true;
  spec.may_send = [connected] {
    *connected = true;
    return false;
  };
  call_callbacks callbacks;
  callbacks.on_end = [connected, done = std::move(done)](call_outcome, const response&) {
    done(*connected);
  };
  send(std::move(spec), std::move(callbacks));
}

void client::drop_idle(const net::address& target) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) {
    return;
  }
  const std::vector<std::shared_ptr<client_connection>> all = found->second;
  for (const auto& it : all) {
    it->close();
  }
}

} // namespace boragedoor::http1
