#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/store_action.h"
#include "base/time.h"

namespace boragedoor {

using store_call = std::variant<store_put, store_get, store_delete>;

/// Numbers and counts the store calls of one object.
class store_caller {
public:
  store_put put(std::string key, std::string value, std::uint64_t expect_version);
  store_get get(std::string key);
  store_delete erase(std::string key, std::uint64_t expect_version = 0);

  [[nodiscard]] const store_call_counts& counts() const { return counts_; }

private:
  std::uint64_t last_ = 0;
  store_call_counts counts_;
};

/// Appends a call to a list of actions whose variant holds the three store calls.
template <class Action>
void append(std::vector<Action>& out, store_call call) {
  std::visit([&out](auto&& it) { out.emplace_back(std::forward<decltype(it)>(it)); },
             std::move(call));
}

/// Delay before a store call with an unknown outcome is repeated: doubles up to a maximum.
class backoff {
public:
  explicit backoff(duration first = milliseconds(200), duration most = seconds(5))
      : first_(first), most_(most) {}

  duration next();
  void reset() { delay_ = duration::zero(); }

private:
  duration first_;
  duration most_;
  duration delay_{};
};

/// One compare-and-swap write that is carried on until its outcome is certain.
///
/// An unknown outcome or a conflict is read back and compared. The value never changes, so a
/// write that takes effect late is recognised as this one. It is certain that the write took
/// effect (`written`), or that this value can no longer be written over `expect_version`
/// (`refused`).
class cas_write {
public:
  enum class state { busy, written, refused };

  cas_write(std::string key, std::string value, std::uint64_t expect_version,
            backoff delay = backoff());

  /// Issues the first call. Later calls come from the functions below.
  store_call start(store_caller& caller);
  /// Feeds a result; results of other calls are ignored. Returns the next call, if one is due now.
  std::optional<store_call> finish(time_point now, const store_write_result& result,
                                   store_caller& caller);
  std::optional<store_call> finish(time_point now, const store_read_result& result,
                                   store_caller& caller);
  std::optional<store_call> tick(time_point now, store_caller& caller);
  /// When `tick` has something to do.
  [[nodiscard]] std::optional<time_point> next_wakeup() const { return retry_at_; }

  [[nodiscard]] state status() const { return state_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] std::uint64_t expect_version() const { return expect_version_; }
  /// The key's version after `written`; after `refused` the version found, 0 if the key is missing.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// What was found instead, after `refused`; empty if the key is missing.
  [[nodiscard]] const std::string& found() const { return found_; }
  /// Whether the outcome had to be read back.
  [[nodiscard]] bool read_back() const { return read_back_; }

private:
  store_call write(store_caller& caller);
  store_call read(store_caller& caller);
  void wait(time_point now, bool read_next);
  void settle(state outcome, std::uint64_t version);

  std::string key_;
  std::string value_;
  std::uint64_t expect_version_;
  backoff delay_;
  state state_ = state::busy;
  std::uint64_t call_ = 0;
  std::uint64_t version_ = 0;
  std::string found_;
  std::optional<time_point> retry_at_;
  bool read_next_ = false;
  bool read_back_ = false;
};

} // namespace boragedoor
