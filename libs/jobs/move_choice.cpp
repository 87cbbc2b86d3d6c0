#include "jobs/move_choice.h"

namespace boragedoor::jobs {

move_choice choose_move(std::span<const std::size_t> runs,
                        const std::function<run_verification(std::size_t run)>& verification,
                        const std::function<bool(std::size_t run)>& has_faster_endpoint) {
  move_choice choice;
  for (const std::size_t run : runs) {
    const run_verification state = verification(run);
    if (state == run_verification::asked ||
        (state == run_verification::not_asked && choice.verify) || !has_faster_endpoint(run)) {
      continue;
    }
    if (state == run_verification::verified) {
      choice.move = run;
      return choice;
    }
    choice.verify = run;
  }
  return choice;
}

} // namespace boragedoor::jobs
