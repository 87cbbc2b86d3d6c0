#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "ledger/sample_table.h"

namespace boragedoor::ledger {

/// The complete groups of one batch, with their samples encoded as JSON.
struct batch_body {
  std::vector<std::string> groups;
  std::string samples;
  std::uint32_t count = 0;
  /// Lowest weight version of any sample; `no_version` if no sample ran.
  std::uint64_t least_version = no_version;
};

/// Encodes the content of a batch. It is ASCII, so that it can be split at any byte.
std::string batch_content(const std::string& trainer, std::uint64_t step,
                          std::uint64_t batch_number, const batch_body& body);

/// Collects finished groups into batches of bounded size.
class batch_builder {
public:
  /// `max_bytes` limits the content of a batch with more than one group.
  batch_builder(std::size_t max_bytes, duration linger) : max_bytes_(max_bytes), linger_(linger) {}

  void add(time_point now, const finished_group& group);
  /// Removes the groups whose lowest version satisfies `stale` and returns their ids.
  std::vector<std::string> remove_if(const std::function<bool(std::uint64_t)>& stale);
  /// Removes and returns the next batch. There is one if the groups fill a batch, if `flush` is set
  /// because no more groups follow, or if the oldest group has waited for the linger time and
  /// `allow_partial_batch` is set.
  std::optional<batch_body> take_batch(time_point now, bool flush, bool allow_partial_batch);

  [[nodiscard]] bool empty() const { return groups_.empty(); }
  /// When the oldest group will have waited for the linger time.
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
  struct encoded_group {
    std::string id;
    std::string samples;
    std::uint32_t count = 0;
    std::uint64_t least_version = no_version;
    time_point finished_at{};
  };

  std::size_t max_bytes_;
  duration linger_;
  std::deque<encoded_group> groups_;
  std::size_t bytes_ = 0;
};

} // namespace boragedoor::ledger
