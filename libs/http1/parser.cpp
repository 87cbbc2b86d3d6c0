#include "http1/parser.h"

#include <algorithm>
#include <utility>

#include <http_parser.h>

#include "http1/message.h"
#include "net/head_check.h"

namespace boragedoor::http1 {

struct parser::impl {
  http_parser state{};
  http_parser_settings settings{};
  parser_events events;
  message_kind kind = message_kind::request;
  message_head head;
  bool in_value = false;
  bool no_body = false;
  bool refused = false;
  /// Whether the head was reported. Fields that follow it are trailer fields, which are dropped.
  bool head_done = false;
  /// The head of the message that is being parsed, as it was sent.
  net::head_check sent_head;

  /// Whether a response can be the answer to a request, or an interim one before it.
  [[nodiscard]] bool is_answer(int status) const {
    // Nobody asks for another protocol.
    constexpr int switching_protocols = 101;
    return sent_head.has_valid_status() && status != switching_protocols;
  }

  static impl& of(http_parser* it) { return *static_cast<impl*>(it->data); }

  static int on_begin(http_parser* it) {
    of(it).head = {};
    of(it).head_done = false;
    of(it).in_value = false;
    return 0;
  }
  static int on_url(http_parser* it, const char* at, std::size_t n) {
    of(it).head.target.append(at, n);
    return 0;
  }
  static int on_field(http_parser* it, const char* at, std::size_t n) {
    impl& self = of(it);
    if (self.head_done) {
      return 0;
    }
    if (self.in_value || self.head.headers.empty()) {
      self.head.headers.emplace_back();
      self.in_value = false;
    }
    self.head.headers.back().first.append(at, n);
    return 0;
  }
  static int on_value(http_parser* it, const char* at, std::size_t n) {
    impl& self = of(it);
    if (self.head_done) {
      return 0;
    }
    self.in_value = true;
    self.head.headers.back().second.append(at, n);
    return 0;
  }
  static int on_headers(http_parser* it) {
    // Return values of http_parser: 1 means that no body follows, others than 0 are errors.
    constexpr int parse_body = 0;
    constexpr int skip_body = 1;
    constexpr int refuse = -1;
    impl& self = of(it);
    message_head& head = self.head;
    head.status = static_cast<int>(it->status_code);
    if (self.kind == message_kind::response && !self.is_answer(head.status)) {
      self.refused = true;
      return refuse;
    }
    if (self.kind == message_kind::request) {
      head.method = http_method_str(static_cast<http_method>(it->method));
      if (!is_valid_target(head.target)) {
        self.refused = true;
        return refuse;
      }
    }
    head.keep_alive = http_should_keep_alive(it) != 0;
    head.has_length = (it->flags & (F_CONTENTLENGTH | F_CHUNKED)) != 0;
    const bool valid = self.sent_head.has_valid_lines() &&
                       std::all_of(head.headers.begin(), head.headers.end(), [](const auto& field) {
                         return is_valid_header(field.first, field.second);
                       });
    self.refused = !valid || (self.events.on_head && !self.events.on_head(head));
    self.head_done = true;
    // The owner keeps what it needs of the head for as long as the body takes.
    head.headers = net::headers();
    if (self.refused) {
      return refuse;
    }
    return self.no_body ? skip_body : parse_body;
  }
  static int on_body(http_parser* it, const char* at, std::size_t n) {
    if (of(it).events.on_body) {
      of(it).events.on_body({at, n});
    }
    return 0;
  }
  static int on_complete(http_parser* it) {
    impl& self = of(it);
    self.no_body = false;
    self.sent_head.restart();
    http_parser_pause(it, 1);
    if (self.events.on_complete) {
      self.events.on_complete();
    }
    return 0;
  }
};

parser::parser(message_kind kind, parser_events events) : impl_(std::make_unique<impl>()) {
  impl_->kind = kind;
  impl_->events = std::move(events);
  http_parser_init(&impl_->state, kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  http_parser_settings_init(&impl_->settings);
  impl_->state.data = impl_.get();
  impl_->settings.on_message_begin = &impl::on_begin;
  impl_->settings.on_url = &impl::on_url;
  impl_->settings.on_header_field = &impl::on_field;
  impl_->settings.on_header_value = &impl::on_value;
  impl_->settings.on_headers_complete = &impl::on_headers;
  impl_->settings.on_body = &impl::on_body;
  impl_->settings.on_message_complete = &impl::on_complete;
}

parser::~parser() = default;

std::size_t parser::feed(std::string_view data) {
  if (HTTP_PARSER_ERRNO(&impl_->state) == HPE_PAUSED) {
    http_parser_pause(&impl_->state, 0);
  }
  impl_->sent_head.feed(data);
  return http_parser_execute(&impl_->state, &impl_->settings, data.data(), data.size());
}

void parser::finish() {
  if (!failed()) {
    http_parser_execute(&impl_->state, &impl_->settings, nullptr, 0);
  }
}

void parser::expect_no_body() {
  impl_->no_body = true;
}

bool parser::failed() const {
  const auto ec = HTTP_PARSER_ERRNO(&impl_->state);
  return ec != HPE_OK && ec != HPE_PAUSED;
}

std::string parser::error_text() const {
  if (impl_->refused) {
    return "the start line or the header fields are ambiguous or not allowed";
  }
  return http_errno_description(HTTP_PARSER_ERRNO(&impl_->state));
}

} // namespace boragedoor::http1
