#pragma once

namespace boragedoor {

/// Makes the heap return large blocks to the system as soon as they are freed. By default it keeps
/// them after a while, and bodies of messages that grow beside each other leave gaps that no other
/// block fits into. Called once, before the first large block.
void return_large_blocks();

} // namespace boragedoor
