#include "standin/store_server.h"

#include <utility>

namespace boragedoor::standin {

namespace {

// Longest wait of a watch; a caller that asks for more gets this.
constexpr std::int64_t max_watch_ms = 600'000;
constexpr std::int64_t default_watch_ms = 30'000;

json to_json(const store_state::entry& it) {
  return {{"key", it.key}, {"value", it.value}, {"version", it.version}};
}

json to_json(const store_state::change& it) {
  json value{{"key", it.key}, {"version", it.version}, {"deleted", !it.value.has_value()}};
  if (it.value) {
    value["value"] = *it.value;
  }
  return value;
}

std::optional<std::int64_t> expected_version(const net::http_request& request) {
  const std::int64_t value = query_integer(request, "expect_version", -1);
  return value < 0 ? std::nullopt : std::optional(value);
}

void answer_outcome(call& it, const store_state::outcome& outcome) {
  switch (outcome.what) {
  case store_state::status::done:
    it.answer(200, {{"version", outcome.version}});
    return;
  case store_state::status::conflict:
    it.answer(409, {{"version", outcome.version}});
    return;
  case store_state::status::not_found:
    it.answer(404, error_body("not_found", "no such key"));
    return;
  case store_state::status::unknown_lease:
    it.answer(404, error_body("not_found", "no such lease"));
    return;
  }
}

constexpr std::string_view renew_suffix = "/renew";

} // namespace

result<std::unique_ptr<store_server>> store_server::create(net::event_loop& loop,
                                                           const store_options& options) {
  auto it = std::unique_ptr<store_server>(new store_server(loop, options));
  store_server* plain = it.get();
  BOOST_OUTCOME_TRY(it->start(loop, options.listen,
                              {&classify, [plain](const auto& next) { plain->handle(next); },
                               [plain] { plain->watches_.clear(); }}));
  return it;
}

store_server::store_server(net::event_loop& loop, const store_options& options)
    : loop_(loop), state_(options.history), writes_(options.writes_per_second),
      reads_(options.reads_per_second), expiry_timer_(loop, [this] {
        state_.expire(loop_.now());
        state_changed();
      }) {}

std::string store_server::classify(const net::http_request& request) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (path_after(request.path, "/kv/")) {
    return get                          ? "kv_get"
           : request.method == "PUT"    ? "kv_put"
           : request.method == "DELETE" ? "kv_delete"
                                        : "other";
  }
  if (request.path == "/kv" && get) {
    return "kv_list";
  }
  if (request.path == "/watch" && get) {
    return "watch";
  }
  if (request.path == "/lease" && post) {
    return "lease_create";
  }
  if (const auto id = path_after(request.path, "/lease/")) {
    return post && id->ends_with(renew_suffix) ? "lease_renew"
           : request.method == "DELETE"        ? "lease_delete"
                                               : "other";
  }
  return "other";
}

void store_server::handle(const std::shared_ptr<call>& it) {
  const std::string kind = classify(it->request());
  if (limit(*it, kind)) {
    return;
  }
  if (kind == "kv_get") {
    get(*it);
  } else if (kind == "kv_list") {
    list(*it);
  } else if (kind == "kv_put") {
    put(*it);
  } else if (kind == "kv_delete") {
    remove(*it);
  } else if (kind == "watch") {
    start_watch(it);
  } else if (kind == "lease_create") {
    create_lease(*it);
  } else if (kind == "lease_renew") {
    renew_lease(*it);
  } else if (kind == "lease_delete") {
    delete_lease(*it);
  } else {
    it->answer(404, error_body("not_found", "no such route"));
  }
}

bool store_server::limit(call& it, const std::string& kind) {
  const bool read = kind == "kv_get" || kind == "kv_list" || kind == "watch";
  rate_limiter& limiter = read ? reads_ : writes_;
  if (limiter.take(loop_.now())) {
    return false;
  }
  it.answer(429, error_body("overloaded", "rate limit"), {{"Retry-After", "1"}});
  return true;
}

void store_server::get(call& it) {
  const auto found = state_.get(*path_after(it.request().path, "/kv/"), loop_.now());
  if (found) {
    it.answer(200, to_json(*found));
  } else {
    it.answer(404, error_body("not_found", "no such key"));
  }
  state_changed();
}

void store_server::list(call& it) {
  json entries = json::array();
  for (const auto& entry : state_.list(query_text(it.request(), "prefix"), loop_.now())) {
    entries.push_back(to_json(entry));
  }
  it.answer(200, {{"revision", state_.revision()}, {"entries", std::move(entries)}});
  state_changed();
}

void store_server::put(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  auto value = string_field(*body, "value");
  if (!value || (body->contains("expect_version") && !integer_field(*body, "expect_version"))) {
    it.answer(400, error_body("invalid_argument",
                              "value must be a string and expect_version a whole number"));
    return;
  }
  if (value->size() > store_state::max_value_bytes) {
    it.answer(413, error_body("invalid_argument", "the value is longer than 1048576 bytes"));
    return;
  }
  answer_outcome(it, state_.put(*path_after(it.request().path, "/kv/"), std::move(*value),
                                integer_field(*body, "expect_version"),
                                string_field(*body, "lease"), loop_.now()));
  state_changed();
}

void store_server::remove(call& it) {
  answer_outcome(it, state_.remove(*path_after(it.request().path, "/kv/"),
                                   expected_version(it.request()), loop_.now()));
  state_changed();
}

void store_server::start_watch(const std::shared_ptr<call>& it) {
  state_.expire(loop_.now());
  state_changed();
  const std::int64_t after = query_integer(it->request(), "after", 0);
  const std::string prefix = query_text(it->request(), "prefix");
  if (!state_.has_history_after(after)) {
    it->answer(410, {{"revision", state_.revision()}});
    return;
  }
  if (!state_.changes_after(after, prefix).empty()) {
    answer_watch(*it, prefix, after);
    return;
  }
  const auto place = watches_.insert(watches_.end(), {it, prefix, after, nullptr});
  place->timeout = std::make_unique<net::timer>(loop_, [this, place] {
    const watch ended = std::move(*place);
    watches_.erase(place);
    answer_watch(*ended.waiting, ended.prefix, ended.after);
  });
  const std::int64_t wait = query_integer(it->request(), "timeout_ms", default_watch_ms);
  place->timeout->start_once(milliseconds(std::min(wait, max_watch_ms)));
  it->on_caller_left([this, place] { watches_.erase(place); });
}

void store_server::answer_watch(call& it, const std::string& prefix, std::int64_t after) {
  it.on_caller_left(nullptr);
  if (!state_.has_history_after(after)) {
    it.answer(410, {{"revision", state_.revision()}});
    return;
  }
  json events = json::array();
  for (const auto& change : state_.changes_after(after, prefix)) {
    events.push_back(to_json(change));
  }
  it.answer(200, {{"revision", state_.revision()}, {"events", std::move(events)}});
}

void store_server::create_lease(call& it) {
  const auto body = object_body(it);
  if (!body) {
    return;
  }
  const std::int64_t ttl = integer_field(*body, "ttl_ms").value_or(0);
  if (ttl <= 0) {
    it.answer(400, error_body("invalid_argument", "ttl_ms must be a whole number from 1"));
    return;
  }
  it.answer(200, {{"lease", state_.create_lease(milliseconds(ttl), loop_.now())}});
  state_changed();
}

void store_server::renew_lease(call& it) {
  std::string id = *path_after(it.request().path, "/lease/");
  id.resize(id.size() - renew_suffix.size());
  const auto ttl = state_.renew_lease(id, loop_.now());
  if (ttl) {
    const auto whole = std::chrono::duration_cast<milliseconds>(*ttl);
    it.answer(200, {{"ttl_ms", whole.count()}});
  } else {
    it.answer(404, error_body("not_found", "no such lease"));
  }
  state_changed();
}

void store_server::delete_lease(call& it) {
  if (state_.delete_lease(*path_after(it.request().path, "/lease/"), loop_.now())) {
    it.answer(200, json::object());
  } else {
    it.answer(404, error_body("not_found", "no such lease"));
  }
  state_changed();
}

void store_server::state_changed() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    const auto next = std::next(it);
    if (!state_.changes_after(it->after, it->prefix).empty()) {
      const watch ended = std::move(*it);
      watches_.erase(it);
      answer_watch(*ended.waiting, ended.prefix, ended.after);
    }
    it = next;
  }
  if (const auto end = state_.next_expiry()) {
    expiry_timer_.start_once(*end - loop_.now());
  } else {
    expiry_timer_.cancel();
  }
}

} // namespace boragedoor::standin
