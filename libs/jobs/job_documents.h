#pragma once

#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "jobs/job.h"

namespace boragedoor::jobs {

// Encoding of the documents in the durable store, as CBOR.

std::string to_document(const job& contents);
std::string to_document(const job_record& record);
/// Splits results into parts of at most `max_bytes` of text, each of at least one result.
std::vector<std::span<const item_result>> split_results(std::span<const item_result> results,
                                                        std::size_t max_bytes);
std::string to_document(std::span<const item_result> results);
std::string to_document(std::span<const item_progress> texts);

/// Each of these fails with `protocol` if the document is malformed. The first one fails with
/// `overloaded` if the job's items take more than `max_bytes` (see `item_bytes`).
result<job> job_from_document(std::string_view document,
                              std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
result<job_record> record_from_document(std::string_view document);
result<std::vector<item_result>> results_from_document(std::string_view document);
result<std::vector<item_progress>> progress_from_document(std::string_view document);

/// Store keys of a job's documents. Results are stored in chunks. The key of a chunk contains the
/// position after its last result, so a read from position n lists the keys greater than
/// `results_key(job, n)`.
std::string record_prefix();
std::string record_key(std::string_view job);
std::string contents_key(std::string_view job);
std::string progress_key(std::string_view job);
std::string results_prefix(std::string_view job);
std::string results_key(std::string_view job, std::size_t end);
/// Returns the position after the last result of a chunk, from the chunk's key. Fails with
/// `protocol` if the key does not end in a number.
result<std::size_t> parse_results_key(std::string_view key);

} // namespace boragedoor::jobs
