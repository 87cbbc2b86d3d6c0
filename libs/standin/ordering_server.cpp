#include "standin/ordering_server.h"

#include <map>
#include <utility>

namespace boragedoor::standin {

result<std::unique_ptr<ordering_server>> ordering_server::create(net::event_loop& loop,
                                                                 const ordering_options& options) {
  auto it = std::unique_ptr<ordering_server>(new ordering_server(loop, options));
  ordering_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); }, {}}));
  return it;
}

ordering_server::ordering_server(net::event_loop& loop, const ordering_options& options)
    : loop_(loop), state_(options.start_time, options.drain_time), orders_(options.order_fencing) {}

std::string ordering_server::classify(const net::http_request& request) {
  static const std::map<std::string, std::string, std::less<>> kinds{
      {"POST /orders", "order"},     {"GET /orders", "orders"},    {"GET /endpoints", "endpoints"},
      {"PUT /endpoints", "replace"}, {"POST /reclaim", "reclaim"},
  };
  const auto it = kinds.find(request.method + ' ' + request.path);
  return it == kinds.end() ? "other" : it->second;
}

void ordering_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "order") {
    order(*it);
  } else if (kind == "orders") {
    it->answer(200, orders_.list());
  } else if (kind == "endpoints") {
    it->answer(200, state_.list(loop_.now()));
  } else if (kind == "replace") {
    replace(*it);
  } else if (kind == "reclaim") {
    reclaim(*it);
  } else {
    it->answer(404, error_body("not_found", "no such route"));
  }
}

void ordering_server::order(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  const auto id = string_field(*body, "order_id");
  const auto token = integer_field(*body, "fencing_token");
  const auto data_centre = string_field(*body, "data_centre");
  const bool whole = id && token && data_centre && string_field(*body, "pool") &&
                     integer_field(*body, "count").value_or(-1) >= 0;
  if (!whole) {
    it.answer(400, error_body("invalid_argument", "order_id, fencing_token, data_centre, pool and "
                                                  "count are needed"));
    return;
  }
  switch (orders_.receive(*id, *data_centre, *token, *body, wall_now())) {
  case order_book::verdict::stale:
    it.answer(409, {{"fencing_token", orders_.greatest_token(*data_centre)}});
    return;
  case order_book::verdict::execute:
    execute(it, *id, *data_centre, *body);
    return;
  default:
    it.answer(200, {{"applied", true}, {"repeated", true}});
  }
}

void ordering_server::execute(call& it, const std::string& order_id, const std::string& data_centre,
                              const json& body) {
  const auto count = static_cast<std::size_t>(*integer_field(body, "count"));
  const std::size_t active =
      state_.set_count(data_centre, *string_field(body, "pool"),
                       string_field(body, "tier").value_or("standard"), count, loop_.now());
  orders_.finish(order_id, true);
  it.answer(200, {{"applied", true}, {"repeated", false}, {"count", active}});
}

void ordering_server::replace(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  const auto done = state_.replace(*body);
  if (done) {
    it.answer(200, state_.list(loop_.now()));
  } else {
    it.answer(400, error_body("invalid_argument", done.error().message));
  }
}

void ordering_server::reclaim(call& it) {
  if (const auto body = object_body(it)) {
    it.answer(200,
              {{"reclaimed", state_.reclaim(string_field(*body, "data_centre").value_or(""))}});
  }
}

} // namespace boragedoor::standin
