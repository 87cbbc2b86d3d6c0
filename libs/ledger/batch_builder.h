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

/// Whole groups that will share a batch. The samples are encoded already.
struct batch_body {
  std::vector<std::string> groups;
  std::string samples;
  std::uint32_t count = 0;
  /// Least weight version of any sample; `no_version` if none ran.
  std::uint64_t least_version = no_version;
};

/// The exact bytes of batch `n`. They are ASCII, so that they can be split anywhere.
std::string batch_content(const std::string& trainer, std::uint64_t step, std::uint64_t n,
                          const batch_body& body);

/// Collects finished groups into batches of bounded size.
class batch_builder {
public:
  /// `max_bytes` bounds the content of a batch with more than one group.
  batch_builder(std::size_t max_bytes, duration linger) : max_bytes_(max_bytes), linger_(linger) {}

  void add(time_point now, const finished_group& group);
  /// Removes groups whose least version satisfies `stale`, and returns their ids.
  std::vector<std::string> remove_if(const std::function<bool(std::uint64_t)>& stale);
  /// The next batch, if enough groups are finished, `flush` says that none will follow, or the
  /// oldest has waited for long enough and `small` batches may be cut for that reason.
  std::optional<batch_body> cut(time_point now, bool flush, bool small);

  [[nodiscard]] bool empty() const { return groups_.empty(); }
  /// When the oldest group has waited for long enough.
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
