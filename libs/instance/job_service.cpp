#include "instance/job_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace boragedoor::instance {

namespace {

using events::event_number;

/// Interval at which items are started and results are written when no response triggers it.
constexpr duration advance_interval = milliseconds(25);
constexpr duration takeover_interval = milliseconds(500);
/// How long a submission with an unknown outcome is retried. Trainers wait 4 s for the response.
constexpr duration submit_timeout = seconds(3);
constexpr duration submit_retry_delay = milliseconds(100);
/// Number of steps that a trainer runs concurrently. They are assigned to members separately, so
/// that no instance runs all of a trainer's items.
constexpr std::uint64_t concurrent_steps = 2;
/// Maximum attempts to end a job whose record is changed concurrently.
constexpr int max_end_attempts = 5;
/// A read whose wait ends shortly before results are due waits for them this much longer. The
/// trainer would pause before its next read, and instances that pass a read on wait 0.4 s longer.
constexpr duration max_read_extension = milliseconds(300);
/// How long after its submission a job counts as demand. Trainers end a step after about 10 s.
constexpr duration demand_window = seconds(12);
/// How long a step tells how many items the next one of its trainer has. Trainers submit a step
/// each few seconds.
constexpr duration step_size_window = seconds(30);

} // namespace

struct job_service::submission {
  jobs::job contents;
  jobs::job_record record;
  std::shared_ptr<http1::byte_account> memory;
  time_point deadline{};
  /// An earlier attempt may have stored the job.
  bool may_exist = false;
  std::function<void(submit_outcome)> done;
};

job_service::job_service(instance_context& context, member_task& members,
                         endpoint_verifier& verifier)
    : context_(context), members_(members), verifier_(verifier), store_(context),
      peer_(context, members,
            {.read =
                 [this](const std::string& job, std::size_t after, duration wait,
                        std::function<void(std::optional<job_listing>)> done) {
                   read_here(job, after, wait, std::move(done));
                 },
             .room_for =
                 [this](std::string_view document) {
                   return judge_submission(document) == jobs::submission_verdict::accepted
                              ? std::optional(parsed_job_limit())
                              : std::nullopt;
                 },
             .submit =
                 [this](jobs::job job, std::function<void(submit_outcome)> done) {
                   submit_here(std::move(job), false, std::move(done));
                 },
             .end = [this](const std::string& job,
                           std::function<void(bool)> done) { end_here(job, std::move(done)); },
             .receive_texts =
                 [this](std::string_view workspace, const std::vector<jobs::item_progress>& texts) {
                   partial_texts_.add(workspace, texts, context_.loop.now());
                 }}),
      advance_timer_(context.loop, [this] { advance_runners(); }),
      takeover_timer_(context.loop, [this] { take_over_jobs(); }) {
  store_.changed.connect([this](const std::string& job) { on_record_changed(job); });
}

void job_service::start() {
  store_.start();
  advance_timer_.start_periodic(advance_interval);
  takeover_timer_.start_periodic(takeover_interval);
}

void job_service::hand_over() {
  stopped_ = true;
  for (const auto& [job, it] : runners_) {
    it->stop();
  }
  for (const auto& [job, known] : store_.records()) {
    if (known.record.ended || known.record.runner != context_.identity.member_id() ||
        ownership_.is_finished(job, known.revision)) {
      continue;
    }
    const duties::member* successor = members_.members().assigned_member(job);
    if (successor == nullptr) {
      continue;
    }
    const auto change_runner = [this, old = known, successor = successor->id] {
      jobs::job_record next = old.record;
      next.runner = successor;
      store_.replace_record(old, std::move(next), [](const result<stored_record>&) {});
    };
    // The successor continues the saved partial texts. If this handover fails, the successor takes
    // the job over when it detects that this member is gone.
    if (const auto own = runners_.find(job); own != runners_.end()) {
      store_.save_progress(known, own->second->progress(), change_runner);
    } else {
      change_runner();
    }
  }
}

std::string job_service::runner_for_new(const std::string& job) const {
  const duties::member* successor = stopped_ ? members_.members().assigned_member(job) : nullptr;
  return successor == nullptr ? context_.identity.member_id() : successor->id;
}

int job_service::open_items() const {
  const wall_time wall = context_.stable_wall_now();
  std::size_t n = 0;
  for (const auto& [job, known] : store_.records()) {
    if (!known.record.ended && wall - known.record.submitted < demand_window) {
      n += known.record.total;
    }
  }
  return static_cast<int>(n);
}

std::map<std::string, duties::step_demand, std::less<>> job_service::steps() const {
  const wall_time wall = context_.stable_wall_now();
  std::map<std::string, duties::step_demand, std::less<>> steps;
  for (const auto& [job, known] : store_.records()) {
    const jobs::job_record& it = known.record;
    if (it.model.empty() || wall - it.submitted >= step_size_window) {
      continue;
    }
    duties::step_demand& demand = steps[it.model];
    demand.items = std::max(demand.items, static_cast<int>(it.total));
    if (!it.ended) {
      demand.oldest_open = std::min(demand.oldest_open.value_or(it.submitted), it.submitted);
    }
  }
  return steps;
}

const duties::member* job_service::runner_of(std::string_view route, std::uint64_t step) const {
  return members_.members().assigned_member(fmt::format("{}/{}", route, step % concurrent_steps));
}

jobs::memory_state job_service::memory() const {
  const http1::byte_budget& budget = *context_.budget;
  return {.limit = budget.limit(),
          .used = budget.used(),
          .used_by_jobs = budget.used(http1::byte_use::job)};
}

jobs::submission_verdict job_service::judge_submission(std::string_view text) const {
  return jobs::judge_submission(text, memory());
}

std::size_t job_service::parsed_job_limit() const {
  return jobs::parsed_job_limit(memory());
}

std::shared_ptr<http1::byte_account> job_service::hold_memory(const jobs::job& job) const {
  auto it =
      std::make_shared<http1::byte_account>(context_.budget, http1::byte_use::job, job.id, nullptr);
  it->set(jobs::submission_bytes(jobs::contents_bytes(job)));
  return it;
}

void job_service::submit(jobs::job job, std::function<void(submit_outcome)> done) {
  const duties::member* runner = runner_of(job.route, job.step);
  if (runner == nullptr || runner->id == context_.identity.member_id() ||
      store_.find(job.id) != nullptr) {
    submit_here(std::move(job), false, std::move(done));
    return;
  }
  const auto shared_job = std::make_shared<jobs::job>(std::move(job));
  peer_.submit(runner->id, *shared_job,
               [this, alive = alive_, shared_job, memory = hold_memory(*shared_job),
                done = std::move(done)](submit_outcome outcome) {
                 if (!*alive) {
                   return;
                 }
                 memory->set(0);
                 if (outcome == submit_outcome::accepted) {
                   done(outcome);
                 } else {
                   // The store accepts a job only once, so submitting it here is safe even if the
                   // other member has accepted it.
                   submit_here(std::move(*shared_job), outcome == submit_outcome::unknown, done);
                 }
               });
}

void job_service::submit_here(jobs::job job, bool may_exist,
                              std::function<void(submit_outcome)> done) {
  const auto entry = std::make_shared<submission>();
  entry->record = {.id = job.id,
                   .workspace = job.workspace,
                   .total = job.items.size(),
                   .runner = runner_for_new(job.id),
                   .ended = false,
                   .submitted = job.submitted,
                   .model = job.items.empty() ? std::string() : job.items.front().model};
  entry->memory = hold_memory(job);
  entry->contents = std::move(job);
  entry->deadline = context_.loop.now() + submit_timeout;
  entry->may_exist = may_exist;
  entry->done = std::move(done);
  try_submit(entry);
}

void job_service::try_submit(const std::shared_ptr<submission>& it) {
  if (store_.find(it->record.id) != nullptr) {
    it->done(submit_outcome::accepted);
    return;
  }
  store_.create(it->contents, it->record, [this, it](create_outcome outcome) {
    const time_point now = context_.loop.now();
    switch (outcome) {
    case create_outcome::created:
      context_.record(event_number::job_accepted, it->record.id, {},
                      {{"items", it->record.total}, {"step", it->contents.step}});
      it->done(submit_outcome::accepted);
      it->memory->set(0);
      start_runner({std::move(it->contents), {}, {}});
      return;
    case create_outcome::exists:
      it->done(submit_outcome::accepted);
      return;
    case create_outcome::refused:
      break;
    case create_outcome::unknown:
      it->may_exist = true;
      break;
    }
    if (!it->may_exist) {
      it->done(submit_outcome::refused);
    } else if (now + submit_retry_delay >= it->deadline) {
      it->done(submit_outcome::unknown);
    } else {
      context_.loop.post_after(submit_retry_delay, [this, alive = alive_, it] {
        if (*alive) {
          try_submit(it);
        }
      });
    }
  });
}

void job_service::with_record(const std::string& job, std::string_view workspace,
                              std::function<void(result<stored_record>)> done) {
  const auto check = [workspace = std::string(workspace),
                      done = std::move(done)](result<stored_record> found) {
    if (found && found.value().record.workspace != workspace) {
      done(error{error_code::not_found, "the workspace has no such job"});
    } else {
      done(std::move(found));
    }
  };
  if (const stored_record* known = store_.find(job)) {
    check(*known);
    return;
  }
  store_.read_record(job, check);
}

void job_service::read(const std::string& job, std::string_view workspace, std::size_t after,
                       duration wait, std::function<void(result<job_listing>)> done) {
  with_record(job, workspace,
              [this, job, after, wait, done = std::move(done)](const result<stored_record>& known) {
                if (!known) {
                  done(known.error());
                  return;
                }
                const jobs::job_record& record = known.value().record;
                const auto from_store = [this, job, after, done](std::size_t total,
                                                                 duration limit) {
                  read_stored(job, after, total, after < total ? limit : duration::zero(), done);
                };
                if (record.ended) {
                  from_store(record.total, wait);
                  return;
                }
                // Only the runner writes results of the job, so if it does not respond, the store
                // gets no more results to wait for.
                const auto on_listing = [from_store, total = record.total,
                                         done](std::optional<job_listing> it) {
                  if (it) {
                    done(*std::move(it));
                  } else {
                    from_store(total, duration::zero());
                  }
                };
                if (record.runner == context_.identity.member_id()) {
                  read_here(job, after, wait, on_listing);
                } else {
                  peer_.read(record.runner, job, after, wait, on_listing);
                }
              });
}

void job_service::read_here(const std::string& job, std::size_t after, duration wait,
                            std::function<void(std::optional<job_listing>)> done) {
  const time_point now = context_.loop.now();
  const auto own = runners_.find(job);
  // Without a valid lease, another member may already run the job and have written more results.
  if (own == runners_.end() || !members_.is_member(now)) {
    done(std::nullopt);
    return;
  }
  const std::size_t total = own->second->contents().items.size();
  if (own->second->listed_count() <= after && after < total && wait > duration::zero()) {
    waiting_reads_.push_back({job, after, now + wait, std::move(done)});
    return;
  }
  auto results = own->second->results(after);
  if (!results) {
    done(std::nullopt);
    return;
  }
  const std::size_t next = after + results->size();
  done(job_listing{total, next, *std::move(results)});
}

void job_service::read_stored(const std::string& job, std::size_t after, std::size_t total,
                              duration wait, std::function<void(result<job_listing>)> done) {
  store_.read_results(
      job, after,
      [this, job, after, total, wait, done = std::move(done)](result<results_page> page) {
        if (!page) {
          done(page.error());
          return;
        }
        if (!page.value().results.empty() || wait == duration::zero()) {
          done(job_listing{total, page.value().next, std::move(page.value().results)});
          return;
        }
        store_.await_results(
            job, after, page.value().revision, wait, [total, done](result<results_page> added) {
              if (!added) {
                done(added.error());
                return;
              }
              done(job_listing{total, added.value().next, std::move(added.value().results)});
            });
      });
}

void job_service::complete_waiting_reads(time_point now) {
  std::vector<waiting_read> due;
  std::erase_if(waiting_reads_, [&](waiting_read& it) {
    const auto own = runners_.find(it.job);
    if (own != runners_.end() && own->second->listed_count() <= it.after &&
        (now < it.until || (now < it.until + max_read_extension &&
                            own->second->listing_expected(it.until + max_read_extension - now)))) {
      return false;
    }
    due.push_back(std::move(it));
    return true;
  });
  for (waiting_read& it : due) {
    read_here(it.job, it.after, duration::zero(), std::move(it.done));
  }
}

void job_service::read_body(const std::string& job, std::string_view workspace, std::string item,
                            std::function<void(result<std::string>)> done) {
  const auto find_body = [item = std::move(item)](const jobs::job& in) -> result<std::string> {
    const auto it =
        std::find_if(in.items.begin(), in.items.end(),
                     [&](const jobs::job_item& candidate) { return candidate.id == item; });
    if (it == in.items.end()) {
      return error{error_code::not_found, "the job has no such item"};
    }
    return it->body;
  };
  with_record(job, workspace,
              [this, job, find_body, done = std::move(done)](const result<stored_record>& known) {
                if (!known) {
                  done(known.error());
                  return;
                }
                if (const auto own = runners_.find(job); own != runners_.end()) {
                  done(find_body(own->second->contents()));
                  return;
                }
                store_.load_contents(job, [find_body, done](const result<jobs::job>& contents) {
                  if (!contents) {
                    done(contents.error());
                  } else {
                    done(find_body(contents.value()));
                  }
                });
              });
}

void job_service::end(const std::string& job, std::string_view workspace,
                      std::function<void(result<void>)> done) {
  with_record(job, workspace, [this, done = std::move(done)](const result<stored_record>& known) {
    if (!known) {
      done(known.error());
      return;
    }
    const jobs::job_record& record = known.value().record;
    if (record.ended || record.runner == context_.identity.member_id()) {
      end_record(known.value(), max_end_attempts, done);
      return;
    }
    // Ending the job through its runner stops the runner at once and keeps the partial texts for
    // the next step.
    peer_.end(record.runner, record.id,
              [this, alive = alive_, known = known.value(), done](bool ended) {
                if (!*alive) {
                  return;
                }
                if (ended) {
                  done(success());
                } else {
                  end_record(known, max_end_attempts, done);
                }
              });
  });
}

void job_service::end_here(const std::string& job, std::function<void(bool)> done) {
  const stored_record* known = store_.find(job);
  if (known == nullptr || known->record.runner != context_.identity.member_id()) {
    done(false);
    return;
  }
  end_record(*known, max_end_attempts,
             [done = std::move(done)](const result<void>& out) { done(out.has_value()); });
}

void job_service::keep_texts_for_next_step(const job_runner& ended_runner) {
  const std::vector<jobs::item_progress> texts = ended_runner.texts_for_next_step();
  if (texts.empty()) {
    return;
  }
  const jobs::job& ended = ended_runner.contents();
  partial_texts_.add(ended.workspace, texts, context_.loop.now());
  const duties::member* next = runner_of(ended.route, ended.step + 1);
  if (next != nullptr && next->id != context_.identity.member_id()) {
    peer_.send_texts(next->id, ended.workspace, texts);
  }
}

void job_service::end_record(const stored_record& known, int attempts_left,
                             const std::function<void(result<void>)>& done) {
  if (known.record.ended) {
    done(success());
    return;
  }
  if (attempts_left == 0) {
    done(error{error_code::unavailable,
               "the job's record was changed concurrently at every attempt"});
    return;
  }
  jobs::job_record next = known.record;
  next.ended = true;
  store_.replace_record(
      known, std::move(next),
      [this, job = known.record.id, attempts_left, done](const result<stored_record>& out) {
        if (out) {
          context_.record(event_number::job_ended, job, {});
          done(success());
          return;
        }
        if (out.error().code == error_code::unavailable) {
          done(out.error());
          return;
        }
        // The record was changed concurrently, or the outcome is unknown: read the record to find
        // out.
        store_.read_record(job, [this, attempts_left, done](const result<stored_record>& now) {
          if (!now) {
            done(now.error());
          } else {
            end_record(now.value(), attempts_left - 1, done);
          }
        });
      });
}

void job_service::start_runner(loaded_job loaded) {
  if (stopped_) {
    return;
  }
  const auto [it, added] = runners_.try_emplace(loaded.contents.id);
  if (added) {
    jobs::carried_items carried = partial_texts_.take(loaded.contents, context_.loop.now());
    std::move(carried.texts.begin(), carried.texts.end(), std::back_inserter(loaded.progress));
    loaded.carried = std::move(carried.unfinished);
    it->second = std::make_unique<job_runner>(context_, store_, verifier_, std::move(loaded));
    it->second->advance(context_.loop.now());
  }
}

void job_service::load_and_run(const std::string& job) {
  ownership_.note_begun(job, context_.loop.now());
  store_.load(job, [this, job](result<loaded_job> loaded) {
    if (!loaded) {
      context_.record(event_number::store_unavailable, job, {},
                      {{"reason", loaded.error().message}});
      return;
    }
    ownership_.note_succeeded(job);
    const stored_record* known = store_.find(job);
    if (known != nullptr && !known->record.ended &&
        known->record.runner == context_.identity.member_id()) {
      start_runner(std::move(loaded).value());
    }
  });
}

void job_service::on_record_changed(const std::string& job) {
  const stored_record* known = store_.find(job);
  if (known == nullptr || known->record.ended) {
    ownership_.forget(job);
  }
  const auto it = runners_.find(job);
  if (it != runners_.end() && (known == nullptr || known->record.ended ||
                               known->record.runner != context_.identity.member_id())) {
    if (known != nullptr && known->record.ended && !it->second->is_done()) {
      keep_texts_for_next_step(*it->second);
    }
    it->second->stop();
  }
}

std::vector<job_runner*> job_service::runners_by_due() const {
  std::vector<job_runner*> order;
  for (const auto& [job, it] : runners_) {
    order.push_back(it.get());
  }
  std::stable_sort(order.begin(), order.end(), [](const job_runner* a, const job_runner* b) {
    return a->contents().due < b->contents().due;
  });
  return order;
}

void job_service::start_waiting() {
  const time_point now = context_.loop.now();
  for (job_runner* it : runners_by_due()) {
    it->start_waiting(now);
  }
}

void job_service::advance_runners() {
  const time_point now = context_.loop.now();
  for (job_runner* it : runners_by_due()) {
    it->advance(now);
  }
  std::erase_if(runners_, [this](const auto& it) {
    if (!it.second->is_done()) {
      return false;
    }
    // A runner that was stopped has lost the job, which may come back.
    const stored_record* known = store_.find(it.first);
    if (known != nullptr && it.second->is_complete()) {
      ownership_.note_finished(it.first, known->revision);
    }
    return true;
  });
  complete_waiting_reads(now);
}

void job_service::take_over_jobs() {
  const time_point now = context_.loop.now();
  if (stopped_ || draining_ || !members_.is_member(now)) {
    return;
  }
  const std::string self = context_.identity.member_id();
  std::vector<std::string> to_load;
  std::vector<stored_record> to_claim;
  for (const auto& [job, known] : store_.records()) {
    if (known.record.ended || runners_.contains(job)) {
      continue;
    }
    const duties::member* successor = members_.members().assigned_member(job);
    const std::string& runner = known.record.runner;
    const jobs::ownership_view view{
        .job = job,
        .revision = known.revision,
        .is_runner = runner == self,
        .is_successor = successor != nullptr && successor->id == self,
        .runner_is_gone = members_.members().is_gone(runner, members_.watching_since(), now),
        .runner_is_earlier_process =
            runner != self && duties::instance_of(runner) == context_.identity.name};
    switch (ownership_.next_step(view, now)) {
    case jobs::ownership_step::none:
      break;
    case jobs::ownership_step::load:
      to_load.push_back(job);
      break;
    case jobs::ownership_step::claim:
      to_claim.push_back(known);
      break;
    }
  }
  for (const std::string& job : to_load) {
    load_and_run(job);
  }
  for (const stored_record& known : to_claim) {
    claim(known);
  }
}

void job_service::claim(const stored_record& known) {
  const std::string& job = known.record.id;
  ownership_.note_begun(job, context_.loop.now());
  jobs::job_record next = known.record;
  next.runner = context_.identity.member_id();
  store_.replace_record(known, std::move(next), [this, job](const result<stored_record>& out) {
    if (!out) {
      store_.read_record(job, [](const result<stored_record>&) {});
      return;
    }
    context_.record(event_number::job_taken_over, job, {});
    load_and_run(job);
  });
}

} // namespace boragedoor::instance
