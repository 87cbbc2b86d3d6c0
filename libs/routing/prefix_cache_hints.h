#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace boragedoor::routing {

/// Hash of a prompt's text up to the end of one block; equal hashes mean equal prefixes.
using prefix_hash = std::uint64_t;

/// Bytes of prompt text that one prefix hash adds.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Returns the hashes of the prompt's whole blocks, shortest prefix first, at most `limit`.
/// `scope` (model and adapter) keeps equal texts of other models apart.
std::vector<prefix_hash> prefix_hashes(std::string_view scope, std::string_view prompt,
                                       std::size_t limit = 64);

/// A cache event as an engine publishes it.
struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = true;
  prefix_hash prefix = 0;
};

struct prefix_cache_options {
  /// Hints over all endpoints; the least recently confirmed one goes first.
  std::size_t capacity = 20'000;
  /// The confidence in a hint halves within this time without confirmation.
  duration half_life = seconds(60);
  /// Factor on the confidence in an endpoint's hints for each gap in its events.
  double gap_factor = 0.5;
};

/// What this instance believes the engines' prefix caches hold. Events come late and with gaps and
/// caches drop entries silently, so this is never more than a hint with a confidence.
class prefix_cache_hints {
public:
  /// Fails with `invalid_argument` on a zero capacity or half-life or a factor outside 0..1.
  static result<prefix_cache_hints> create(const prefix_cache_options& options);

  void apply(std::string_view endpoint, const cache_event& it, time_point now);
  /// Notes that a request with this prefix went to the endpoint, which then caches it.
  void note_dispatch(std::string_view endpoint, std::span<const prefix_hash> prefix,
                     time_point now);
  /// Forgets an endpoint, for example after a crash or a weight swap.
  void forget(std::string_view endpoint);

  /// Expected share (0..1) of the prompt's blocks that the endpoint has cached.
  [[nodiscard]] double expected_share(std::string_view endpoint,
                                      std::span<const prefix_hash> prefix, time_point now) const;
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::uint64_t gaps() const { return gaps_; }

private:
  struct key {
    std::uint32_t endpoint = 0;
    prefix_hash prefix = 0;
    friend bool operator==(const key&, const key&) = default;
  };
  struct key_hash {
    std::size_t operator()(const key& it) const;
  };
  struct hint {
    time_point confirmed;
    std::uint32_t gaps_seen = 0;
    std::list<key>::iterator age;
  };
  struct source {
    std::uint32_t number = 0;
    std::uint64_t last_sequence = 0;
    std::uint32_t gaps = 0;
  };

  explicit prefix_cache_hints(const prefix_cache_options& options) : options_(options) {}
  source& source_of(std::string_view endpoint);
  void confirm(const source& from, prefix_hash prefix, time_point now);
  void erase(const key& it);

  prefix_cache_options options_;
  std::unordered_map<key, hint, key_hash> entries_;
  /// Least recently confirmed first.
  std::list<key> ages_;
  std::map<std::string, source, std::less<>> sources_;
  std::uint32_t next_source_ = 1;
  std::uint64_t gaps_ = 0;
};

} // namespace boragedoor::routing
