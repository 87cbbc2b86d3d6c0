#include "standin/call.h"

#include <charconv>
#include <utility>

namespace boragedoor::standin {

call::call(std::shared_ptr<net::http_exchange> exchange, call_behaviour behaviour,
           std::function<void(std::shared_ptr<call>)> keep)
    : exchange_(std::move(exchange)), behaviour_(std::move(behaviour)), keep_(std::move(keep)) {}

void call::answer(int status, const json& body, net::headers fields) {
  output([status, body, fields = std::move(fields)](call& self) {
    self.end([&](net::http_exchange& it) { it.respond_json(status, body, fields); });
  });
}

void call::start_stream(int status, const net::headers& fields) {
  output([status, fields](call& self) {
    if (!self.is_silent() && !self.behaviour_.lost) {
      self.exchange_->start_stream(status, fields);
    }
  });
}

void call::send_frame(std::string_view data) {
  output([text = std::string(data)](call& self) {
    if (self.is_silent() || self.behaviour_.lost) {
      return;
    }
    if (self.behaviour_.frames) {
      --*self.behaviour_.frames;
    }
    self.exchange_->send_chunk(text);
  });
}

void call::finish_stream() {
  output([](call& self) { self.end([](net::http_exchange& it) { it.finish_stream(); }); });
}

void call::release() {
  held_back_ = false;
  const auto steps = std::exchange(waiting_, {});
  for (const auto& step : steps) {
    step(*this);
  }
}

bool call::is_silent() const {
  return behaviour_.silent || *behaviour_.connection_silent ||
         (behaviour_.frames && *behaviour_.frames <= 0);
}

void call::output(std::function<void(call&)> step) {
  if (held_back_) {
    waiting_.push_back(std::move(step));
    return;
  }
  step(*this);
}

void call::end(const std::function<void(net::http_exchange&)>& step) {
  if (is_silent()) {
    keep_(shared_from_this());
    return;
  }
  if (behaviour_.lost) {
    exchange_->abort();
    return;
  }
  step(*exchange_);
}

json error_body(std::string_view code, std::string_view message) {
  return {{"error", {{"code", code}, {"message", message}, {"executed", "no"}}}};
}

std::optional<std::string> path_after(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix) || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return std::string(path.substr(prefix.size()));
}

std::int64_t query_integer(const net::http_request& request, std::string_view name,
                           std::int64_t otherwise) {
  const std::string text = query_text(request, name);
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc() && end == text.data() + text.size() && value >= 0 ? value : otherwise;
}

std::string query_text(const net::http_request& request, std::string_view name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

std::optional<json> object_body(call& it) {
  const std::string& text = it.request().body;
  auto body = parse_json(text);
  if (!body || !body.value().is_object()) {
    it.answer(400, error_body("invalid_argument", "the body must be a JSON object"));
    return std::nullopt;
  }
  return std::move(body).value();
}

} // namespace boragedoor::standin
