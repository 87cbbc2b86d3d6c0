#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace boragedoor::standin {

/// How much of each prompt an engine keeps computed, in blocks. Block k of a prompt is named by
/// the hash of the prompt's first k * 64 bytes. Pure: the present time is an argument.
class prefix_cache {
public:
  static constexpr std::size_t block_bytes = 64;
  static constexpr std::int64_t block_tokens = 16;

  struct event_settings {
    /// How late events are published.
    duration lag = duration::zero();
    /// Each event whose sequence number is a multiple of this is never published; 0 loses none.
    std::int64_t lost_every = 0;
  };

  explicit prefix_cache(event_settings settings) : settings_(settings) {}

  /// Names of the whole blocks of a prompt, the shortest prefix first: hash64 of the prefix as 16
  /// hexadecimal digits.
  static std::vector<std::string> block_hashes(std::string_view prompt);

  /// Returns how many tokens of the prompt are held, and then holds all its blocks.
  std::int64_t use(std::string_view prompt, time_point now);

  /// Gives up the blocks that were not used for longest until at most `limit` tokens are held.
  void shrink(std::int64_t limit, time_point now);

  /// Gives up everything without publishing it, as a crash does.
  void clear();

  [[nodiscard]] std::int64_t tokens() const {
    return static_cast<std::int64_t>(blocks_.size()) * block_tokens;
  }

  /// Published events with a sequence number above `after`.
  [[nodiscard]] json events_after(std::int64_t after, time_point now) const;

  /// The chain of blocks up to `hash`, or null when it is not held.
  [[nodiscard]] json export_chain(const std::string& hash) const;

  /// Takes a chain as `export_chain` made it; returns how many blocks are new.
  std::int64_t import_chain(const json& chain, time_point now);

private:
  struct block {
    std::string parent;
    std::list<std::string>::iterator place;
  };

  struct event {
    std::int64_t sequence;
    time_point at;
    std::string hash;
    std::string_view kind;
  };

  std::int64_t hold(const std::vector<std::string>& chain, time_point now);
  void publish(const std::string& hash, std::string_view kind, time_point now);

  event_settings settings_;
  std::unordered_map<std::string, block> blocks_;
  // Hashes, the most recently used first.
  std::list<std::string> recent_;
  std::int64_t sequence_ = 0;
  std::deque<event> events_;
};

} // namespace boragedoor::standin
