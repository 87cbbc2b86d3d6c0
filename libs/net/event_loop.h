#pragma once

#include <functional>
#include <memory>

#include "base/result.h"
#include "base/time.h"

struct event_base;

namespace boragedoor::net {

/// One libevent loop. Not thread-safe: all tasks of a process live on one loop and one thread.
class event_loop {
public:
  /// Creates a loop. Fails with `io` when the system refuses the needed descriptors.
  static result<std::unique_ptr<event_loop>> create();

  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(event_loop&&) = delete;

  /// Runs until `stop` is called.
  void run();

  /// Runs until `done` returns true or `limit` has passed; returns the last value of `done`.
  bool run_until(const std::function<bool()>& done, duration limit);

  /// Ends `run` after the current callback.
  void stop();

  /// Calls `fn` from the loop, after the current callback. Calls keep their order.
  void post(std::function<void()> fn);

  /// Calls `fn` from the loop after `delay`. It cannot be cancelled; use `timer` for that.
  void post_after(duration delay, std::function<void()> fn);

  /// Present time of the monotonic clock.
  [[nodiscard]] time_point now() const;

  [[nodiscard]] event_base* native() const { return base_; }

private:
  explicit event_loop(event_base* base);

  struct impl;
  event_base* base_;
  std::unique_ptr<impl> impl_;
};

/// A one-shot or repeating timer that stops when it is destroyed.
class timer {
public:
  timer(event_loop& loop, std::function<void()> fn);
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  timer(timer&&) = delete;
  timer& operator=(timer&&) = delete;

  /// Fires once after `delay`; an earlier setting is replaced.
  void start_once(duration delay);

  /// Fires every `period`, first after one period.
  void start_periodic(duration period);

  /// Cancels the timer.
  void cancel();

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Calls a function when a signal (SIGTERM, SIGINT) reaches the process.
class signal_watch {
public:
  signal_watch(event_loop& loop, int signal_number, std::function<void()> fn);
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;
  signal_watch(signal_watch&&) = delete;
  signal_watch& operator=(signal_watch&&) = delete;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace boragedoor::net
