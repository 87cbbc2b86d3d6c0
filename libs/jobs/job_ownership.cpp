#include "jobs/job_ownership.h"

namespace boragedoor::jobs {

namespace {

/// Time after which a step that has not succeeded is tried again.
constexpr duration retry_delay = seconds(2);

} // namespace

ownership_step job_ownership::next_step(const ownership_view& view, time_point now) const {
  const auto begun = begun_.find(view.job);
  if (begun != begun_.end() && now - begun->second < retry_delay) {
    return ownership_step::none;
  }
  if (view.is_runner) {
    return is_finished(view.job, view.revision) ? ownership_step::none : ownership_step::load;
  }
  const bool inherits = view.is_successor && view.runner_is_gone;
  return inherits || view.runner_is_earlier_process ? ownership_step::claim : ownership_step::none;
}

bool job_ownership::is_finished(std::string_view job, std::uint64_t revision) const {
  const auto found = finished_.find(job);
  return found != finished_.end() && found->second == revision;
}

void job_ownership::forget(const std::string& job) {
  begun_.erase(job);
  finished_.erase(job);
}

} // namespace boragedoor::jobs
