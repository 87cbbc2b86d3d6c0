#include "bench/event_queue.h"

#include <algorithm>
#include <memory>
#include <tuple>

namespace boragedoor::bench {

bool event_queue::later(const entry& left, const entry& right) {
  return std::tie(left.when, left.order) > std::tie(right.when, right.order);
}

void event_queue::at(time_point when, action what) {
  entries_.push_back({std::max(when, now_), next_order_++, std::move(what)});
  std::push_heap(entries_.begin(), entries_.end(), later);
}

void event_queue::every(duration offset, duration period, action what) {
  auto shared = std::make_shared<action>(std::move(what));
  after(offset, [this, period, shared] {
    (*shared)();
    every(period, period, *shared);
  });
}

void event_queue::run_until(time_point end) {
  while (!entries_.empty() && entries_.front().when <= end) {
    std::pop_heap(entries_.begin(), entries_.end(), later);
    entry next = std::move(entries_.back());
    entries_.pop_back();
    now_ = next.when;
    next.what();
  }
  now_ = end;
}

} // namespace boragedoor::bench
