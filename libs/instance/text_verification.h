#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "instance/endpoint_verifier.h"
#include "jobs/job.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Verifies the processes that generated texts of one job's items. One call serves all items whose
/// runs ended together, for example by an endpoint's crash; later ones wait for the next call,
/// because a process may have been replaced since the first was sent.
class text_verification {
public:
  using handler = std::function<void(const routing::endpoint_process& source,
                                     std::span<const std::size_t> items, process_verdict verdict)>;

  /// `done` is called once for each item, and never after this object is destroyed.
  text_verification(net::event_loop& loop, endpoint_verifier& verifier, handler done);
  ~text_verification() { *alive_ = false; }
  text_verification(const text_verification&) = delete;
  text_verification& operator=(const text_verification&) = delete;
  text_verification(text_verification&&) = delete;
  text_verification& operator=(text_verification&&) = delete;

  /// Verifies that `source` ran the software that is believed to have generated an item's text.
  void add(std::size_t item, const routing::endpoint_process& source, std::string_view software);

private:
  struct queue {
    std::string software;
    std::vector<std::size_t> waiting;
    std::vector<std::size_t> in_progress;
  };

  void start(const routing::endpoint_process& source);
  void finish(const routing::endpoint_process& source, process_verdict verdict);

  net::event_loop& loop_;
  endpoint_verifier& verifier_;
  handler done_;
  std::map<routing::endpoint_process, queue> queues_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
