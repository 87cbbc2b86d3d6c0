#include "http1/message_output.h"

#include <memory>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace boragedoor::http1 {

namespace {

/// Smaller bodies are copied next to their head, so that both leave in one packet.
constexpr std::size_t largest_copied_body = 16UL * 1024;

} // namespace

void write_body(bufferevent* to, std::string body) {
  write_body(to, std::make_shared<const std::string>(std::move(body)));
}

void write_body(bufferevent* to, const std::shared_ptr<const std::string>& body) {
  if (body->size() <= largest_copied_body) {
    bufferevent_write(to, body->data(), body->size());
    return;
  }
  using holder = std::shared_ptr<const std::string>;
  auto held = std::make_unique<holder>(body);
  const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> piece(evbuffer_new(), &evbuffer_free);
  const auto release = [](const void* /*data*/, std::size_t /*size*/, void* text) {
    delete static_cast<holder*>(text);
  };
  if (evbuffer_add_reference(piece.get(), body->data(), body->size(), release, held.get()) == 0) {
    // The buffer owns it now.
    static_cast<void>(held.release());
  }
  bufferevent_write_buffer(to, piece.get());
}

} // namespace boragedoor::http1
