#include "replica_stand_in.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "base/json_fields.h"
#include "instance/error_response.h"

namespace boragedoor::platform {

replica_stand_in::replica_stand_in(net::event_loop& loop, store_stand_in& store, options it)
    : loop_(loop), store_(store), it_(std::move(it)), timer_(loop, [this] { tick(); }) {
  server_ = http1::server::listen(
                loop, {"127.0.0.1", 0}, [this](const auto& from) { on_call(from); },
                &instance::listener_refusal)
                .value();
  address_ = server_->local_address();
  timer_.start_periodic(it_.interval);
  announce();
}

replica_stand_in::~replica_stand_in() = default;

void replica_stand_in::announce(const std::string& state) {
  json models = json::array();
  if (!it_.model.empty()) {
    models.push_back({{"name", it_.model}, {"version", it_.version}, {"adapters", json::array()}});
  }
  store_.put("servers/" + it_.id, {{"service", it_.service},
                                   {"address", net::to_string(address_)},
                                   {"zone", it_.zone},
                                   {"version", "v1"},
                                   {"slots", it_.slots},
                                   {"state", state},
                                   {"cold_remaining_ms", 0},
                                   {"models", models},
                                   {"sequence", 1},
                                   {"born", 1}});
}

void replica_stand_in::crash() {
  for (run& it : std::exchange(open_, {})) {
    it.from->abort();
  }
  server_.reset();
}

void replica_stand_in::on_call(const std::shared_ptr<http1::exchange>& from) {
  const http1::request& asked = from->received();
  const std::string_view expected = net::find_header(asked.headers, "Expect-Replica");
  if (!expected.empty() && expected != it_.id) {
    from->respond({421, {{"Replica-Id", it_.id}}, {}});
    return;
  }
  if (asked.target == "/report") {
    from->respond({200,
                   {{"Content-Type", "application/json"}},
                   to_text({{"stage", "both"},
                            {"models", {{{"name", it_.model}, {"version", it_.version}}}},
                            {"busy", false},
                            {"sequence", orders_},
                            {"queued", 0},
                            {"running", open_.size()}})});
    return;
  }
  if (asked.target == "/order") {
    on_order(from);
    return;
  }
  last = asked;
  if (silent) {
    held_.push_back(from);
    return;
  }
  if (full) {
    from->respond({503, {{"Not-Executed", "1"}}, {}});
    return;
  }
  const std::string id(net::find_header(asked.headers, "Attempt-Id"));
  ran.push_back(id);
  if (!it_.model.empty()) {
    start_text(from);
    return;
  }
  net::headers headers = {{"Attempt-Id", id}, {"Replica-Load", "1,0,4"}};
  if (!unsigned_answers) {
    headers.emplace_back("Response-Signature", "sig-" + id);
  }
  from->respond({200, headers, "answer to " + id});
}

void replica_stand_in::start_text(const std::shared_ptr<http1::exchange>& from) {
  const net::headers& asked = from->received().headers;
  const std::string id(net::find_header(asked, "Attempt-Id"));
  from->start({200,
               {{"Content-Type", "text/event-stream"},
                {"Attempt-Id", id},
                {"Response-Signature", "sig-" + id},
                {"Weight-Versions", std::to_string(it_.version)}},
               {}});
  const auto after = http1::integer_header(asked, "Last-Event-Id").value_or(0);
  open_.push_back({from, static_cast<int>(after) + 1});
}

void replica_stand_in::on_order(const std::shared_ptr<http1::exchange>& from) {
  const auto order = parse_json(from->received().body);
  const auto fence =
      static_cast<std::uint64_t>(integer_field(order.value(), "fencing_token").value_or(0));
  if (fence < fence_) {
    from->respond({412, {}, {}});
    return;
  }
  fence_ = fence;
  if (integer_field(order.value(), "expected").value_or(0) != static_cast<std::int64_t>(orders_)) {
    from->respond({409, {}, {}});
    return;
  }
  ++orders_;
  it_.version = static_cast<std::uint64_t>(integer_field(order.value(), "version").value_or(0));
  announce();
  from->respond({202, {}, {}});
}

void replica_stand_in::tick() {
  for (std::size_t n = open_.size(); n > 0; --n) {
    run it = std::move(open_.front());
    open_.pop_front();
    if (!it.from->is_open()) {
      continue;
    }
    it.from->send_chunk(fmt::format("id: {}\ndata: t{}\n\n", it.next, it.next));
    if (it.next++ >= it_.events) {
      it.from->finish();
    } else {
      open_.push_back(std::move(it));
    }
  }
}

} // namespace boragedoor::platform
