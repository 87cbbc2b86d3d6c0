#include "instance/job_peer.h"

#include <span>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "base/json_binary.h"
#include "base/json_fields.h"
#include "instance/call_limits.h"
#include "instance/error_response.h"
#include "jobs/job_documents.h"

namespace boragedoor::instance {

namespace {

constexpr std::string_view read_path = "/jobs/results";
constexpr std::string_view submit_path = "/jobs";
constexpr std::string_view end_path = "/jobs/end";
constexpr std::string_view texts_path = "/jobs/texts";

/// Time that a read may take in addition to its wait. Readers time out 1.5 s after the wait that
/// they request, and the store must be read within that time if the member does not respond.
constexpr duration read_margin = milliseconds(400);
/// A submission is stored within milliseconds unless the store is slow. Trainers wait 4 s for the
/// response.
constexpr duration submit_timeout = milliseconds(1500);

/// The end of a job is stored within milliseconds. The caller waits for it, and after a failure has
/// to write it to the store itself.
constexpr duration end_timeout = milliseconds(600);

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int not_here = 404;
constexpr int refused = 503;
constexpr int outcome_unknown = 504;

std::string to_message(const job_listing& it) {
  return to_cbor({{"total", it.total},
                  {"next", it.next},
                  {"results", binary(jobs::to_document(std::span(it.results)))}});
}

std::optional<job_listing> listing_from_message(std::string_view message) {
  const auto parsed = parse_cbor(message);
  job_listing listing;
  std::string results;
  if (!parsed || !read_field(parsed.value(), "total", listing.total) ||
      !read_field(parsed.value(), "next", listing.next) ||
      !read_binary(parsed.value(), "results", results)) {
    return std::nullopt;
  }
  auto list = jobs::results_from_document(results);
  if (!list) {
    return std::nullopt;
  }
  listing.results = std::move(list).value();
  return listing;
}

submit_outcome to_outcome(int status) {
  switch (status) {
  case accepted:
    return submit_outcome::accepted;
  case refused:
    return submit_outcome::refused;
  default:
    return submit_outcome::unknown;
  }
}

int to_status(submit_outcome outcome) {
  switch (outcome) {
  case submit_outcome::accepted:
    return accepted;
  case submit_outcome::refused:
    return refused;
  case submit_outcome::unknown:
    return outcome_unknown;
  }
  return outcome_unknown;
}

} // namespace

job_peer::job_peer(instance_context& context, member_task& members, handlers own_handlers)
    : members_(members), calls_(context.loop, context.budget), handlers_(std::move(own_handlers)) {}

void job_peer::send(std::string_view member, http1::request message, duration timeout,
                    response_callback done) {
  const duties::member* it = members_.members().find(member);
  const net::address address = it == nullptr ? net::address() : net::parse_address(it->relay);
  if (address.port == 0) {
    done(http1::call_outcome::not_connected, {});
    return;
  }
  message.headers.emplace_back("Host", net::to_string(address));
  http1::call_spec spec;
  spec.target = address;
  spec.message = std::move(message);
  spec.connect_timeout = connect_timeout;
  spec.progress_timeout = timeout;
  spec.max_body_bytes = max_instance_answer_bytes;
  http1::call_callbacks callbacks;
  callbacks.on_end = std::move(done);
  calls_.send(std::move(spec), std::move(callbacks));
}

void job_peer::read(std::string_view member, const std::string& job, std::size_t after,
                    duration wait, std::function<void(std::optional<job_listing>)> done) {
  send(member,
       {"GET",
        fmt::format("{}?job={}&after={}&wait_ms={}", read_path, net::encode_component(job), after,
                    to_milliseconds(wait)),
        {},
        {}},
       wait + read_margin,
       [done = std::move(done)](http1::call_outcome outcome, const http1::response& it) {
         done(outcome == http1::call_outcome::complete && it.status == ok
                  ? listing_from_message(it.body)
                  : std::nullopt);
       });
}

void job_peer::submit(std::string_view member, const jobs::job& job,
                      std::function<void(submit_outcome)> done) {
  send(member, {"POST", std::string(submit_path), {}, jobs::to_document(job)}, submit_timeout,
       [done = std::move(done)](http1::call_outcome outcome, const http1::response& response) {
         if (outcome == http1::call_outcome::not_connected) {
           done(submit_outcome::refused);
         } else {
           done(outcome == http1::call_outcome::complete ? to_outcome(response.status)
                                                         : submit_outcome::unknown);
         }
       });
}

void job_peer::end(std::string_view member, const std::string& job,
                   std::function<void(bool)> done) {
  send(member, {"POST", fmt::format("{}?job={}", end_path, net::encode_component(job)), {}, {}},
       end_timeout,
       [done = std::move(done)](http1::call_outcome outcome, const http1::response& it) {
         done(outcome == http1::call_outcome::complete && it.status == ok);
       });
}

void job_peer::send_texts(std::string_view member, std::string_view workspace,
                          std::span<const jobs::item_progress> texts) {
  send(member,
       {"POST",
        fmt::format("{}?workspace={}", texts_path, net::encode_component(workspace)),
        {},
        jobs::to_document(texts)},
       end_timeout, [](http1::call_outcome /*outcome*/, const http1::response& /*it*/) {
         // If this fails, the next step generates the texts from the start.
       });
}

bool job_peer::answer(const std::shared_ptr<http1::exchange>& from) {
  const std::string_view path = http1::path_of(from->received().target);
  if (path == read_path) {
    answer_read(from);
  } else if (path == submit_path) {
    answer_submission(from);
  } else if (path == end_path) {
    answer_end(from);
  } else if (path == texts_path) {
    answer_texts(from);
  } else {
    return false;
  }
  return true;
}

void job_peer::answer_read(const std::shared_ptr<http1::exchange>& from) {
  const std::string& target = from->received().target;
  handlers_.read(http1::query_parameter(target, "job").value_or(std::string()),
                 http1::number_parameter(target, "after"),
                 milliseconds(http1::number_parameter(target, "wait_ms")),
                 [from](const std::optional<job_listing>& it) {
                   if (it) {
                     from->respond({ok, {{"Content-Type", "application/cbor"}}, to_message(*it)});
                   } else {
                     from->respond(error_response(not_here, "not_here", "the job does not run here",
                                                  executed::no));
                   }
                 });
}

void job_peer::answer_submission(const std::shared_ptr<http1::exchange>& from) {
  const auto room = handlers_.room_for(from->received().body);
  if (!room) {
    from->respond(error_response(refused, "no_memory", "the instance has no memory for the job now",
                                 executed::no));
    return;
  }
  auto job = jobs::job_from_document(from->received().body, *room);
  from->drop_body();
  if (!job) {
    from->respond(error_response(refused, "invalid_job", job.error().message, executed::no));
    return;
  }
  handlers_.submit(std::move(job).value(), [from](submit_outcome outcome) {
    from->respond({to_status(outcome), {}, {}});
  });
}

void job_peer::answer_end(const std::shared_ptr<http1::exchange>& from) {
  handlers_.end(http1::query_parameter(from->received().target, "job").value_or(std::string()),
                [from](bool ended) {
                  from->respond({ended ? ok : refused, {}, {}});
                });
}

void job_peer::answer_texts(const std::shared_ptr<http1::exchange>& from) {
  auto texts = jobs::progress_from_document(from->received().body);
  if (!texts) {
    from->respond({refused, {}, {}});
    return;
  }
  handlers_.receive_texts(
      http1::query_parameter(from->received().target, "workspace").value_or(std::string()),
      std::move(texts).value());
  from->respond({ok, {}, {}});
}

} // namespace boragedoor::instance
