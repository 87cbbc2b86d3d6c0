#include "requests/attempt_tracker.h"

#include <algorithm>

namespace boragedoor::requests {

attempt_actions attempt_tracker::begin(time_point /*now*/, std::string attempt,
                                       std::uint64_t request, std::uint64_t connection,
                                       bool stream) {
  attempt_actions actions;
  if (by_connection_.contains(connection) || attempts_.contains(attempt)) {
    // A late response could not be attributed to one of two attempts on the same connection.
    actions.emplace_back(
        attempt_failed{request, attempt, "connection or attempt id is already in use"});
    return actions;
  }
  by_connection_[connection] = attempt;
  by_request_.emplace(request, attempt);
  attempts_.emplace(std::move(attempt), attempt_state{request, connection, stream, 0});
  return actions;
}

void attempt_tracker::remove_attempt(const std::string& attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return;
  }
  by_connection_.erase(it->second.connection);
  const auto [first, last] = by_request_.equal_range(it->second.request);
  const auto entry =
      std::find_if(first, last, [&attempt](const auto& each) { return each.second == attempt; });
  if (entry != last) {
    by_request_.erase(entry);
  }
  attempts_.erase(it);
}

void attempt_tracker::fail_connection(std::uint64_t connection, std::string reason,
                                      attempt_actions& actions) {
  const auto it = by_connection_.find(connection);
  if (it != by_connection_.end()) {
    const std::string attempt = it->second;
    actions.emplace_back(attempt_failed{attempts_.find(attempt)->second.request, attempt, reason});
    remove_attempt(attempt);
  }
  actions.emplace_back(close_connection{connection, std::move(reason)});
}

attempt_tracker::attempt_state* attempt_tracker::match(std::uint64_t connection,
                                                       std::string_view attempt, bool stream,
                                                       attempt_actions& actions) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    fail_connection(connection, "response to an attempt that is not running", actions);
    return nullptr;
  }
  if (it->second.connection != connection) {
    // The endpoint mixed up its responses, so the other connection cannot be trusted either.
    const std::uint64_t other = it->second.connection;
    fail_connection(connection, "response to an attempt on another connection", actions);
    fail_connection(other, "response arrived on another connection", actions);
    return nullptr;
  }
  if (it->second.stream != stream) {
    fail_connection(connection, "response type (streamed or not) does not match the request",
                    actions);
    return nullptr;
  }
  return &it->second;
}

void attempt_tracker::complete_request(std::string_view attempt, attempt_actions& actions) {
  const auto it = attempts_.find(attempt);
  const std::uint64_t request = it->second.request;
  const std::string completed_attempt = it->first;
  remove_attempt(completed_attempt);
  actions.emplace_back(response_accepted{request, completed_attempt});
  attempt_actions cancelled = cancel_request({}, request);
  actions.insert(actions.end(), cancelled.begin(), cancelled.end());
}

attempt_actions attempt_tracker::response(time_point /*now*/, std::uint64_t connection,
                                          std::string_view attempt) {
  attempt_actions actions;
  if (match(connection, attempt, false, actions) != nullptr) {
    complete_request(attempt, actions);
  }
  return actions;
}

attempt_actions attempt_tracker::frame(time_point /*now*/, std::uint64_t connection,
                                       const stream_frame& received) {
  attempt_actions actions;
  attempt_state* state = match(connection, received.attempt, true, actions);
  if (state == nullptr) {
    return actions;
  }
  if (received.index != state->frames) {
    fail_connection(connection, "stream frame missing or repeated", actions);
    return actions;
  }
  ++state->frames;
  actions.emplace_back(frame_accepted{state->request, received});
  return actions;
}

attempt_actions attempt_tracker::end_of_stream(time_point /*now*/, std::uint64_t connection,
                                               std::string_view attempt, std::uint64_t frames) {
  attempt_actions actions;
  const attempt_state* state = match(connection, attempt, true, actions);
  if (state == nullptr) {
    return actions;
  }
  if (frames != state->frames) {
    fail_connection(connection, "end marker has a wrong frame count", actions);
    return actions;
  }
  complete_request(attempt, actions);
  return actions;
}

attempt_actions attempt_tracker::error_response(time_point /*now*/, std::uint64_t connection,
                                                std::string_view attempt, std::string_view reason) {
  attempt_actions actions;
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.connection != connection) {
    (void)match(connection, attempt, false, actions);
    return actions;
  }
  const std::string failed = it->first;
  actions.emplace_back(attempt_failed{it->second.request, failed, std::string(reason)});
  remove_attempt(failed);
  return actions;
}

attempt_actions attempt_tracker::connection_lost(time_point /*now*/, std::uint64_t connection,
                                                 std::string_view reason) {
  attempt_actions actions;
  const auto it = by_connection_.find(connection);
  if (it != by_connection_.end()) {
    const std::string attempt = it->second;
    actions.emplace_back(
        attempt_failed{attempts_.find(attempt)->second.request, attempt, std::string(reason)});
    remove_attempt(attempt);
  }
  return actions;
}

attempt_actions attempt_tracker::cancel_request(time_point /*now*/, std::uint64_t request) {
  attempt_actions actions;
  const auto [first, last] = by_request_.equal_range(request);
  std::vector<std::string> list;
  std::transform(first, last, std::back_inserter(list),
                 [](const auto& each) { return each.second; });
  for (const std::string& attempt : list) {
    const std::uint64_t connection = attempts_.find(attempt)->second.connection;
    remove_attempt(attempt);
    // The caller must not send another attempt on this connection: a response already in transit
    // would arrive there and fail it.
    actions.emplace_back(cancel_attempt{attempt, connection});
  }
  return actions;
}

} // namespace boragedoor::requests
