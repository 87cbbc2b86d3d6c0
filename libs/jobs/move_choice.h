#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace boragedoor::jobs {

/// Whether the process of a run is known to run its software, so that its text may go on elsewhere.
enum class run_verification { verified, not_asked, asked };

/// Which of a job's runs is moved to a faster endpoint, and which one is verified to be moved
/// later.
struct move_choice {
  std::optional<std::size_t> move{};
  std::optional<std::size_t> verify{};
};

/// Chooses among `runs`, the most advanced first. One run is moved at a time, because the next one
/// must see that its slot is taken. One whose process was asked and has not answered holds back
/// itself alone. `has_faster_endpoint` is called for the runs that come into question.
move_choice choose_move(std::span<const std::size_t> runs,
                        const std::function<run_verification(std::size_t run)>& verification,
                        const std::function<bool(std::size_t run)>& has_faster_endpoint);

} // namespace boragedoor::jobs
