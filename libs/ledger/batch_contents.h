#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/cas_write.h"
#include "base/time.h"
#include "ledger/step_record.h"

namespace boragedoor::ledger {

/// Number of store values needed for content of this size.
std::uint32_t part_count(std::size_t bytes);

/// Writes, reads and deletes the contents of batches in the store. At most one batch is written and
/// one is read at a time.
class batch_contents {
public:
  enum class write_state { none, busy, stored, refused };

  batch_contents(std::string trainer, std::uint64_t step, duration retry_delay,
                 duration max_retry_delay);

  /// Writes the parts of a batch's content in order. Each write succeeds only if its key does not
  /// exist or already holds this part.
  store_call write(store_caller& caller, std::uint64_t batch_number, std::string content);
  /// State of the current write. `refused` means that the key holds different content from a
  /// previous holder; the caller must use another batch number.
  [[nodiscard]] write_state write_status() const { return write_state_; }
  /// Ends the current write. Its content stays in memory if it was stored.
  void end_write();
  /// Returns the content if it is in memory, otherwise null.
  [[nodiscard]] const std::string* find(std::uint64_t batch_number) const;
  /// Starts to read the content of a batch into memory, unless another read is in progress.
  std::optional<store_call> read(store_caller& caller, const batch_entry& entry);
  /// Whether the content was found to be missing or not to match the hash in its entry.
  [[nodiscard]] bool damaged(std::uint64_t batch_number) const {
    return damaged_.contains(batch_number);
  }

  /// Deletes content that no holder will list or deliver again.
  std::vector<store_call> erase(store_caller& caller, std::uint64_t batch_number,
                                std::uint32_t parts);
  [[nodiscard]] bool erased(std::uint64_t batch_number) const {
    return erased_.contains(batch_number);
  }

  std::vector<store_call> finish(time_point now, const store_write_result& result,
                                 store_caller& caller);
  std::vector<store_call> finish(time_point now, const store_read_result& result,
                                 store_caller& caller);
  std::vector<store_call> tick(time_point now, store_caller& caller);
  [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
  struct reading {
    batch_entry entry;
    std::uint32_t part = 0;
    std::string content;
    std::uint64_t call = 0;
    std::optional<time_point> retry_at;
    backoff delay;
  };
  struct deletion {
    std::uint64_t n = 0;
    std::uint32_t part = 0;
    std::optional<time_point> retry_at;
    backoff delay;
  };

  [[nodiscard]] std::string key(std::uint64_t batch_number, std::uint32_t part) const;
  store_call write_part(store_caller& caller);
  std::optional<store_call> continue_write(store_caller& caller);
  void finish_deletion(time_point now, const store_write_result& result);
  std::optional<store_call> finish_reading(time_point now, const store_read_result& result,
                                           store_caller& caller);
  std::vector<store_call> retry_deletions(time_point now, store_caller& caller);

  std::string trainer_;
  std::uint64_t step_;
  backoff delay_;

  write_state write_state_ = write_state::none;
  std::optional<cas_write> write_;
  std::uint64_t write_batch_number_ = 0;
  std::uint32_t write_part_index_ = 0;
  std::string write_content_;

  std::map<std::uint64_t, std::string> contents_;
  std::optional<reading> reading_;
  std::set<std::uint64_t> damaged_;

  /// Deletions that are not confirmed yet, keyed by the id of their store call.
  std::map<std::uint64_t, deletion> deletions_;
  std::map<std::uint64_t, std::uint32_t> pending_part_deletions_;
  std::set<std::uint64_t> erased_;
};

} // namespace boragedoor::ledger
