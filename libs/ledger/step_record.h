#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace boragedoor::ledger {

/// Most samples in one step; 16 times the target of 2,048, so that a damaged record cannot make
/// the holder allocate without bound.
inline constexpr std::uint32_t max_samples_per_step = 32'768;

/// Larger than any weight version, which JSON carries as a signed number.
inline constexpr std::uint64_t no_version = std::numeric_limits<std::int64_t>::max();

/// A prompt that `size` samples are drawn from. Samples are named "{group}/{index}".
struct group_spec {
  std::string id;
  std::string prompt;
  std::uint32_t size = 1;

  friend bool operator==(const group_spec&, const group_spec&) = default;
};

/// What a trainer asks for when it opens a step.
struct step_spec {
  std::string model;
  /// The trainer's weight version at opening.
  std::uint64_t weight_version = 0;
  /// Most versions that a sample may be behind the trainer at its first delivery.
  std::uint64_t staleness_bound = 0;
  std::uint32_t max_tokens = 0;
  std::vector<group_spec> groups;

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// Checks a specification from a trainer: names, sizes, and that the record fits a store value.
/// Fails with `invalid_argument`.
result<void> check(const step_spec& spec);

/// SHA-256 of the canonical form; equal content has an equal hash.
std::string spec_hash(const step_spec& spec);

/// The JSON form in the body of `PUT /v1/trainers/{trainer}/steps/{step}`.
result<step_spec> step_spec_from_text(std::string_view text);
std::string to_text(const step_spec& spec);

enum class batch_state { listed, delivered, acknowledged, voided };
std::string_view to_string(batch_state state);

/// One committed batch. Numbers rise and are never used again. A voided batch leaves the list when
/// its contents are deleted.
struct batch_entry {
  std::uint64_t n = 0;
  /// SHA-256 of the whole content.
  std::string hash;
  /// Samples in the batch.
  std::uint32_t count = 0;
  /// Values that the content is split over; above 1 only for a single group larger than one value.
  std::uint32_t parts = 1;
  std::vector<std::string> groups;
  /// Least weight version of any sample; `no_version` if none ran.
  std::uint64_t least_version = no_version;
  batch_state state = batch_state::listed;
  /// The trainer's version when the batch was marked delivered.
  std::uint64_t delivered_version = 0;
  /// Whether the contents are known to be deleted.
  bool deleted = false;

  friend bool operator==(const batch_entry&, const batch_entry&) = default;
};

/// The document of key `step/{trainer}/{step}`.
struct step_record {
  std::string trainer;
  std::uint64_t step = 0;
  /// `spec_hash` of the opening. Groups are emptied once the step is complete, the hash stays, so
  /// that a repeated opening is still recognised.
  std::string hash;
  step_spec spec;
  std::vector<batch_entry> batches;
  /// The highest batch number listed so far.
  std::uint64_t last_batch = 0;
  bool complete = false;
  /// Fencing token of the writer.
  std::uint64_t token = 0;

  friend bool operator==(const step_record&, const step_record&) = default;
};

std::string to_text(const step_record& record);

/// Reads and checks a record: types, ranges, rising numbers, and that no group is in two batches
/// that are not voided. Fails with `protocol`.
result<step_record> step_record_from_text(std::string_view text);

std::string step_key(std::string_view trainer, std::uint64_t step);
/// Key of a part of a batch; the first part has the plain key `batch/{trainer}/{step}/{n}`.
std::string batch_key(std::string_view trainer, std::uint64_t step, std::uint64_t n,
                      std::uint32_t part = 0);

} // namespace boragedoor::ledger
