#include "daemon/api_error.h"

#include <algorithm>
#include <utility>

namespace boragedoor::daemon {

json to_json(const api_error& it) {
  return {
      {"error",
       {{"code", it.code}, {"message", it.message}, {"executed", retry::to_string(it.executed)}}}};
}

void respond_error(net::http_exchange& exchange, const api_error& it) {
  net::headers fields;
  if (it.retry_after) {
    const auto whole = std::chrono::ceil<seconds>(*it.retry_after).count();
    fields.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(whole, 1)));
  }
  exchange.respond_json(it.status, to_json(it), std::move(fields));
}

api_error not_found_error(std::string message) {
  return {404, "not_found", std::move(message), retry::executed::no, {}};
}

api_error bad_request_error(std::string message) {
  return {400, "invalid_request", std::move(message), retry::executed::no, {}};
}

api_error unauthorized_error() {
  return {401, "unauthorized", "the request needs a valid workspace key", retry::executed::no, {}};
}

api_error unavailable_error(std::string code, std::string message, duration retry_after) {
  return {503, std::move(code), std::move(message), retry::executed::no, retry_after};
}

} // namespace boragedoor::daemon
