#include "base/cas_write.h"

#include <algorithm>

namespace boragedoor {

store_put store_caller::put(std::string key, std::string value, std::uint64_t expect_version) {
  ++counts_.puts;
  return {++last_, std::move(key), std::move(value), expect_version};
}

store_get store_caller::get(std::string key) {
  ++counts_.gets;
  return {++last_, std::move(key)};
}

store_delete store_caller::erase(std::string key, std::uint64_t expect_version) {
  ++counts_.deletes;
  return {++last_, std::move(key), expect_version};
}

duration backoff::next() {
  delay_ = delay_ == duration::zero() ? first_ : std::min(delay_ * 2, most_);
  return delay_;
}

cas_write::cas_write(std::string key, std::string value, std::uint64_t expect_version,
                     backoff delay)
    : key_(std::move(key)), value_(std::move(value)), expect_version_(expect_version),
      delay_(delay) {}

store_call cas_write::start(store_caller& caller) {
  return write(caller);
}

store_call cas_write::write(store_caller& caller) {
  store_put put = caller.put(key_, value_, expect_version_);
  call_ = put.call;
  return put;
}

store_call cas_write::read(store_caller& caller) {
  read_back_ = true;
  store_get get = caller.get(key_);
  call_ = get.call;
  return get;
}

void cas_write::wait(time_point now, bool read_next) {
  call_ = 0;
  read_next_ = read_next;
  retry_at_ = now + delay_.next();
}

void cas_write::settle(state outcome, std::uint64_t version) {
  call_ = 0;
  state_ = outcome;
  version_ = version;
}

std::optional<store_call> cas_write::finish(time_point now, const store_write_result& result,
                                            store_caller& caller) {
  if (state_ != state::busy || call_ == 0 || result.call != call_) {
    return std::nullopt;
  }
  if (result.outcome == write_outcome::ok) {
    settle(state::written, result.version);
    return std::nullopt;
  }
  if (result.outcome == write_outcome::unknown) {
    wait(now, true);
    return std::nullopt;
  }
  // Even the first answer may be a conflict with this very write, if a layer below repeated it.
  return read(caller);
}

std::optional<store_call> cas_write::finish(time_point now, const store_read_result& result,
                                            store_caller& /*caller*/) {
  if (state_ != state::busy || call_ == 0 || result.call != call_) {
    return std::nullopt;
  }
  const bool found = result.outcome == read_outcome::found;
  const std::uint64_t version = found ? result.version : 0;
  if (result.outcome == read_outcome::unknown) {
    wait(now, true);
  } else if (version == expect_version_) {
    // Not applied so far. The same value is written again: if both arrive, one of them fails.
    wait(now, false);
  } else if (found && result.value == value_) {
    settle(state::written, version);
  } else {
    found_ = found ? result.value : std::string();
    settle(state::refused, version);
  }
  return std::nullopt;
}

std::optional<store_call> cas_write::tick(time_point now, store_caller& caller) {
  if (state_ != state::busy || !retry_at_ || now < *retry_at_) {
    return std::nullopt;
  }
  retry_at_.reset();
  return read_next_ ? read(caller) : write(caller);
}

} // namespace boragedoor
