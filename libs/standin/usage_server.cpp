#include "standin/usage_server.h"

namespace boragedoor::standin {

result<std::unique_ptr<usage_server>> usage_server::create(net::event_loop& loop,
                                                           const usage_options& options) {
  auto it = std::unique_ptr<usage_server>(new usage_server());
  usage_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); }, {}}));
  return it;
}

std::string usage_server::classify(const net::http_request& request) {
  if (request.path != "/usage") {
    return "other";
  }
  return request.method == "POST" ? "report" : request.method == "GET" ? "list" : "other";
}

void usage_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "list") {
    it->answer(200, state_.list());
    return;
  }
  if (kind == "other") {
    it->answer(404, error_body("not_found", "no such route"));
    return;
  }
  const auto body = object_body(*it);
  if (!body) {
    return;
  }
  const auto done = state_.receive(*body, wall_now());
  if (done) {
    it->answer(200, {{"report_id", (*body)["report_id"]}});
  } else {
    it->answer(400, error_body("invalid_argument", done.error().message));
  }
}

} // namespace boragedoor::standin
