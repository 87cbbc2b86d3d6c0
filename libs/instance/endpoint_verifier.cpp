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
  case process_verdict::gone:
    return "gone";
  case process_verdict::unknown:
    return "unknown";
  }
  return "unknown";
}

void endpoint_verifier::verify(const expected_process& expected,
                               std::function<void(process_verdict)> done) {
  const dispatch::endpoint_entry* entry = context_.endpoints.find(expected.process.endpoint);
  if (entry == nullptr || context_.endpoints.is_evacuated(entry->description.data_centre)) {
    read_entry(expected, std::nullopt, std::move(done));
    return;
  }
  auto compare_start = [this, alive = alive_, expected, done = std::move(done)](
                           http1::call_outcome outcome, const http1::response& it) {
    if (!*alive) {
      return;
    }
    const auto started = outcome == http1::call_outcome::complete
                             ? context_.protocol.read_process_start(it)
                             : std::nullopt;
    if (started == expected.process.start_ms) {
      done(process_verdict::confirmed);
    } else {
      read_entry(expected, started, done);
    }
  };
  context_.outgoing.request_report(*entry, report_timeout, std::move(compare_start));
}

void endpoint_verifier::verify_registered(const expected_process& expected,
                                          std::function<void(process_verdict)> done) {
  read_entry(expected, std::nullopt, std::move(done));
}

void endpoint_verifier::read_entry(const expected_process& expected,
                                   std::optional<std::int64_t> started,
                                   std::function<void(process_verdict)> done) {
  const dispatch::endpoint_entry* entry = context_.endpoints.find(expected.process.endpoint);
  if (entry == nullptr) {
    context_.loop.post(
        [done = std::move(done), verdict = verdict_without_entry(expected)] { done(verdict); });
    return;
  }
  context_.store.read(entry->key, [this, alive = alive_, expected, started,
                                   done = std::move(done)](const read_answer& it) {
    if (!*alive) {
      return;
    }
    if (it.status == store_status::ok) {
      done(compare(it.item, expected, started));
    } else {
      done(it.status == store_status::missing ? verdict_without_entry(expected)
                                              : process_verdict::unknown);
    }
  });
}

process_verdict endpoint_verifier::verdict_without_entry(const expected_process& expected) const {
  const std::string& id = expected.process.endpoint;
  const std::string_view last = context_.endpoints.last_software(id);
  if (context_.endpoints.find(id) != nullptr || last.empty()) {
    // The changes up to the removal have not arrived yet, or the endpoint was never known here.
    return process_verdict::unknown;
  }
  return last == expected.software ? process_verdict::gone : process_verdict::refuted;
}

process_verdict endpoint_verifier::compare(const stored_item& entry,
                                           const expected_process& expected,
                                           std::optional<std::int64_t> started) const {
  const auto found = decode_(entry.key, entry.value);
  if (!found) {
    return process_verdict::unknown;
  }
  const bool is_registered = !started || found->process_start_ms == *started;
  return is_registered && found->software == expected.software ? process_verdict::confirmed
                                                               : process_verdict::refuted;
}

} // namespace boragedoor::instance
