#include "instance/duty_task.h"

#include <utility>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);

} // namespace

duty_task::duty_task(instance_context& context, member_task& members, retired_document confirm)
    : context_(context), members_(members), confirm_(std::move(confirm)),
      timer_(context.loop, [this] { tick(); }) {}

void duty_task::start() {
  timer_.start_periodic(tick_interval);
}

void duty_task::tick() {
  if (retiring_.empty() || call_open_ || !members_.permit(context_.loop.now())) {
    return;
  }
  const std::string instance = *retiring_.begin();
  store_change change;
  change.puts.push_back(confirm_({instance}));
  call_open_ = true;
  context_.store.commit(change, [this, instance](const commit_answer& out) {
    call_open_ = false;
    if (out.status == store_status::ok) {
      retiring_.erase(instance);
      context_.record(events::event_number::instance_retired, {}, {}, {{"retired", instance}});
    }
  });
}

} // namespace boragedoor::instance
