#include "requests/attempt_tracker.h"

#include <algorithm>

namespace boragedoor::requests {

attempt_actions attempt_tracker::begin(time_point /*now*/, std::string attempt,
                                       std::uint64_t request, std::uint64_t connection,
                                       bool stream) {
  attempt_actions out;
  if (by_connection_.contains(connection) || attempts_.contains(attempt)) {
    // Two attempts on one connection could not be told apart if one is answered late.
    out.emplace_back(attempt_broken{request, attempt, "connection or attempt id is in use"});
    return out;
  }
  by_connection_[connection] = attempt;
  by_request_.emplace(request, attempt);
  attempts_.emplace(std::move(attempt), attempt_state{request, connection, stream, 0});
  return out;
}

void attempt_tracker::remove(const std::string& attempt) {
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

void attempt_tracker::close(std::uint64_t connection, std::string reason, attempt_actions& out) {
  const auto it = by_connection_.find(connection);
  if (it != by_connection_.end()) {
    const std::string attempt = it->second;
    out.emplace_back(attempt_broken{attempts_.find(attempt)->second.request, attempt, reason});
    remove(attempt);
  }
  out.emplace_back(close_connection{connection, std::move(reason)});
}

attempt_tracker::attempt_state* attempt_tracker::match(std::uint64_t connection,
                                                       std::string_view attempt, bool stream,
                                                       attempt_actions& out) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    close(connection, "answer to an attempt that is not running", out);
    return nullptr;
  }
  if (it->second.connection != connection) {
    // Crossed: the endpoint confuses its answers, so the other connection is not trusted either.
    const std::uint64_t other = it->second.connection;
    close(connection, "answer that belongs to another connection", out);
    close(other, "its answer came on another connection", out);
    return nullptr;
  }
  if (it->second.stream != stream) {
    close(connection, "answer of the wrong kind", out);
    return nullptr;
  }
  return &it->second;
}

void attempt_tracker::complete(std::string_view attempt, attempt_actions& out) {
  const auto it = attempts_.find(attempt);
  const std::uint64_t request = it->second.request;
  const std::string winner = it->first;
  remove(winner);
  out.emplace_back(answer_accepted{request, winner});
  attempt_actions cancelled = cancel_request({}, request);
  out.insert(out.end(), cancelled.begin(), cancelled.end());
}

attempt_actions attempt_tracker::answer(time_point /*now*/, std::uint64_t connection,
                                        std::string_view attempt) {
  attempt_actions out;
  if (match(connection, attempt, false, out) != nullptr) {
    complete(attempt, out);
  }
  return out;
}

attempt_actions attempt_tracker::frame(time_point /*now*/, std::uint64_t connection,
                                       const stream_frame& it) {
  attempt_actions out;
  attempt_state* state = match(connection, it.attempt, true, out);
  if (state == nullptr) {
    return out;
  }
  if (it.index != state->frames) {
    close(connection, "gap or repeat in a stream", out);
    return out;
  }
  ++state->frames;
  out.emplace_back(frame_accepted{state->request, it});
  return out;
}

attempt_actions attempt_tracker::end_of_stream(time_point /*now*/, std::uint64_t connection,
                                               std::string_view attempt, std::uint64_t frames) {
  attempt_actions out;
  const attempt_state* state = match(connection, attempt, true, out);
  if (state == nullptr) {
    return out;
  }
  if (frames != state->frames) {
    close(connection, "end of a stream with frames missing", out);
    return out;
  }
  complete(attempt, out);
  return out;
}

attempt_actions attempt_tracker::error_answer(time_point /*now*/, std::uint64_t connection,
                                              std::string_view attempt, std::string_view reason) {
  attempt_actions out;
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.connection != connection) {
    (void)match(connection, attempt, false, out);
    return out;
  }
  const std::string broken = it->first;
  out.emplace_back(attempt_broken{it->second.request, broken, std::string(reason)});
  remove(broken);
  return out;
}

attempt_actions attempt_tracker::connection_lost(time_point /*now*/, std::uint64_t connection,
                                                 std::string_view reason) {
  attempt_actions out;
  const auto it = by_connection_.find(connection);
  if (it != by_connection_.end()) {
    const std::string attempt = it->second;
    out.emplace_back(
        attempt_broken{attempts_.find(attempt)->second.request, attempt, std::string(reason)});
    remove(attempt);
  }
  return out;
}

attempt_actions attempt_tracker::cancel_request(time_point /*now*/, std::uint64_t request) {
  attempt_actions out;
  const auto [first, last] = by_request_.equal_range(request);
  std::vector<std::string> list;
  std::transform(first, last, std::back_inserter(list),
                 [](const auto& each) { return each.second; });
  for (const std::string& attempt : list) {
    const std::uint64_t connection = attempts_.find(attempt)->second.connection;
    remove(attempt);
    // Its answer may be under way already, and would meet the connection's next attempt.
    out.emplace_back(cancel_attempt{attempt, connection});
  }
  return out;
}

} // namespace boragedoor::requests
