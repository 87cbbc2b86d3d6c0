#include "standin/trainer_client.h"

#include <utility>

namespace boragedoor::standin {

namespace {

// Time that an answer may take beyond the wait that the request allows.
constexpr duration answer_margin = seconds(10);

// Instances that name each other as holder are asked again only after a pause.
constexpr int max_hops = 3;

constexpr std::size_t max_batch_bytes = 8UL * 1024 * 1024;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

// Refusals that the same request meets again: malformed, not allowed or too large.
bool is_final(int status) {
  return status == 400 || status == 401 || status == 403 || status == 413;
}

/// The instance that a refusal names as the holder; port 0 when it names none.
net::address named_holder(const net::http_reply& reply) {
  const auto body = parse_json(reply.body);
  if (!body) {
    return {};
  }
  auto holder = string_field(body.value(), "holder");
  if (!holder && body.value().contains("error")) {
    holder = string_field(body.value()["error"], "holder");
  }
  return net::parse_address(holder.value_or(""));
}

} // namespace

trainer_client::trainer_client(net::event_loop& loop, trainer_options options)
    : loop_(loop), options_(std::move(options)), client_(loop),
      retry_timer_(loop, [this] { retry_step_(); }),
      limit_timer_(loop,
                   [this] {
                     checks_.add_violation("the time limit passed");
                     finish();
                   }),
      version_(options_.first_version) {}

void trainer_client::start(std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  if (options_.targets.empty() || options_.steps <= 0) {
    loop_.post([this] { finish(); });
    return;
  }
  target_ = options_.targets.front();
  limit_timer_.start_once(options_.time_limit);
  open_step();
}

json trainer_client::summary() const {
  return {{"trainer", options_.trainer},
          {"steps", steps_done_},
          {"samples", checks_.samples()},
          {"batches", checks_.batches()},
          {"repetitions", checks_.repetitions()},
          {"greatest_staleness", checks_.greatest_staleness()},
          {"weight_version", version_},
          {"retries", retries_},
          {"redirects", redirects_},
          {"step_ms", step_times_ms_},
          {"violations", checks_.violations()}};
}

std::string trainer_client::step_path() const {
  return "/v1/trainers/" + options_.trainer + "/steps/" + std::to_string(step_);
}

json trainer_client::step_body(std::map<std::string, std::int64_t>& sizes) const {
  json groups = json::array();
  for (std::int64_t n = 1; n <= options_.groups; ++n) {
    const std::string id = "group-" + std::to_string(step_) + '-' + std::to_string(n);
    sizes[id] = options_.group_size;
    groups.push_back({{"id", id},
                      {"prompt", options_.prompt + " (" + options_.trainer + ' ' + id + ')'},
                      {"size", options_.group_size}});
  }
  return {{"model", options_.model},
          {"weight_version", version_},
          {"staleness_bound", options_.staleness_bound},
          {"max_tokens", options_.max_tokens},
          {"groups", std::move(groups)}};
}

void trainer_client::open_step() {
  std::map<std::string, std::int64_t> sizes;
  json body = step_body(sizes);
  checks_.start_step(step_, std::move(sizes), version_, options_.staleness_bound);
  step_start_ = loop_.now();
  step_complete_ = false;
  send({{}, "PUT", step_path(), std::move(body), [this](const auto& /*reply*/) { pull(true); }});
}

void trainer_client::pull(bool wait) {
  const std::int64_t after = repeating_ > 0 ? repeating_ - 1 : checks_.last_batch();
  const auto wait_ms = wait ? to_milliseconds(options_.wait) : std::int64_t{0};
  send({{},
        "GET",
        step_path() + "/batches?after=" + std::to_string(after) +
            "&wait_ms=" + std::to_string(wait_ms),
        {},
        [this, wait](const auto& reply) { receive(reply, wait); }});
}

void trainer_client::receive(const net::http_reply& reply, bool waited) {
  if (reply.status == 204) {
    // Without a wait this is the answer that nothing follows.
    if (waited) {
      pull(true);
    } else {
      finish_step();
    }
    return;
  }
  if (repeating_ > 0) {
    repeat(reply);
    return;
  }
  const auto answer = parse_json(reply.body);
  if (answer && !answer.value().contains("batch") &&
      bool_field(answer.value(), "step_complete").value_or(false)) {
    // No batch follows; groups that did not come are violations.
    finish_step();
    return;
  }
  if (!checks_.receive(reply.body)) {
    // A batch before the one that was asked for: come back later, not in a tight loop.
    retry_step_ = [this] { pull(true); };
    retry_timer_.start_once(options_.retry_delay);
    return;
  }
  const auto batch = parse_json(reply.body);
  step_complete_ = bool_field(batch.value(), "step_complete").value_or(false);
  const std::int64_t last = checks_.last_batch();
  if (options_.repeat_every > 0 && last % options_.repeat_every == 0) {
    repeating_ = last;
    pull(true);
    return;
  }
  acknowledge();
}

void trainer_client::repeat(const net::http_reply& reply) {
  if (checks_.receive(reply.body)) {
    checks_.add_violation("batch " + std::to_string(repeating_) +
                          " was not repeated before its acknowledgement");
  }
  repeating_ = 0;
  acknowledge();
}

void trainer_client::acknowledge() {
  send({{},
        "POST",
        step_path() + "/batches/" + std::to_string(checks_.last_batch()) + "/ack",
        json::object(),
        // A finished step is asked once more whether anything follows.
        [this](const auto& /*reply*/) { pull(!checks_.step_is_whole() && !step_complete_); }});
}

void trainer_client::finish_step() {
  checks_.finish_step();
  const auto time = std::chrono::duration_cast<milliseconds>(loop_.now() - step_start_);
  step_times_ms_.push_back(time.count());
  ++steps_done_;
  publish();
}

void trainer_client::publish() {
  ++version_;
  if (options_.weight_store.port == 0) {
    announce();
    return;
  }
  send({options_.weight_store,
        "POST",
        "/weights/" + options_.model,
        {{"version", version_}},
        [this](const auto& /*reply*/) { announce(); }});
}

void trainer_client::announce() {
  send({{},
        "POST",
        "/v1/trainers/" + options_.trainer + "/versions",
        {{"model", options_.model}, {"version", version_}},
        [this](const auto& /*reply*/) { next_step(); }});
}

void trainer_client::next_step() {
  if (step_ >= options_.steps) {
    finish();
    return;
  }
  ++step_;
  open_step();
}

void trainer_client::finish() {
  if (done_) {
    return;
  }
  done_ = true;
  limit_timer_.cancel();
  retry_timer_.cancel();
  if (on_done_) {
    on_done_();
  }
}

void trainer_client::send(const request& it) {
  if (done_) {
    return;
  }
  net::http_call_spec spec;
  spec.target = it.target.port == 0 ? target_ : it.target;
  spec.method = it.method;
  spec.path = it.path;
  spec.fields = {{"Content-Type", "application/json"}};
  if (it.target.port == 0) {
    spec.fields.emplace_back("Authorization", "Bearer " + options_.key);
  }
  spec.body = it.body.is_null() ? "" : to_text(it.body);
  spec.progress_timeout = options_.wait + answer_margin;
  spec.max_body_bytes = max_batch_bytes;
  net::http_callbacks callbacks;
  callbacks.on_reply = [this, it](const net::http_reply& reply) { settle(it, reply); };
  callbacks.on_failure = [this, it](const net::http_failure& /*failure*/) { retry(it); };
  client_.send(std::move(spec), std::move(callbacks));
}

void trainer_client::settle(const request& it, const net::http_reply& reply) {
  if (done_) {
    return;
  }
  if (is_success(reply.status)) {
    it.on_reply(reply);
  } else if (follow_holder(it, reply)) {
    ++redirects_;
  } else if (is_final(reply.status)) {
    checks_.add_violation(it.method + ' ' + it.path + " was refused with " +
                          std::to_string(reply.status) + ": " + reply.body);
    finish();
  } else {
    retry(it);
  }
}

bool trainer_client::follow_holder(request it, const net::http_reply& reply) {
  const net::address holder = named_holder(reply);
  const bool follow = it.target.port == 0 && holder.port != 0 && holder != target_;
  if (!follow || it.hops >= max_hops) {
    return false;
  }
  target_ = holder;
  ++it.hops;
  send(it);
  return true;
}

void trainer_client::retry(const request& it) {
  ++retries_;
  if (it.target.port == 0) {
    // The holder that was followed may be gone, so the given instances are asked in turn.
    next_target_ = (next_target_ + 1) % options_.targets.size();
    target_ = options_.targets[next_target_];
  }
  retry_step_ = [this, again = it]() mutable {
    again.hops = 0;
    send(again);
  };
  retry_timer_.start_once(options_.retry_delay);
}

} // namespace boragedoor::standin
