#include "standin/weight_server.h"

#include <charconv>
#include <utility>

namespace boragedoor::standin {

namespace {

/// The parts of "/weights/{model}" and "/weights/{model}/{what}".
struct weight_path {
  std::string model;
  std::string what;
};

weight_path read_path(const net::http_request& request) {
  const auto rest = path_after(request.path, "/weights/");
  if (!rest) {
    return {};
  }
  const auto slash = rest->find('/');
  if (slash == std::string::npos) {
    return {*rest, ""};
  }
  return {rest->substr(0, slash), rest->substr(slash + 1)};
}

} // namespace

result<std::unique_ptr<weight_server>> weight_server::create(net::event_loop& loop,
                                                             const weight_options& options) {
  auto it = std::unique_ptr<weight_server>(new weight_server(loop, options));
  weight_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); }, {}}));
  return it;
}

weight_server::weight_server(net::event_loop& loop, const weight_options& options)
    : loop_(loop), downloads_(options.downloads_per_second) {}

std::string weight_server::classify(const net::http_request& request) {
  const weight_path path = read_path(request);
  if (path.model.empty()) {
    return "other";
  }
  if (path.what.empty()) {
    return request.method == "POST" ? "publish" : "other";
  }
  if (request.method != "GET") {
    return "other";
  }
  return path.what == "latest" ? "latest" : "download";
}

void weight_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "publish") {
    publish(*it);
  } else if (kind == "latest") {
    latest(*it);
  } else if (kind == "download") {
    download(*it);
  } else {
    it->answer(404, error_body("not_found", "no such route"));
  }
}

void weight_server::publish(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  const auto version = integer_field(*body, "version");
  if (!version) {
    it.answer(400, error_body("invalid_argument", "version must be a whole number"));
    return;
  }
  state_.publish(read_path(it.request()).model, *version);
  it.answer(200, {{"version", *version}});
}

void weight_server::latest(call& it) {
  if (const auto version = state_.latest(read_path(it.request()).model)) {
    it.answer(200, {{"version", *version}});
  } else {
    it.answer(404, error_body("not_found", "no version of this model is published"));
  }
}

void weight_server::download(call& it) {
  if (!downloads_.take(loop_.now())) {
    it.answer(429, error_body("overloaded", "rate limit"), {{"Retry-After", "1"}});
    return;
  }
  const weight_path path = read_path(it.request());
  std::int64_t version = 0;
  const char* last = path.what.data() + path.what.size();
  const auto [end, ec] = std::from_chars(path.what.data(), last, version);
  if (ec != std::errc() || end != last || !state_.has(path.model, version)) {
    it.answer(404, error_body("not_found", "this version is not published"));
    return;
  }
  it.answer(200, {{"model", path.model}, {"version", version}});
}

} // namespace boragedoor::standin
