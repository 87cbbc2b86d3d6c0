#include "instance/crash_task.h"

#include "instance/call_limits.h"

namespace boragedoor::instance {

void crash_task::check(const std::string& request, const std::string& fingerprint,
                       const endpoint_process& process) {
  const dispatch::endpoint_entry* entry = context_.endpoints.find(process.endpoint);
  if (entry == nullptr || entry->process_start_ms != process.start_ms) {
    record_crash(request, fingerprint, process);
    return;
  }
  context_.calls.probe(entry->address, connect_timeout,
                       [this, alive = alive_, request, fingerprint, process](bool connected) {
                         if (*alive && !connected) {
                           record_crash(request, fingerprint, process);
                         }
                       });
}

void crash_task::record_crash(const std::string& request, const std::string& fingerprint,
                              const endpoint_process& process) {
  context_.record(events::event_number::endpoint_crashed, request, process.endpoint,
                  {{"fingerprint", fingerprint}, {"process", process.start_ms}});
}

} // namespace boragedoor::instance
