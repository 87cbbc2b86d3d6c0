#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace boragedoor::instance {

/// A key of the durable store as it was last written.
struct stored_item {
  std::string key;
  std::string value;
  /// Store revision of the last change and of the creation.
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  /// Lease that the key is bound to; 0 for none.
  std::uint64_t lease = 0;
};

/// The revision that a key must have; 0 means that it must not exist.
struct expectation {
  std::string key;
  std::uint64_t revision = 0;
};

struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

/// A change that takes effect as a whole or not at all.
struct store_change {
  std::vector<expectation> expected;
  std::vector<stored_value> puts;
  std::vector<std::string> removed;
};

enum class store_status {
  ok,
  /// An expectation does not hold; nothing was done.
  conflict,
  /// The key, the lease or the history that was asked for does not exist.
  missing,
  /// The store says that nothing was done.
  refused,
  /// No answer: the call may have taken effect, or may do so seconds later.
  unknown,
};

struct commit_answer {
  store_status status = store_status::unknown;
  std::uint64_t revision = 0;
  /// After a conflict: the expected keys as they are, without those that do not exist.
  std::vector<stored_item> found;
};

struct read_answer {
  store_status status = store_status::unknown;
  stored_item item;
};

struct list_answer {
  store_status status = store_status::unknown;
  std::vector<stored_item> items;
  /// More items follow after the last one.
  bool more = false;
  /// Revision from which a watch may continue.
  std::uint64_t as_of = 0;
};

struct change_event {
  stored_item item;
  bool removed = false;
};

/// `missing` means that the history is gone and the prefix has to be listed again.
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

/// The durable key-value store of the platform. All calls answer exactly once, never before they
/// return. Reads are linearizable.
class durable_store {
public:
  virtual ~durable_store() = default;
  durable_store() = default;
  durable_store(const durable_store&) = delete;
  durable_store& operator=(const durable_store&) = delete;
  durable_store(durable_store&&) = delete;
  durable_store& operator=(durable_store&&) = delete;

  virtual void read(const std::string& key, std::function<void(read_answer)> done) = 0;
  /// Lists keys of a prefix in order, beginning behind `after` if it is not empty.
  virtual void list(const std::string& prefix, const std::string& after,
                    std::function<void(list_answer)> done) = 0;
  /// Waits up to `wait` for changes of a prefix behind a revision.
  virtual void watch(const std::string& prefix, std::uint64_t after, duration wait,
                     std::function<void(watch_answer)> done) = 0;
  virtual void commit(const store_change& change, std::function<void(commit_answer)> done) = 0;
  virtual void grant_lease(duration ttl, std::function<void(lease_answer)> done) = 0;
  virtual void keep_lease(std::uint64_t lease, std::function<void(lease_answer)> done) = 0;
  virtual void end_lease(std::uint64_t lease) = 0;
};

} // namespace boragedoor::instance
