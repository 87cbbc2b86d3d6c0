#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "daemon/test_cluster.h"

namespace boragedoor::testing {

/// A call by a caller that stays open while the test goes on.
class open_call {
public:
  open_call(test_cluster& cluster, const net::address& target, const std::string& method,
            const std::string& path, const json& body, net::headers fields);

  /// A streamed completion.
  static open_call stream(test_cluster& cluster, std::size_t instance, const std::string& prompt,
                          int max_tokens, const std::string& key);
  /// A completion that is answered as a whole.
  static open_call whole(test_cluster& cluster, std::size_t instance, const std::string& prompt,
                         int max_tokens, const std::string& key);

  [[nodiscard]] bool done() const { return state_->done; }
  /// Status, whole body and failure; valid when done.
  [[nodiscard]] const http_answer& answer() const { return state_->answer; }
  /// Text of the stream so far.
  [[nodiscard]] std::string text() const;
  /// Weight version of each frame with text so far; 0 stands for a frame that names none.
  [[nodiscard]] std::vector<std::int64_t> frame_versions() const;
  /// Whether the stream has ended with its end marker.
  [[nodiscard]] bool is_whole() const;
  /// The "code" of the error frame that ended the stream, or of the error answer.
  [[nodiscard]] std::string error_code() const;

private:
  struct state {
    http_answer answer;
    bool done = false;
  };

  [[nodiscard]] std::vector<json> events() const;

  std::shared_ptr<state> state_ = std::make_shared<state>();
};

/// The text of a completion that was answered as a whole; empty for other answers.
std::string text_of(const http_answer& answer);

/// Calls of one kind that a stand-in has counted.
std::int64_t calls_of(const standin::stand_in& it, const std::string& kind);

/// Starts a fault, written as the body of POST /fault.
void start_fault(test_cluster& cluster, standin::stand_in& it, const json& body);

struct issued_key {
  std::string key;
  std::string id;
};

/// Issues a key at instance 0 and waits until it is in force on every instance.
issued_key issue(test_cluster& cluster, const std::string& workspace);

/// The instance that holds a shard by its own account, or -1.
int holder_of(test_cluster& cluster, std::size_t ask, const std::string& shard);

} // namespace boragedoor::testing
