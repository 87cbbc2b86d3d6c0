#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "http1/client.h"
#include "http1/exchange.h"
#include "instance/durable_store.h"
#include "instance/watch_mirror.h"
#include "net/event_loop.h"

namespace boragedoor::instance {

/// Asks the store itself, for this instance alone.
struct watch_directly {
  friend bool operator==(const watch_directly&, const watch_directly&) = default;
};
/// Asks the store and answers the calls of other instances.
struct watch_for_others {
  friend bool operator==(const watch_for_others&, const watch_for_others&) = default;
};
/// Asks another instance that watches for others.
struct watch_through {
  net::address source;
  friend bool operator==(const watch_through&, const watch_through&) = default;
};
using watch_role = std::variant<watch_directly, watch_for_others, watch_through>;

/// Pause between the answer to a watch and the next one. Each change of a watched key costs the
/// store one call an instance that watches it, so the more such instances there are, the more
/// changes share a call.
duration watch_pause_for(const watch_role& role, std::size_t instances);

/// The store, with the lists and watches of some prefixes shared between instances. All other calls
/// go to the store as they are.
///
/// An instance that does not answer, or that has not heard from the store for too long, is not
/// asked for a while; the store is asked instead. Revisions of the store order all answers, so it
/// does not matter which of the two an answer comes from.
class shared_store : public durable_store {
public:
  shared_store(net::event_loop& loop, durable_store& store, std::vector<std::string> prefixes);
  ~shared_store() override;
  shared_store(const shared_store&) = delete;
  shared_store& operator=(const shared_store&) = delete;
  shared_store(shared_store&&) = delete;
  shared_store& operator=(shared_store&&) = delete;

  /// Returns whether the role is another one than before.
  bool set_role(watch_role role);
  /// Answers a call of another instance. False: the call is not one of those.
  bool answer(const std::shared_ptr<http1::exchange>& from);

  void read(const std::string& key, std::function<void(read_answer)> done) override;
  void list(const std::string& prefix, const std::string& after,
            std::function<void(list_answer)> done) override;
  void watch(const std::string& prefix, std::uint64_t after, duration wait,
             std::function<void(watch_answer)> done) override;
  void commit(const store_change& change, std::function<void(commit_answer)> done) override;
  void grant_lease(duration ttl, std::function<void(lease_answer)> done) override;
  void keep_lease(std::uint64_t lease, std::function<void(lease_answer)> done) override;
  void end_lease(std::uint64_t lease) override;

private:
  /// A watch of another instance that waits for changes.
  struct waiting_watch {
    std::uint64_t after = 0;
    std::shared_ptr<http1::exchange> from;
  };
  struct shared_prefix {
    watch_mirror mirror;
    std::map<std::uint64_t, waiting_watch> waiting;
    /// Newest revision that this instance was told, by whomever.
    std::uint64_t seen = 0;
  };

  shared_prefix* find(std::string_view prefix);
  [[nodiscard]] const net::address* source(time_point now) const;
  void ask(std::string target, duration wait, std::function<void(std::optional<std::string>)> done);
  void list_directly(const std::string& prefix, const std::string& after,
                     std::function<void(list_answer)> done);
  void watch_store(const std::string& prefix, std::uint64_t after, duration wait,
                   std::function<void(watch_answer)> done);
  void take_watch_answer(shared_prefix& of, const watch_answer& it);
  void answer_watch(shared_prefix& of, std::uint64_t after, duration wait,
                    const std::shared_ptr<http1::exchange>& from);
  void answer_waiting(shared_prefix& of);
  void end_waiting(shared_prefix& of, std::uint64_t id);

  net::event_loop& loop_;
  durable_store& store_;
  http1::client calls_;
  std::map<std::string, shared_prefix, std::less<>> prefixes_;
  watch_role role_ = watch_directly{};
  /// Grows with each change of the role: answers to calls of an earlier role are not copied.
  std::uint64_t role_number_ = 0;
  time_point source_set_aside_until_{};
  std::uint64_t last_waiting_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
