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

/// Number of store values that a content of this size takes.
std::uint32_t part_count(std::size_t bytes);

/// Stores, reads back and deletes the contents of batches, one write and one read at a time.
class batch_contents {
public:
  enum class write_state { none, busy, stored, refused };

  batch_contents(std::string trainer, std::uint64_t step, duration retry_delay,
                 duration max_retry_delay);

  /// Writes the parts of a content one after the other, each create-only.
  store_call write(store_caller& caller, std::uint64_t n, std::string content);
  /// `refused`: the key holds another content, which a former holder left; use another number.
  [[nodiscard]] write_state writing() const { return write_state_; }
  /// Forgets the write; its content stays in memory if it was stored.
  void end_write();
  /// The content, if it is in memory.
  [[nodiscard]] const std::string* find(std::uint64_t n) const;
  /// Reads a content into memory, unless a read is running.
  std::optional<store_call> read(store_caller& caller, const batch_entry& entry);
  /// Contents that are missing or do not have the hash of their entry.
  [[nodiscard]] bool damaged(std::uint64_t n) const { return damaged_.contains(n); }

  /// Deletes a content that nobody will list or deliver any more.
  std::vector<store_call> erase(store_caller& caller, std::uint64_t n, std::uint32_t parts);
  [[nodiscard]] bool erased(std::uint64_t n) const { return erased_.contains(n); }

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

  [[nodiscard]] std::string key(std::uint64_t n, std::uint32_t part) const;
  store_call write_part(store_caller& caller);
  std::optional<store_call> after_write(store_caller& caller);
  void finish_deletion(time_point now, const store_write_result& result);
  std::optional<store_call> finish_reading(time_point now, const store_read_result& result,
                                           store_caller& caller);
  std::vector<store_call> repeat_deletions(time_point now, store_caller& caller);

  std::string trainer_;
  std::uint64_t step_;
  backoff delay_;

  write_state write_state_ = write_state::none;
  std::optional<cas_write> write_;
  std::uint64_t write_number_ = 0;
  std::uint32_t write_part_ = 0;
  std::string write_content_;

  std::map<std::uint64_t, std::string> contents_;
  std::optional<reading> reading_;
  std::set<std::uint64_t> damaged_;

  /// By the number of the outstanding call.
  std::map<std::uint64_t, deletion> deletions_;
  std::map<std::uint64_t, std::uint32_t> parts_left_;
  std::set<std::uint64_t> erased_;
};

} // namespace boragedoor::ledger
