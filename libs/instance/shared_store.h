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

/// This instance watches the store itself and serves no other instance.
struct watch_directly {
  friend bool operator==(const watch_directly&, const watch_directly&) = default;
};
/// This instance serves the list and watch calls of the other instances of its data centre. It
/// sends its own to `upstream`, which watches for all data centres, or watches the store itself if
/// it is that instance.
struct watch_for_others {
  std::optional<net::address> upstream{};
  friend bool operator==(const watch_for_others&, const watch_for_others&) = default;
};
/// This instance sends its list and watch calls to `source`, which watches for others.
struct watch_through {
  net::address source;
  friend bool operator==(const watch_through&, const watch_through&) = default;
};
using watch_role = std::variant<watch_directly, watch_for_others, watch_through>;

/// Returns the pause between a watch response and the next watch call. Each change of a watched key
/// costs the store one call per watching instance. The pause of an instance that watches directly
/// therefore grows with the number of instances, so that one call returns more changes.
duration watch_pause_for(const watch_role& role, std::size_t instances);

/// Shares the list and watch calls for some prefixes between instances. All other calls are
/// forwarded to the store unchanged.
///
/// One instance calls the store, one in each data centre calls that one, and the others call the
/// one in their data centre. An answer states how long ago the store confirmed it, so a copy of a
/// copy is withheld as early as the first one.
///
/// If the source instance does not respond, or the store has not confirmed its mirror recently, it
/// is not called for a retry delay and the store is called instead. Store revisions order all
/// responses, so responses from the source and from the store can be mixed.
class shared_store : public durable_store {
public:
  shared_store(net::event_loop& loop, durable_store& store, std::vector<std::string> prefixes,
               std::shared_ptr<http1::byte_budget> budget = nullptr);
  ~shared_store() override;
  shared_store(const shared_store&) = delete;
  shared_store& operator=(const shared_store&) = delete;
  shared_store(shared_store&&) = delete;
  shared_store& operator=(shared_store&&) = delete;

  /// Returns true if the role changed.
  bool set_role(watch_role role);
  /// Handles a list or watch call from another instance. Returns false for any other call.
  bool answer(const std::shared_ptr<http1::exchange>& exchange);

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
  /// A watch call from another instance that has no response yet.
  struct pending_watch {
    std::uint64_t after = 0;
    std::shared_ptr<http1::exchange> exchange;
    time_point ends_at{};
    /// The caller serves the other instances of its data centre, so it needs to know when the store
    /// confirms the copy.
    bool serves_others = false;
  };
  struct shared_prefix {
    watch_mirror mirror;
    std::map<std::uint64_t, pending_watch> pending;
    /// Highest revision received from the store or from another instance.
    std::uint64_t last_revision = 0;
    /// When the source is called again for this prefix, after it had no confirmed copy.
    time_point source_retry_at{};
  };

  shared_prefix* find(std::string_view prefix);
  /// An answer of the source.
  struct source_answer {
    /// Empty if the source no longer has the history that the call needs.
    std::string message;
    /// How long before its answer the store confirmed the copy of the source.
    duration age{};
  };

  [[nodiscard]] bool serves_others() const {
    return std::holds_alternative<watch_for_others>(role_);
  }
  /// The instance that the role names, also while it is not called.
  [[nodiscard]] const net::address* assigned_source() const;
  /// The instance to call for a prefix; nullptr if the store is to be called.
  [[nodiscard]] const net::address* source(const shared_prefix& entry, time_point now) const;
  using source_callback = std::function<void(std::optional<source_answer>)>;

  void call_source(shared_prefix& entry, std::string target, duration wait, source_callback done);
  /// Calls the source again shortly if it was assigned just now. Returns false if it was not.
  bool retry_source(shared_prefix& entry, const net::address& address, const std::string& target,
                    duration wait, const source_callback& done);
  void on_source_failure(shared_prefix& entry, const net::address& address, int status,
                         const source_callback& done);
  void list_store(const std::string& prefix, const std::string& after,
                  std::function<void(list_answer)> done);
  /// Answers a watch call so that its caller lists the keys.
  void request_list(std::function<void(watch_answer)> done);
  void watch_store(const std::string& prefix, std::uint64_t after, duration wait,
                   std::function<void(watch_answer)> done);
  void apply_watch_answer(shared_prefix& entry, const watch_answer& it, const call_times& times);
  /// Whether the copy may be served to other instances.
  [[nodiscard]] bool is_fresh(const shared_prefix& entry) const;
  [[nodiscard]] http1::response with_age(const shared_prefix& entry, http1::response it) const;
  void answer_watch(shared_prefix& entry, pending_watch call);
  /// Ends a pending watch when its time is over, or when the copy is not fresh any more.
  void schedule_end(shared_prefix& entry, std::uint64_t id);
  void answer_pending(shared_prefix& entry);
  void end_pending(shared_prefix& entry, std::uint64_t id);

  net::event_loop& loop_;
  durable_store& store_;
  http1::client client_;
  std::map<std::string, shared_prefix, std::less<>> prefixes_;
  watch_role role_ = watch_directly{};
  /// Incremented with each role change. Responses to calls made in an earlier role do not update
  /// the mirror or the retry time of the source.
  std::uint64_t role_generation_ = 0;
  /// When the source was assigned.
  time_point source_since_{};
  /// When the source is called again, after it did not respond.
  time_point source_retry_at_{};
  std::uint64_t last_pending_id_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::instance
