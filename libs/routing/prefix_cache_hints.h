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

/// Hash of a prompt's text up to the end of a block. Equal hashes are taken as equal prefixes.
using prefix_hash = std::uint64_t;

/// Bytes of prompt text per block.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Returns the prefix hashes of the prompt's whole blocks, shortest prefix first, at most `limit`.
/// `scope` (model and adapter) separates equal texts of different models.
std::vector<prefix_hash> prefix_hashes(std::string_view scope, std::string_view prompt,
                                       std::size_t limit = 64);

/// An event that an engine publishes when its prefix cache stores or evicts a prefix.
struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = true;
  prefix_hash prefix = 0;
};

struct prefix_cache_options {
  /// Maximum number of hints for all endpoints. The least recently confirmed is evicted first.
  std::size_t capacity = 20'000;
  /// Time in which the confidence in a hint halves without confirmation.
  duration half_life = seconds(60);
  /// Factor on the confidence in an endpoint's hints for each gap in its event sequence.
  double gap_factor = 0.5;
};

/// Estimates the contents of the engines' prefix caches. Each entry has a confidence, because
/// events arrive late and with gaps, and caches evict entries silently.
class prefix_cache_hints {
public:
  /// Fails with `invalid_argument` when the capacity is 0, the half-life is not positive or the gap
  /// factor is outside 0..1.
  static result<prefix_cache_hints> create(const prefix_cache_options& options);

  void apply(std::string_view endpoint, const cache_event& event, time_point now);
  /// Adds hints for the prefixes of a request that was sent to the endpoint, which will cache them.
  void record_dispatch(std::string_view endpoint, std::span<const prefix_hash> prefix,
                       time_point now);
  /// Drops all hints of an endpoint, for example after a crash or a weight swap.
  void forget(std::string_view endpoint);

  /// Expected share (0..1) of the prompt's blocks that the endpoint has cached.
  [[nodiscard]] double expected_cached_share(std::string_view endpoint,
                                             std::span<const prefix_hash> prefix,
                                             time_point now) const;
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
    std::list<key>::iterator lru_position;
  };
  struct event_stream {
    std::uint32_t number = 0;
    std::uint64_t last_sequence = 0;
    std::uint32_t gaps = 0;
  };

  explicit prefix_cache_hints(const prefix_cache_options& options) : options_(options) {}
  event_stream& event_stream_of(std::string_view endpoint);
  void confirm(const event_stream& stream, prefix_hash prefix, time_point now);
  void erase(const key& it);

  prefix_cache_options options_;
  std::unordered_map<key, hint, key_hash> entries_;
  /// Keys of `entries_`, least recently confirmed first.
  std::list<key> lru_;
  std::map<std::string, event_stream, std::less<>> event_streams_;
  std::uint32_t next_endpoint_number_ = 1;
  std::uint64_t gaps_ = 0;
};

} // namespace boragedoor::routing
