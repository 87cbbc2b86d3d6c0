#include "net/event_loop.h"

#include <csignal>
#include <deque>
#include <map>
#include <utility>

#include <event2/event.h>

namespace boragedoor::net {

namespace {

timeval to_timeval(duration delay) {
  if (delay < duration::zero()) {
    delay = duration::zero();
  }
  const auto whole = std::chrono::duration_cast<seconds>(delay);
  timeval value{};
  value.tv_sec = static_cast<decltype(value.tv_sec)>(whole.count());
  value.tv_usec = static_cast<decltype(value.tv_usec)>((delay - whole).count());
  return value;
}

} // namespace

struct event_loop::impl {
  event* wakeup = nullptr;
  std::deque<std::function<void()>> queue;
  std::map<std::uint64_t, std::unique_ptr<timer>> delayed;
  std::uint64_t next_delayed = 0;

  static void on_wakeup(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    auto& state = *static_cast<impl*>(self);
    // Calls posted by these calls run in the next iteration, so that sockets are not starved.
    std::deque<std::function<void()>> batch;
    batch.swap(state.queue);
    for (auto& fn : batch) {
      fn();
    }
  }
};

result<std::unique_ptr<event_loop>> event_loop::create() {
  // A peer that closes while we write must surface as a write error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  if (base == nullptr) {
    return error{error_code::io, "cannot create an event loop; check the descriptor limit"};
  }
  return std::unique_ptr<event_loop>(new event_loop(base));
}

event_loop::event_loop(event_base* base) : base_(base), impl_(std::make_unique<impl>()) {
  impl_->wakeup = event_new(base_, -1, EV_PERSIST, &impl::on_wakeup, impl_.get());
}

event_loop::~event_loop() {
  impl_->queue.clear();
  impl_->delayed.clear();
  event_free(impl_->wakeup);
  event_base_free(base_);
}

void event_loop::run() {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

bool event_loop::run_until(const std::function<bool()>& done, duration limit) {
  const time_point end = monotonic_now() + limit;
  // The wake-up bounds one wait, so that `done` is looked at even when no event arrives.
  constexpr duration longest_wait = milliseconds(10);
  timer tick(*this, [] {});
  tick.start_periodic(longest_wait);
  // `done` may have effects, so it is not asked again after it has returned true.
  while (!done()) {
    if (monotonic_now() >= end) {
      return false;
    }
    event_base_loop(base_, EVLOOP_ONCE);
  }
  return true;
}

void event_loop::stop() {
  event_base_loopbreak(base_);
}

void event_loop::post(std::function<void()> fn) {
  impl_->queue.push_back(std::move(fn));
  event_active(impl_->wakeup, EV_TIMEOUT, 1);
}

void event_loop::post_after(duration delay, std::function<void()> fn) {
  const auto key = impl_->next_delayed++;
  auto wait = std::make_unique<timer>(*this, [this, key, fn = std::move(fn)] {
    // The timer must not be destroyed inside its own callback.
    post([this, key] { impl_->delayed.erase(key); });
    fn();
  });
  wait->start_once(delay);
  impl_->delayed.emplace(key, std::move(wait));
}

time_point event_loop::now() const {
  return monotonic_now();
}

struct timer::impl {
  event* handle = nullptr;
  std::function<void()> fn;

  static void on_timeout(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    // The callback may destroy the timer, so it runs from a copy.
    const auto fn = static_cast<impl*>(self)->fn;
    fn();
  }
};

timer::timer(event_loop& loop, std::function<void()> fn) : impl_(std::make_unique<impl>()) {
  impl_->fn = std::move(fn);
  impl_->handle = event_new(loop.native(), -1, 0, &impl::on_timeout, impl_.get());
}

timer::~timer() {
  event_free(impl_->handle);
}

void timer::start_once(duration delay) {
  event_del(impl_->handle);
  event_assign(impl_->handle, event_get_base(impl_->handle), -1, 0, &impl::on_timeout, impl_.get());
  const timeval value = to_timeval(delay);
  event_add(impl_->handle, &value);
}

void timer::start_periodic(duration period) {
  event_del(impl_->handle);
  event_assign(impl_->handle, event_get_base(impl_->handle), -1, EV_PERSIST, &impl::on_timeout,
               impl_.get());
  const timeval value = to_timeval(period);
  event_add(impl_->handle, &value);
}

void timer::cancel() {
  event_del(impl_->handle);
}

struct signal_watch::impl {
  event* handle = nullptr;
  std::function<void()> fn;

  static void on_signal(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    static_cast<impl*>(self)->fn();
  }
};

signal_watch::signal_watch(event_loop& loop, int signal_number, std::function<void()> fn)
    : impl_(std::make_unique<impl>()) {
  impl_->fn = std::move(fn);
  impl_->handle = event_new(loop.native(), signal_number, EV_SIGNAL | EV_PERSIST, &impl::on_signal,
                            impl_.get());
  event_add(impl_->handle, nullptr);
}

signal_watch::~signal_watch() {
  event_free(impl_->handle);
}

} // namespace boragedoor::net
