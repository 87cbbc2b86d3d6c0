#include "daemon/store_executor.h"

#include <utility>

namespace boragedoor::daemon {

namespace {

store_write_result to_result(std::uint64_t call, const store::write_result& it) {
  switch (it.outcome) {
  case store::write_outcome::ok:
    return {call, write_outcome::ok, it.version};
  case store::write_outcome::conflict:
    return {call, write_outcome::conflict, it.version};
  case store::write_outcome::lease_missing:
  case store::write_outcome::unknown:
  case store::write_outcome::not_executed:
    break;
  }
  // State machines repeat a call that had no effect in the same way as one without an answer.
  return {call, write_outcome::unknown, 0};
}

} // namespace

void store_executor::run(const store_put& action, write_done done) {
  store::write_request request;
  request.key = action.key;
  request.value = action.value;
  request.expect_version = action.expect_version;
  client_.write(std::move(request), [call = action.call, done = std::move(done)](auto it) {
    done(to_result(call, it));
  });
}

void store_executor::run(const store_delete& action, write_done done) {
  std::optional<std::uint64_t> expect;
  if (action.expect_version != 0) {
    expect = action.expect_version;
  }
  client_.remove(action.key, expect, [call = action.call, done = std::move(done)](auto it) {
    done(to_result(call, it));
  });
}

void store_executor::run(const store_get& action, read_done done) {
  client_.get(action.key, [call = action.call, done = std::move(done)](const auto& it) {
    store_read_result answer;
    answer.call = call;
    if (it) {
      const auto& found = it.value();
      answer.outcome = found ? read_outcome::found : read_outcome::missing;
      if (found) {
        answer.value = found->value;
        answer.version = found->version;
      }
    }
    done(answer);
  });
}

} // namespace boragedoor::daemon
