#include "instance/endpoint_verifier.h"

#include <utility>

#include "instance/call_limits.h"

namespace boragedoor::instance {

namespace {

/// Time for an endpoint to say when it started. It answers without a free slot.
constexpr duration report_timeout = milliseconds(300);

} // namespace

std::string_view to_string(process_verdict it) {
  switch (it) {
  case process_verdict::confirmed:
    return "confirmed";
  case process_verdict::refuted:
    return "refuted";
  case process_verdict::unknown:
    return "unknown";
  }
  return "unknown";
}

void endpoint_verifier::verify(const expected_process& expected,
                               std::function<void(process_verdict)> done) {
  const std::string& id = expected.process.endpoint;
  const dispatch::endpoint_entry* entry = context_.endpoints.find(id);
  if (entry == nullptr) {
    verify_registered(expected, std::move(done));
    return;
  }
  endpoint_request request{.endpoint = id,
                           .address = entry->address,
                           .attempt = {},
                           .message = [this, id] { return context_.protocol.report(id); },
                           .repeatable = true,
                           .progress_timeout = report_timeout};
  http1::call_callbacks callbacks;
  callbacks.on_end = [this, alive = alive_, expected, done = std::move(done)](
                         http1::call_outcome outcome, const http1::response& it) {
    if (!*alive) {
      return;
    }
    const auto started = outcome == http1::call_outcome::complete
                             ? context_.protocol.read_process_start(it)
                             : std::nullopt;
    if (!started) {
      verify_registered(expected, done);
    } else {
      done(*started == expected.process.start_ms ? process_verdict::confirmed
                                                 : process_verdict::refuted);
    }
  };
  context_.outgoing.send(std::move(request), std::move(callbacks));
}

void endpoint_verifier::verify_registered(const expected_process& expected,
                                          std::function<void(process_verdict)> done) {
  const dispatch::endpoint_entry* entry = context_.endpoints.find(expected.process.endpoint);
  if (entry == nullptr || entry->key.empty()) {
    context_.loop.post([done = std::move(done)] { done(process_verdict::unknown); });
    return;
  }
  context_.store.read(entry->key, [this, alive = alive_, expected,
                                   done = std::move(done)](const read_answer& it) {
    if (*alive) {
      done(it.status == store_status::ok ? compare(it.item, expected) : process_verdict::unknown);
    }
  });
}

process_verdict endpoint_verifier::compare(const stored_item& entry,
                                           const expected_process& expected) const {
  const auto found = decode_(entry.key, entry.value);
  if (!found) {
    return process_verdict::unknown;
  }
  return found->process_start_ms == expected.process.start_ms &&
                 found->software == expected.software
             ? process_verdict::confirmed
             : process_verdict::refuted;
}

} // namespace boragedoor::instance
