#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "jobs/job.h"

namespace boragedoor::jobs {

// The documents that the durable store keeps, in CBOR.

std::string to_document(const job& it);
std::string to_document(const job_record& it);
std::string to_document(std::span<const item_result> list);
std::string to_document(std::span<const item_progress> list);

/// Each fails with `protocol` on a document that cannot be read.
result<job> job_from_document(std::string_view document);
result<job_record> record_from_document(std::string_view document);
result<std::vector<item_result>> results_from_document(std::string_view document);
result<std::vector<item_progress>> progress_from_document(std::string_view document);

/// Keys of a job's documents. Results are kept in chunks; the key of a chunk holds the position
/// after its last result, so that a read from position n begins after the key of n.
std::string record_prefix();
std::string record_key(std::string_view job);
std::string contents_key(std::string_view job);
std::string progress_key(std::string_view job);
std::string results_prefix(std::string_view job);
std::string results_key(std::string_view job, std::size_t end);
/// The position after the last result of a chunk, from its key; fails with `protocol`.
result<std::size_t> end_of_results_key(std::string_view key);

} // namespace boragedoor::jobs
