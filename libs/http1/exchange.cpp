#include "http1/exchange.h"

#include <utility>

#include "http1/server_connection.h"

namespace boragedoor::http1 {

exchange::exchange(std::weak_ptr<server_connection> connection, request received, std::string peer,
                   std::unique_ptr<byte_account> account)
    : connection_(std::move(connection)), received_(std::move(received)), peer_(std::move(peer)),
      account_(std::move(account)) {}

exchange::~exchange() {
  if (!done_) {
    abort();
  }
}

void exchange::share_body() {
  if (!received_.shared_body) {
    received_.shared_body =
        std::make_shared<const std::string>(std::exchange(received_.body, std::string()));
  }
}

bool exchange::is_open() const {
  return !done_ && !connection_.expired();
}

void exchange::respond(response it) {
  if (const auto to = connection_.lock(); to && !done_) {
    done_ = true;
    to->send_whole(std::move(it));
  }
}

void exchange::start(const response& it) {
  if (const auto to = connection_.lock(); to && !done_) {
    started_ = true;
    to->send_start(it);
  }
}

void exchange::send_chunk(std::string_view data) {
  if (const auto to = connection_.lock(); to && !done_ && !data.empty()) {
    to->send_chunk(data);
  }
}

void exchange::finish() {
  if (const auto to = connection_.lock(); to && !done_) {
    done_ = true;
    to->send_end();
  }
}

void exchange::break_off() {
  if (const auto to = connection_.lock(); to && !done_) {
    done_ = true;
    to->break_off();
  }
}

void exchange::abort() {
  done_ = true;
  if (const auto to = connection_.lock()) {
    to->close();
  }
}

void exchange::caller_left() {
  if (std::exchange(done_, true)) {
    return;
  }
  if (const auto fn = std::exchange(left_, nullptr)) {
    fn();
  }
}

} // namespace boragedoor::http1
