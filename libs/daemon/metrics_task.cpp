#include "daemon/metrics_task.h"

#include <sys/resource.h>

namespace boragedoor::daemon {

metrics_task::metrics_task(const daemon_context& context, const store::store_client& store,
                           const peer_task& peers, const completion_task& completions,
                           const service_task& services)
    : context_(context), store_(store), peers_(peers), completions_(completions),
      services_(services) {}

std::string metrics_task::to_text() const {
  auto& all = context_.metrics;
  for (const auto& [kind, n] : store_.call_counts()) {
    all.get_gauge("boragedoor_store_calls", "Calls to the store so far, by kind", {{"kind", kind}})
        .set(static_cast<double>(n));
  }
  all.get_gauge("boragedoor_control_bytes", "Bytes sent and received between instances so far")
      .set(static_cast<double>(peers_.control_bytes()));
  all.get_gauge("boragedoor_running_completions", "Completions without a whole answer")
      .set(static_cast<double>(completions_.running()));
  all.get_gauge("boragedoor_running_service_calls", "Service calls without an answer")
      .set(static_cast<double>(services_.running()));
  all.get_gauge("boragedoor_events_evicted", "Events that left the memory buffer")
      .set(static_cast<double>(context_.log.evicted()));
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds_of = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
  };
  all.get_gauge("boragedoor_processor_seconds", "Processor time of the process so far")
      .set(seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime));
  all.get_gauge("boragedoor_resident_kibibytes", "Largest resident memory of the process")
      .set(static_cast<double>(usage.ru_maxrss));
  return all.to_text();
}

} // namespace boragedoor::daemon
