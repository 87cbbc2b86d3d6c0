#include "instance/duty_task.h"

#include <utility>

namespace boragedoor::instance {

namespace {

constexpr duration tick_interval = milliseconds(500);

} // namespace

duty_task::duty_task(instance_context& context, member_task& members, retirement_encoder encode)
    : context_(context), members_(members), encode_(std::move(encode)),
      timer_(context.loop, [this] { tick(); }) {}

void duty_task::start() {
  timer_.start_periodic(tick_interval);
}

void duty_task::tick() {
  if (retiring_.empty() || commit_in_progress_ || !members_.permit(context_.loop.now())) {
    return;
  }
  const std::string instance = *retiring_.begin();
  store_change change;
  change.puts.push_back(encode_({instance}));
  commit_in_progress_ = true;
  context_.store.commit(change, [this, instance](const commit_answer& answer) {
    commit_in_progress_ = false;
    if (answer.status == store_status::ok) {
      retiring_.erase(instance);
      context_.record(events::event_number::instance_retired, {}, {}, {{"retired", instance}});
    }
  });
}

} // namespace boragedoor::instance
