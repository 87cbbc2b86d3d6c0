#include "instance/text_verification.h"

#include <utility>

namespace boragedoor::instance {

text_verification::text_verification(net::event_loop& loop, endpoint_verifier& verifier,
                                     handler done)
    : loop_(loop), verifier_(verifier), done_(std::move(done)) {}

void text_verification::add(std::size_t item, const routing::endpoint_process& source,
                            std::string_view software) {
  queue& it = queues_[source];
  const bool scheduled = !it.waiting.empty() || !it.in_progress.empty();
  it.software = software;
  it.waiting.push_back(item);
  if (!scheduled) {
    // The other runs at the endpoint end in the same iteration of the loop.
    loop_.post([this, alive = alive_, source] {
      if (*alive) {
        start(source);
      }
    });
  }
}

void text_verification::start(const routing::endpoint_process& source) {
  queue& it = queues_[source];
  it.in_progress = std::exchange(it.waiting, {});
  verifier_.verify_registered({source, it.software},
                              [this, alive = alive_, source](process_verdict verdict) {
                                if (*alive) {
                                  finish(source, verdict);
                                }
                              });
}

void text_verification::finish(const routing::endpoint_process& source, process_verdict verdict) {
  queue& it = queues_[source];
  const auto items = std::exchange(it.in_progress, {});
  if (it.waiting.empty()) {
    queues_.erase(source);
  } else {
    start(source);
  }
  done_(source, items, verdict);
}

} // namespace boragedoor::instance
