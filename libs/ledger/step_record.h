#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace boragedoor::ledger {

/// Maximum number of samples in one step. It is 16 times the target of 2,048 and bounds the memory
/// that a damaged record can make the holder allocate.
inline constexpr std::uint32_t max_samples_per_step = 32'768;

/// Marks the absence of a weight version. The largest signed value, because weight versions are
/// signed numbers in JSON.
inline constexpr std::uint64_t no_version = std::numeric_limits<std::int64_t>::max();

/// A prompt from which `size` samples are generated. Sample ids have the form "{group}/{index}".
struct group_spec {
  std::string id;
  std::string prompt;
  std::uint32_t size = 1;

  friend bool operator==(const group_spec&, const group_spec&) = default;
};

/// Specification that a trainer sends when it opens a step.
struct step_spec {
  std::string model;
  /// The trainer's weight version when it opened the step.
  std::uint64_t weight_version = 0;
  /// Maximum number of versions by which a sample may be behind the trainer at its first delivery.
  std::uint64_t staleness_bound = 0;
  std::uint32_t max_tokens = 0;
  std::vector<group_spec> groups;

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// Validates a specification: ids, sizes, and that the step record fits into one store value.
/// Fails with `invalid_argument`.
result<void> validate(const step_spec& spec);

/// SHA-256 of the canonical JSON form. Equal specifications have equal hashes.
std::string spec_hash(const step_spec& spec);

/// Parses and validates the body of `PUT /v1/trainers/{trainer}/steps/{step}`.
result<step_spec> step_spec_from_text(std::string_view text);
std::string to_text(const step_spec& spec);

enum class batch_state { listed, delivered, acknowledged, voided };
std::string_view to_string(batch_state state);

/// One committed batch. Batch numbers ascend and are never reused. A voided batch is removed from
/// the record once its content is deleted.
struct batch_entry {
  std::uint64_t n = 0;
  /// SHA-256 of the content across all parts.
  std::string hash;
  /// Number of samples in the batch.
  std::uint32_t count = 0;
  /// Number of store values that hold the content. Above 1 only if a single group is larger than
  /// one value.
  std::uint32_t parts = 1;
  std::vector<std::string> groups;
  /// Lowest weight version of any sample; `no_version` if no sample ran.
  std::uint64_t least_version = no_version;
  batch_state state = batch_state::listed;
  /// The trainer's weight version when the batch was marked as delivered.
  std::uint64_t delivered_version = 0;
  /// Whether the content is known to be deleted.
  bool deleted = false;

  friend bool operator==(const batch_entry&, const batch_entry&) = default;
};

/// The document stored under key `step/{trainer}/{step}`.
struct step_record {
  std::string trainer;
  std::uint64_t step = 0;
  /// `spec_hash` of the specification that opened the step. It is kept when the groups are cleared
  /// on completion, so that a repeated `open` is still recognized.
  std::string hash;
  step_spec spec;
  std::vector<batch_entry> batches;
  /// The highest batch number that was ever listed.
  std::uint64_t last_batch = 0;
  bool complete = false;
  /// Fencing token of the holder that wrote the record.
  std::uint64_t token = 0;

  friend bool operator==(const step_record&, const step_record&) = default;
};

std::string to_text(const step_record& record);

/// Parses and validates a record: types, ranges, ascending batch numbers, and that no group is in
/// more than one batch that is not voided. Fails with `protocol`.
result<step_record> step_record_from_text(std::string_view text);

std::string step_key(std::string_view trainer, std::uint64_t step);
/// Key of one part of a batch. Part 0 has the key `batch/{trainer}/{step}/{n}`; the others append
/// `/{part}`.
std::string batch_key(std::string_view trainer, std::uint64_t step, std::uint64_t batch_number,
                      std::uint32_t part = 0);

} // namespace boragedoor::ledger
