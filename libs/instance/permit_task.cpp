#include "instance/permit_task.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/json.h"
#include "base/json_fields.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view permits_path = "/permits";

/// Time for an instance to answer. Requests wait for the answer, and instances are a few
/// milliseconds apart.
constexpr duration answer_timeout = milliseconds(300);
/// Time for which a member that did not answer is not asked again.
constexpr duration silence_period = seconds(1);
/// Time until permits are requested again after a request without an answer.
constexpr duration retry_delay = milliseconds(50);
/// Instances ask for the next permit of an endpoint at different times, so that the nearest one
/// does not get them all.
constexpr duration max_request_jitter = milliseconds(10);
constexpr duration expiry_interval = seconds(10);

constexpr int ok = 200;
constexpr int bad_request = 400;

json to_message(const dispatch::permit_request& it) {
  return {{"endpoint", it.endpoint},  {"count", it.count}, {"per_second", it.per_second},
          {"age_us", it.age.count()}, {"burst", it.burst}, {"warm_up", it.warm_up}};
}

std::optional<dispatch::permit_request> request_from_message(const json& from) {
  dispatch::permit_request it;
  const auto count = integer_field(from, "count");
  const auto rate = number_field(from, "per_second");
  const auto age = integer_field(from, "age_us");
  if (!read_field(from, "endpoint", it.endpoint) || !count || !rate || !age) {
    return std::nullopt;
  }
  it.count = static_cast<int>(*count);
  it.per_second = *rate;
  it.age = duration(*age);
  // Instances of earlier versions know only limits that endpoints state.
  it.burst = number_field(from, "burst").value_or(it.burst);
  it.warm_up = bool_field(from, "warm_up").value_or(it.warm_up);
  return it;
}

/// Reads the grants of a response, in the order of the requests; empty if it is malformed.
std::vector<dispatch::permit_grant> grants_from_message(std::string_view message) {
  const auto parsed = parse_cbor(message);
  if (!parsed || !parsed.value().is_array()) {
    return {};
  }
  std::vector<dispatch::permit_grant> list;
  for (const json& from : parsed.value()) {
    const auto count = integer_field(from, "count");
    const auto retry_after = integer_field(from, "retry_after_us");
    if (!count || !retry_after) {
      return {};
    }
    list.push_back({static_cast<int>(*count), duration(*retry_after)});
  }
  return list;
}

} // namespace

permit_task::permit_task(instance_context& context, member_task& members)
    : context_(context), members_(members), calls_(context.loop, context.budget),
      changes_(context.identity.member_id()), expiry_timer_(context.loop, [this] { expire(); }) {
  context_.endpoints.permits_wanted.connect([this] {
    if (std::exchange(scheduled_, true)) {
      return;
    }
    // Requests of one iteration of the event loop share calls to the keepers.
    context_.loop.post([this, alive = alive_] {
      if (*alive) {
        scheduled_ = false;
        request_permits();
      }
    });
  });
  members_.changed.connect([this] { note_members(); });
  expiry_timer_.start_periodic(expiry_interval);
}

void permit_task::note_members() {
  std::vector<std::string> ids;
  for (const duties::member* it : members_.members().candidates()) {
    ids.push_back(it->id);
  }
  changes_.update(ids, context_.loop.now());
}

const duties::member* permit_task::keeper_of(const std::string& endpoint, time_point now) const {
  for (const duties::member* it : members_.members().candidates_for(endpoint)) {
    const auto silent = silent_until_.find(it->id);
    if (silent == silent_until_.end() || now >= silent->second) {
      return it->id == context_.identity.member_id() ? nullptr : it;
    }
  }
  return nullptr;
}

void permit_task::request_permits() {
  const time_point now = context_.loop.now();
  std::map<std::string, std::pair<const duties::member*, request_list>> by_keeper;
  for (dispatch::permit_request& it : context_.endpoints.take_permit_requests(now)) {
    const duties::member* keeper = keeper_of(it.endpoint, now);
    auto& [member, requests] = by_keeper[keeper == nullptr ? std::string() : keeper->id];
    member = keeper;
    requests.push_back(std::move(it));
  }
  for (auto& [id, entry] : by_keeper) {
    if (entry.first == nullptr) {
      grant_here(entry.second, now);
    } else {
      ask(*entry.first, std::move(entry.second));
    }
  }
}

dispatch::permit_grant permit_task::with_jitter(dispatch::permit_grant grant) {
  std::uniform_int_distribution<duration::rep> jitter(0, max_request_jitter.count());
  grant.retry_after += duration(jitter(context_.random));
  return grant;
}

void permit_task::grant_here(const request_list& requests, time_point now) {
  for (const dispatch::permit_request& it : requests) {
    context_.endpoints.add_permits(it.endpoint, with_jitter(grant(it, now)), now);
  }
  answered.emit();
}

void permit_task::ask(const duties::member& keeper, request_list requests) {
  const net::address address = net::parse_address(keeper.relay);
  json body = json::array();
  for (const dispatch::permit_request& it : requests) {
    body.push_back(to_message(it));
  }
  http1::call_spec spec;
  spec.target = address;
  spec.message = {
      "POST", std::string(permits_path), {{"Host", net::to_string(address)}}, to_cbor(body)};
  spec.connect_timeout = answer_timeout;
  spec.progress_timeout = answer_timeout;
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, alive = alive_, member = keeper.id, requests = std::move(requests)](
                         http1::call_outcome outcome, const http1::response& response) {
    if (!*alive) {
      return;
    }
    const time_point now = context_.loop.now();
    const auto grants = outcome == http1::call_outcome::complete && response.status == ok
                            ? grants_from_message(response.body)
                            : std::vector<dispatch::permit_grant>();
    const bool usable = grants.size() == requests.size();
    if (!usable) {
      silent_until_[member] = now + silence_period;
      context_.record(events::event_number::permits_unanswered, {}, {},
                      {{"member", member}, {"reason", to_string(outcome)}});
    }
    for (std::size_t n = 0; n < requests.size(); ++n) {
      context_.endpoints.add_permits(requests[n].endpoint,
                                     usable ? with_jitter(grants[n])
                                            : dispatch::permit_grant{.retry_after = retry_delay},
                                     now);
    }
    answered.emit();
  };
  calls_.send(std::move(spec), std::move(callbacks));
}

std::optional<std::size_t> permit_task::rank_for(const std::string& endpoint,
                                                 time_point now) const {
  const auto list = members_.members().candidates_for(endpoint);
  if (list.empty()) {
    return std::nullopt;
  }
  const auto self = std::find_if(list.begin(), list.end(), [this](const duties::member* it) {
    return it->id == context_.identity.member_id();
  });
  const auto rank = static_cast<std::size_t>(self - list.begin());
  // A process that is no member by its own clock may have been replaced as the first one.
  return rank == 0 && !members_.is_member(now) ? 1 : rank;
}

dispatch::permit_grant permit_task::grant(const dispatch::permit_request& request, time_point now) {
  std::optional<std::size_t> rank = rank_for(request.endpoint, now);
  const bool settled = rank == 0 && changes_.is_settled(request.endpoint, now);
  if (request.warm_up && rank == 0 && !settled) {
    // Others may still ask the former keeper.
    rank = 1;
  }
  const dispatch::permit_grant it =
      keeper_.grant(request, dispatch::permit_share(rank), now, request.warm_up && settled);
  context_.metrics
      .get_counter("boragedoor_permits_granted_total",
                   "requests granted for endpoints that state a limit or may be cold")
      .add(it.count);
  return it;
}

bool permit_task::answer(const std::shared_ptr<http1::exchange>& from) {
  if (http1::path_of(from->received().target) != permits_path) {
    return false;
  }
  const time_point now = context_.loop.now();
  const auto parsed = parse_cbor(from->received().body);
  json grants = json::array();
  if (!parsed || !parsed.value().is_array()) {
    from->respond({bad_request, {}, {}});
    return true;
  }
  for (const json& one : parsed.value()) {
    const auto request = request_from_message(one);
    if (!request) {
      from->respond({bad_request, {}, {}});
      return true;
    }
    const dispatch::permit_grant it = grant(*request, now);
    grants.push_back({{"count", it.count}, {"retry_after_us", it.retry_after.count()}});
  }
  from->respond({ok, {{"Content-Type", "application/cbor"}}, to_cbor(grants)});
  return true;
}

void permit_task::expire() {
  const time_point now = context_.loop.now();
  keeper_.expire(now);
  std::erase_if(silent_until_, [now](const auto& entry) { return entry.second <= now; });
}

} // namespace boragedoor::instance
