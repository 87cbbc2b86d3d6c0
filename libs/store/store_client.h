#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sigc++/sigc++.h>

#include "base/result.h"
#include "base/time.h"
#include "net/http_client.h"

namespace boragedoor::store {

/// Largest value that the store takes, in bytes.
inline constexpr std::size_t max_value_bytes = 1024UL * 1024;

/// A key with its value and the store revision of its last change.
struct entry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool deleted = false;
};

/// The entries below a prefix as of one store revision.
struct listing {
  std::uint64_t revision = 0;
  std::vector<entry> entries;
};

/// How a write ended. `unknown` means that it may or may not have taken effect; `lease_missing`,
/// that the lease to attach the key to does not exist.
enum class write_outcome { ok, conflict, lease_missing, unknown, not_executed };

struct write_result {
  write_outcome outcome = write_outcome::unknown;
  /// New version after `ok`, current version (0: no such key) after `conflict`, else 0.
  std::uint64_t version = 0;
};

/// A write with its condition.
struct write_request {
  std::string key;
  std::string value;
  /// Version that the key must have; 0 means that it must not exist; nothing sets no condition.
  std::optional<std::uint64_t> expect_version;
  /// Lease that the key is attached to; empty for none.
  std::string lease;
};

/// Client of the platform's key-value store. Each method makes exactly one call, except
/// `write_settled`. Callbacks come from the event loop.
class store_client {
public:
  store_client(net::event_loop& loop, net::http_client& http, net::address target);

  /// Reads a key; an empty optional means that it does not exist.
  void get(const std::string& key, std::function<void(result<std::optional<entry>>)> done);
  void list(const std::string& prefix, std::function<void(result<listing>)> done);

  /// Waits for changes after a revision. Fails with `not_found` when the history is gone, and the
  /// caller must list again.
  void watch(const std::string& prefix, std::uint64_t after, duration wait,
             std::function<void(result<listing>)> done);

  void write(write_request request, std::function<void(write_result)> done);

  /// Writes, and after an unknown outcome reads back up to `read_back_attempts` times. The value
  /// must be unique to this write: reading it back proves that the write took effect.
  void write_settled(write_request request, std::function<void(write_result)> done);

  void remove(const std::string& key, std::optional<std::uint64_t> expect_version,
              std::function<void(write_result)> done);

  void create_lease(duration ttl, std::function<void(result<std::string>)> done);
  /// Fails with `not_found` when the lease has expired.
  void renew_lease(const std::string& lease, std::function<void(result<void>)> done);
  void drop_lease(const std::string& lease, std::function<void(result<void>)> done);

  /// Emitted when the store stops answering (false) and when it answers again (true).
  sigc::signal<void(bool)>& availability_changed() { return availability_changed_; }
  [[nodiscard]] bool is_available() const { return available_; }

  /// Calls made so far by kind, for the budget in docs/CAPACITY.md.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& call_counts() const { return calls_; }

private:
  using reply_handler = std::function<void(result<net::http_reply>, bool nothing_sent)>;

  void call(const char* kind, std::string method, std::string path, std::string body,
            duration timeout, const reply_handler& done);
  void note_availability(bool available);
  void read_back(write_request request, int attempts_left, std::function<void(write_result)> done);

  net::event_loop& loop_;
  net::http_client& http_;
  net::address target_;
  std::map<std::string, std::uint64_t> calls_;
  sigc::signal<void(bool)> availability_changed_;
  bool available_ = true;
};

} // namespace boragedoor::store
