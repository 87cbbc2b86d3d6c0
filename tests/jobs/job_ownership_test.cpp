#include "jobs/job_ownership.h"

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::jobs {

namespace {

const std::string job = "j";
constexpr duration tick = milliseconds(500);
/// Ticks until the lease of a member that stands still or was killed ends, and until the others
/// count it as gone after that.
constexpr int lease_ticks = 6;
constexpr int gone_ticks = 3;
/// Ticks without trouble after which the job must run.
constexpr int calm_ticks = 30;

struct record {
  std::uint64_t revision = 1;
  std::string runner;
};

/// What happens to a member.
enum class trouble {
  none,
  short_freeze,
  long_freeze,
  kill,
  planned_stop,
  failed_load,
  lost_answer,
  cut_from_store
};
constexpr std::array all_troubles = {
    trouble::short_freeze, trouble::long_freeze, trouble::kill,          trouble::planned_stop,
    trouble::failed_load,  trouble::lost_answer, trouble::cut_from_store};

/// A process of an instance, as far as it concerns one job.
struct member {
  std::string name;
  int boot = 1;
  record view;
  job_ownership ownership;
  bool runs = false;
  int frozen = 0;
  int cut = 0;
  int stopped = 0;
  bool fails_next_load = false;
  bool loses_next_answer = false;
  /// Ticks until a load is complete.
  std::optional<int> load;

  [[nodiscard]] std::string id() const { return name + "/" + std::to_string(boot); }
  [[nodiscard]] bool is_active() const { return frozen == 0 && stopped == 0; }
};

/// Instances and the record of a job that never ends.
class fleet {
public:
  explicit fleet(int size) {
    for (int n = 0; n < size; ++n) {
      member it;
      it.name = std::string(1, static_cast<char>('a' + n));
      members_.push_back(it);
      seen_.push_back({it.id(), 0});
    }
    record_.runner = members_.front().id();
    for (member& it : members_) {
      it.view = record_;
    }
    members_.front().runs = true;
  }

  void strike(std::size_t n, trouble what) {
    member& it = members_[n];
    constexpr int short_time = 3;
    constexpr int long_time = 12;
    switch (what) {
    case trouble::none:
      return;
    case trouble::short_freeze:
      it.frozen = short_time;
      return;
    case trouble::long_freeze:
      it.frozen = long_time;
      return;
    case trouble::kill:
      restart(it);
      it.stopped = 2;
      return;
    case trouble::planned_stop:
      if (it.is_active()) {
        hand_over(it);
        std::erase_if(seen_, [&](const auto& one) { return one.first == it.id(); });
        restart(it);
        it.stopped = long_time;
      }
      return;
    case trouble::failed_load:
      it.fails_next_load = true;
      return;
    case trouble::lost_answer:
      it.loses_next_answer = true;
      return;
    case trouble::cut_from_store:
      it.cut = long_time;
      return;
    }
  }

  void advance() {
    now_ += tick;
    ++ticks_;
    for (member& it : members_) {
      if (it.frozen > 0) {
        --it.frozen;
      } else if (it.stopped > 0) {
        --it.stopped;
      } else {
        act(it);
      }
    }
  }

  void calm() {
    for (int n = 0; n < calm_ticks; ++n) {
      advance();
    }
  }

  /// Whether exactly the member that the record names runs the job.
  [[nodiscard]] bool is_run_once() const {
    return std::all_of(
               members_.begin(), members_.end(),
               [this](const member& it) { return it.runs == (it.id() == record_.runner); }) &&
           std::any_of(members_.begin(), members_.end(), [](const member& it) { return it.runs; });
  }

private:
  void restart(member& it) {
    ++it.boot;
    it.view = {};
    it.ownership = {};
    it.runs = false;
    it.load.reset();
    it.frozen = 0;
  }

  /// Writes a record under the condition that it is as the member knows it.
  bool commit(member& it, const std::string& runner) {
    if (it.cut > 0 || it.view.revision != record_.revision) {
      return false;
    }
    record_ = {record_.revision + 1, runner};
    return true;
  }

  void hand_over(member& it) {
    const auto next = successor(&it);
    if (it.view.runner == it.id() && next) {
      commit(it, *next);
    }
  }

  /// The member that a job is assigned to: the last one by name of those with a lease.
  [[nodiscard]] std::optional<std::string> successor(const member* leaving) const {
    for (auto it = members_.rbegin(); it != members_.rend(); ++it) {
      if (&*it != leaving && it->stopped == 0 && has_lease(it->id())) {
        return it->id();
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool has_lease(const std::string& id) const {
    const auto found =
        std::find_if(seen_.begin(), seen_.end(), [&](const auto& it) { return it.first == id; });
    return found != seen_.end() && ticks_ - found->second < lease_ticks;
  }

  [[nodiscard]] bool is_gone(const std::string& id) const {
    const auto found =
        std::find_if(seen_.begin(), seen_.end(), [&](const auto& it) { return it.first == id; });
    return found == seen_.end() || ticks_ - found->second >= lease_ticks + gone_ticks;
  }

  void renew_lease(const member& it) {
    const auto found = std::find_if(seen_.begin(), seen_.end(),
                                    [&](const auto& one) { return one.first == it.id(); });
    if (found == seen_.end()) {
      seen_.emplace_back(it.id(), ticks_);
    } else {
      found->second = ticks_;
    }
  }

  void act(member& it) {
    if (it.cut > 0) {
      --it.cut;
      return;
    }
    renew_lease(it);
    it.view = record_;
    if (it.runs && it.view.runner != it.id()) {
      it.runs = false;
    }
    if (it.load && --*it.load == 0) {
      it.load.reset();
      if (!std::exchange(it.fails_next_load, false)) {
        it.ownership.note_succeeded(job);
        it.runs = it.view.runner == it.id();
      }
    }
    if (it.runs) {
      return;
    }
    const ownership_view view{.job = job,
                              .revision = it.view.revision,
                              .is_runner = it.view.runner == it.id(),
                              .is_successor = successor(nullptr) == it.id(),
                              .runner_is_gone = is_gone(it.view.runner),
                              .runner_is_earlier_process =
                                  it.view.runner != it.id() && it.view.runner.starts_with(it.name)};
    switch (it.ownership.next_step(view, now_)) {
    case ownership_step::none:
      return;
    case ownership_step::load:
      begin_load(it);
      return;
    case ownership_step::claim:
      it.ownership.note_begun(job, now_);
      if (commit(it, it.id()) && !std::exchange(it.loses_next_answer, false)) {
        begin_load(it);
      }
      return;
    }
  }

  void begin_load(member& it) {
    it.ownership.note_begun(job, now_);
    it.load = 1;
  }

  std::vector<member> members_;
  record record_;
  /// Ids with the tick at which their lease was last renewed.
  std::vector<std::pair<std::string, int>> seen_;
  int ticks_ = 0;
  time_point now_{seconds(100)};
};

} // namespace

// Guards against an accepted job that nobody runs any more, because it came back to a member that
// had lost it, or that failed to load it.
TEST_CASE("a job runs at one member after any order of troubles") {
  SECTION("each order of four troubles of two members") {
    // Troubles of both members, and their distance in ticks: some overlap, others do not.
    constexpr std::size_t kinds = 2 * all_troubles.size();
    constexpr int length = 4;
    std::size_t orders = 1;
    for (int n = 0; n < length; ++n) {
      orders *= kinds;
    }
    std::size_t failed = 0;
    for (const int distance : {2, 7}) {
      for (std::size_t order = 0; order < orders; ++order) {
        fleet it(2);
        for (std::size_t n = 0, rest = order; n < length; ++n, rest /= kinds) {
          it.strike(rest % 2, all_troubles[rest % kinds / 2]);
          for (int k = 0; k < distance; ++k) {
            it.advance();
          }
        }
        it.calm();
        failed += it.is_run_once() ? 0 : 1;
      }
    }
    CHECK(failed == 0);
  }

  SECTION("random ones of three members") {
    constexpr unsigned seeds = 2000;
    std::size_t failed = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      std::mt19937 random(seed);
      fleet it(3);
      for (int n = 0; n < 12; ++n) {
        it.strike(random() % 3, all_troubles[random() % all_troubles.size()]);
        for (auto k = random() % 9; k > 0; --k) {
          it.advance();
        }
      }
      it.calm();
      failed += it.is_run_once() ? 0 : 1;
    }
    CHECK(failed == 0);
  }
}

TEST_CASE("a member neither loads nor claims a job without need") {
  job_ownership it;
  const time_point now{seconds(100)};
  ownership_view view{.job = job, .revision = 5, .is_runner = true};
  CHECK(it.next_step(view, now) == ownership_step::load);

  SECTION("not again while a step is in progress, but after a while") {
    it.note_begun(job, now);
    CHECK(it.next_step(view, now + seconds(1)) == ownership_step::none);
    CHECK(it.next_step(view, now + seconds(2)) == ownership_step::load);
  }
  SECTION("not a job that is finished, until its record changes") {
    it.note_finished(job, 5);
    CHECK(it.next_step(view, now) == ownership_step::none);
    view.revision = 6;
    CHECK(it.next_step(view, now) == ownership_step::load);
    it.note_finished(job, 6);
    it.forget(job);
    CHECK(it.next_step(view, now) == ownership_step::load);
  }
  SECTION("another member's only if that one is gone and this one is the successor") {
    view.is_runner = false;
    CHECK(it.next_step(view, now) == ownership_step::none);
    view.is_successor = true;
    CHECK(it.next_step(view, now) == ownership_step::none);
    view.runner_is_gone = true;
    CHECK(it.next_step(view, now) == ownership_step::claim);
    view.is_successor = false;
    CHECK(it.next_step(view, now) == ownership_step::none);
  }
  SECTION("or an earlier process's of its own instance") {
    view.is_runner = false;
    view.runner_is_earlier_process = true;
    CHECK(it.next_step(view, now) == ownership_step::claim);
  }
}

} // namespace boragedoor::jobs
