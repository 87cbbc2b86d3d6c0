#pragma once

#include <cstddef>

#include "base/time.h"

namespace boragedoor::instance {

/// Timeout for connecting to an endpoint, to another instance or, for a relayed call, to the store.
/// The latency between data centres is a few milliseconds, and a lost SYN packet is only
/// retransmitted after a second, so trying another target is faster.
inline constexpr duration connect_timeout = milliseconds(300);

/// Largest response of an endpoint that is forwarded to a caller, and largest stream. The
/// configuration limits what callers send, but not what endpoints answer.
inline constexpr std::size_t max_forwarded_bytes = 64UL * 1024 * 1024;
/// Largest stream of an item's text, with the fields of its events.
inline constexpr std::size_t max_item_stream_bytes = 4UL * 1024 * 1024;
/// Largest answer of the store. It limits values and pages to one MiB, which it encodes as text.
inline constexpr std::size_t max_store_answer_bytes = 4UL * 1024 * 1024;
/// Largest answer of another instance: a list of all keys of a prefix, or the texts of a step.
inline constexpr std::size_t max_instance_answer_bytes = 16UL * 1024 * 1024;
/// Bytes of a stream that are kept until its process is verified, which takes some hundred
/// milliseconds.
inline constexpr std::size_t max_unverified_bytes = 1024UL * 1024;

} // namespace boragedoor::instance
