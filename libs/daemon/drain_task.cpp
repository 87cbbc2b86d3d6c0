#include "daemon/drain_task.h"

#include <utility>

namespace boragedoor::daemon {

namespace {

constexpr duration tick_period = milliseconds(50);

} // namespace

drain_task::drain_task(const daemon_context& context, hooks wanted)
    : context_(context), hooks_(std::move(wanted)), timer_(context.loop, [this] { tick(); }) {}

void drain_task::start() {
  if (phase_ != phase::idle) {
    finish();
    return;
  }
  phase_ = phase::announced;
  started_ = context_.now();
  events::event it;
  it.number = events::event_number::drain_started;
  context_.record(std::move(it));
  hooks_.leave_lookup();
  timer_.start_periodic(tick_period);
}

void drain_task::tick() {
  const duration passed = context_.now() - started_;
  const bool overdue = passed >= context_.settings.timing.drain_limit;
  if (phase_ == phase::announced) {
    // Callers may go on using an answer of the lookup for as long as it said.
    const bool forgotten = passed >= context_.settings.timing.address_keep;
    if (overdue || (forgotten && hooks_.open_requests() == 0)) {
      phase_ = phase::releasing;
      hooks_.release_shards();
    }
  }
  if (phase_ == phase::releasing &&
      (overdue ||
       (hooks_.shards_released() && hooks_.usage_confirmed() && hooks_.open_requests() == 0))) {
    finish();
  }
}

void drain_task::finish() {
  if (phase_ == phase::finished) {
    return;
  }
  phase_ = phase::finished;
  timer_.cancel();
  events::event it;
  it.number = events::event_number::drain_finished;
  it.details["open_requests"] = hooks_.open_requests();
  context_.record(std::move(it));
  hooks_.finished();
}

} // namespace boragedoor::daemon
