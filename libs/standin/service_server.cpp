#include "standin/service_server.h"

#include <utility>

#include "base/hash.h"

namespace boragedoor::standin {

namespace {

constexpr std::size_t incarnation_bytes = 6;

json describe(const net::http_request& request) {
  json fields = json::array();
  for (const auto& [name, value] : request.fields) {
    fields.push_back({name, value});
  }
  json query = json::object();
  for (const auto& [name, value] : request.query) {
    query[name] = value;
  }
  return {{"method", request.method},
          {"path", request.path},
          {"query", std::move(query)},
          {"headers", std::move(fields)},
          {"body", request.body}};
}

} // namespace

result<std::unique_ptr<service_server>> service_server::create(net::event_loop& loop,
                                                               const service_options& options) {
  auto it = std::unique_ptr<service_server>(new service_server(loop, options));
  service_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); },
                               [plain] { plain->crashed(); }}));
  return it;
}

service_server::service_server(net::event_loop& loop, const service_options& options)
    : loop_(loop), options_(options), incarnation_(secure_random_hex(incarnation_bytes) + "-0") {}

std::string service_server::classify(const net::http_request& request) {
  if (request.method == "GET" &&
      (request.path == "/executed" || request.path == "/load" || request.path == "/healthz")) {
    return request.path.substr(1);
  }
  return "request";
}

void service_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (kind == "executed") {
    it->answer(200, executed());
  } else if (kind == "load") {
    load(*it);
  } else if (kind == "healthz") {
    it->answer(200, {{"status", "ok"}, {"incarnation", incarnation_}});
  } else {
    execute(it);
  }
}

void service_server::execute(const std::shared_ptr<call>& it) {
  const net::http_request& request = it->request();
  ++count_;
  json record = describe(request);
  record["count"] = count_;
  record["attempt"] = net::find_header(request.fields, "x-attempt-id");
  executed_.push_back(std::move(record));
  if (executed_.size() > options_.kept) {
    executed_.pop_front();
  }
  const json body{{"method", request.method},
                  {"path", request.path},
                  {"count", count_},
                  {"attempt", it->attempt()}};
  const net::headers fields{{"x-attempt-id", it->attempt()}};
  if (options_.latency == duration::zero()) {
    it->answer(200, body, fields);
    return;
  }
  ++running_;
  http().run_after(options_.latency, [this, it, body, fields] {
    --running_;
    it->answer(200, body, fields);
  });
}

void service_server::load(call& it) const {
  it.answer(200, {{"endpoint", options_.endpoint},
                  {"incarnation", incarnation_},
                  {"running", running_},
                  {"queued", 0},
                  {"as_of_ms", to_milliseconds(wall_now())}});
}

void service_server::crashed() {
  ++crashes_;
  running_ = 0;
  incarnation_ = incarnation_.substr(0, incarnation_.find('-')) + '-' + std::to_string(crashes_);
}

json service_server::executed() const {
  return {{"total", count_}, {"executed", executed_}};
}

} // namespace boragedoor::standin
