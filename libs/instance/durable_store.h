#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace boragedoor::instance {

/// A key of the durable store with its latest value.
struct stored_item {
  std::string key;
  std::string value;
  /// Store revisions of the last change and of the creation of the key.
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  /// Lease that the key is bound to; 0 for none.
  std::uint64_t lease = 0;
};

/// A commit precondition: the revision that a key must have; 0 if the key must not exist.
struct expectation {
  std::string key;
  std::uint64_t revision = 0;
};

struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

/// A change that is applied atomically.
struct store_change {
  std::vector<expectation> expected;
  std::vector<stored_value> puts;
  std::vector<std::string> removed;
};

enum class store_status {
  ok,
  /// An expected revision does not match; nothing was changed.
  conflict,
  /// The requested key, lease or history does not exist.
  missing,
  /// The call was not executed: the store rejected it or could not be reached.
  refused,
  /// No response: the call may have taken effect, or may still do so seconds later.
  unknown,
};

struct commit_answer {
  store_status status = store_status::unknown;
  std::uint64_t revision = 0;
  /// After a conflict: the current items of the expected keys that exist.
  std::vector<stored_item> found;
};

struct read_answer {
  store_status status = store_status::unknown;
  stored_item item;
};

struct list_answer {
  store_status status = store_status::unknown;
  std::vector<stored_item> items;
  /// Whether more items follow the last one.
  bool more = false;
  /// Revision from which a watch can continue.
  std::uint64_t as_of = 0;
};

struct change_event {
  stored_item item;
  bool removed = false;
};

/// `missing` means that the history is no longer available and the prefix must be listed again.
struct watch_answer {
  store_status status = store_status::unknown;
  std::vector<change_event> events;
  std::uint64_t as_of = 0;
};

struct lease_answer {
  store_status status = store_status::unknown;
  std::uint64_t lease = 0;
  duration ttl{};
};

/// The durable key-value store of the platform. Each call invokes its callback exactly once, never
/// before the call returns. Reads are linearizable.
class durable_store {
public:
  virtual ~durable_store() = default;
  durable_store() = default;
  durable_store(const durable_store&) = delete;
  durable_store& operator=(const durable_store&) = delete;
  durable_store(durable_store&&) = delete;
  durable_store& operator=(durable_store&&) = delete;

  virtual void read(const std::string& key, std::function<void(read_answer)> done) = 0;
  /// Lists keys of a prefix in order, starting after the key `after` if it is not empty.
  virtual void list(const std::string& prefix, const std::string& after,
                    std::function<void(list_answer)> done) = 0;
  /// Waits up to `wait` for changes of a prefix after the revision `after`.
  virtual void watch(const std::string& prefix, std::uint64_t after, duration wait,
                     std::function<void(watch_answer)> done) = 0;
  virtual void commit(const store_change& change, std::function<void(commit_answer)> done) = 0;
  virtual void grant_lease(duration ttl, std::function<void(lease_answer)> done) = 0;
  virtual void keep_lease(std::uint64_t lease, std::function<void(lease_answer)> done) = 0;
  virtual void end_lease(std::uint64_t lease) = 0;
};

} // namespace boragedoor::instance
