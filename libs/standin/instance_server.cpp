#include "standin/instance_server.h"

namespace boragedoor::standin {

namespace {

constexpr std::string_view prefix = "/instances/";

} // namespace

result<std::unique_ptr<instance_server>> instance_server::create(net::event_loop& loop,
                                                                 const instance_options& options) {
  auto it = std::unique_ptr<instance_server>(new instance_server(loop, options));
  instance_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); }, {}}));
  return it;
}

instance_server::instance_server(net::event_loop& loop, const instance_options& options)
    : loop_(loop), state_(options.lag) {}

std::string instance_server::classify(const net::http_request& request) {
  if (request.path == "/instances" && request.method == "GET") {
    return "list";
  }
  if (path_after(request.path, prefix)) {
    return request.method == "PUT" ? "put" : request.method == "DELETE" ? "delete" : "other";
  }
  return "other";
}

void instance_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "list") {
    it->answer(200, state_.list(loop_.now()));
  } else if (kind == "put") {
    put(*it);
  } else if (kind == "delete") {
    state_.remove(*path_after(it->request().path, prefix), loop_.now());
    it->answer(200, json::object());
  } else {
    it->answer(404, error_body("not_found", "no such route"));
  }
}

void instance_server::put(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  const std::string state = string_field(*body, "state").value_or("");
  if (!string_field(*body, "address") || (state != "live" && state != "leaving")) {
    it.answer(400, error_body("invalid_argument", "address and state (live, leaving) are needed"));
    return;
  }
  state_.put(*path_after(it.request().path, prefix), *body, loop_.now());
  it.answer(200, json::object());
}

} // namespace boragedoor::standin
