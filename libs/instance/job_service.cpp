#include "instance/job_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace boragedoor::instance {

namespace {

using events::event_number;

/// Items start and results are listed at this rate where no response triggers it.
constexpr duration pump_interval = milliseconds(25);
constexpr duration takeover_interval = milliseconds(500);
/// A job whose load or takeover got no answer is tried again after this time.
constexpr duration load_retry = seconds(2);
/// How long a submission is repeated whose outcome is not known. Trainers wait four seconds.
constexpr duration submit_limit = seconds(3);
constexpr duration submit_retry = milliseconds(100);
/// Steps of a trainer that run at the same time. Each of them has an instance of its own, so that
/// no instance runs all of a trainer's texts.
constexpr std::uint64_t steps_at_once = 2;
/// Attempts to end a job against concurrent changes of its record.
constexpr int end_attempts = 5;
/// Jobs count as demand for this long. Trainers end a step after about ten seconds.
constexpr duration demand_time = seconds(12);

} // namespace

struct job_service::submission {
  jobs::job contents;
  jobs::job_record record;
  time_point deadline{};
  /// An earlier call may have taken effect.
  bool may_exist = false;
  std::function<void(submit_outcome)> done;
};

job_service::job_service(instance_context& context, member_task& members)
    : context_(context), members_(members), store_(context),
      peer_(context.loop, members,
            {.read =
                 [this](const std::string& job, std::size_t after, duration wait,
                        std::function<void(std::optional<job_listing>)> done) {
                   read_here(job, after, wait, std::move(done));
                 },
             .submit =
                 [this](jobs::job it, std::function<void(submit_outcome)> done) {
                   submit_here(std::move(it), false, std::move(done));
                 },
             .end = [this](const std::string& job,
                           std::function<void(bool)> done) { end_here(job, std::move(done)); },
             .carry =
                 [this](std::string_view workspace, const std::vector<jobs::item_progress>& texts) {
                   carried_.add(workspace, texts, context_.loop.now());
                 }}),
      pump_timer_(context.loop, [this] { pump(); }),
      takeover_timer_(context.loop, [this] { take_over(); }) {
  store_.changed.connect([this](const std::string& job) { on_record(job); });
}

void job_service::start() {
  store_.start();
  pump_timer_.start_periodic(pump_interval);
  takeover_timer_.start_periodic(takeover_interval);
}

void job_service::hand_over() {
  stopped_ = true;
  for (const auto& [job, it] : runners_) {
    it->stop();
    const known_record* known = store_.find(job);
    const duties::member* heir = members_.members().assigned_member(job);
    if (known == nullptr || heir == nullptr) {
      continue;
    }
    // The heir continues the texts where they stand. Without an answer it takes the job over once
    // this member is gone.
    store_.save_progress(*known, it->progress(), [this, old = *known, heir = heir->id] {
      jobs::job_record next = old.record;
      next.runner = heir;
      store_.replace_record(old, std::move(next), [](const result<known_record>&) {});
    });
  }
}

int job_service::open_items() const {
  std::size_t n = 0;
  for (const auto& [job, known] : store_.records()) {
    if (!known.record.ended && wall_now() - known.record.submitted < demand_time) {
      n += known.record.total;
    }
  }
  return static_cast<int>(n);
}

const duties::member* job_service::runner_of(std::string_view route, std::uint64_t step) const {
  return members_.members().assigned_member(fmt::format("{}/{}", route, step % steps_at_once));
}

void job_service::submit(jobs::job it, std::function<void(submit_outcome)> done) {
  const duties::member* runner = runner_of(it.route, it.step);
  if (runner == nullptr || runner->id == context_.identity.member_id() ||
      store_.find(it.id) != nullptr) {
    submit_here(std::move(it), false, std::move(done));
    return;
  }
  const auto job = std::make_shared<jobs::job>(std::move(it));
  peer_.submit(runner->id, *job,
               [this, alive = alive_, job, done = std::move(done)](submit_outcome outcome) {
                 if (!*alive) {
                   return;
                 }
                 if (outcome == submit_outcome::accepted) {
                   done(outcome);
                 } else {
                   // A job is accepted only once, so it does no harm if the other member has it.
                   submit_here(std::move(*job), outcome == submit_outcome::unknown, done);
                 }
               });
}

void job_service::submit_here(jobs::job it, bool may_exist,
                              std::function<void(submit_outcome)> done) {
  const auto entry = std::make_shared<submission>();
  entry->record = {.id = it.id,
                   .workspace = it.workspace,
                   .total = it.items.size(),
                   .runner = context_.identity.member_id(),
                   .ended = false,
                   .submitted = it.submitted};
  entry->contents = std::move(it);
  entry->deadline = context_.loop.now() + submit_limit;
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
      run({std::move(it->contents), {}, {}});
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
    } else if (now + submit_retry >= it->deadline) {
      it->done(submit_outcome::unknown);
    } else {
      context_.loop.post_after(submit_retry, [this, alive = alive_, it] {
        if (*alive) {
          try_submit(it);
        }
      });
    }
  });
}

void job_service::with_record(const std::string& job, std::string_view workspace,
                              std::function<void(result<known_record>)> done) {
  const auto check = [workspace = std::string(workspace),
                      done = std::move(done)](result<known_record> found) {
    if (found && found.value().record.workspace != workspace) {
      done(error{error_code::not_found, "the workspace has no such job"});
    } else {
      done(std::move(found));
    }
  };
  if (const known_record* known = store_.find(job)) {
    check(*known);
    return;
  }
  store_.read_record(job, check);
}

void job_service::read(const std::string& job, std::string_view workspace, std::size_t after,
                       duration wait, std::function<void(result<job_listing>)> done) {
  with_record(
      job, workspace,
      [this, job, after, wait, done = std::move(done)](const result<known_record>& known) {
        if (!known) {
          done(known.error());
          return;
        }
        const jobs::job_record& record = known.value().record;
        const auto from_store = [this, job, after, done](std::size_t total, duration limit) {
          read_stored(job, after, total, after < total ? limit : duration::zero(), done);
        };
        if (record.ended) {
          from_store(record.total, wait);
          return;
        }
        // Only the runner lists results of the job, so the store has no more of them.
        const auto take = [from_store, total = record.total, done](std::optional<job_listing> it) {
          if (it) {
            done(*std::move(it));
          } else {
            from_store(total, duration::zero());
          }
        };
        if (record.runner == context_.identity.member_id()) {
          read_here(job, after, wait, take);
        } else {
          peer_.read(record.runner, job, after, wait, take);
        }
      });
}

void job_service::read_here(const std::string& job, std::size_t after, duration wait,
                            std::function<void(std::optional<job_listing>)> done) {
  const time_point now = context_.loop.now();
  const auto own = runners_.find(job);
  // Without a valid lease another member may run the job, and have listed more.
  if (own == runners_.end() || !members_.is_member(now)) {
    done(std::nullopt);
    return;
  }
  const std::size_t total = own->second->contents().items.size();
  if (own->second->listed() <= after && after < total && wait > duration::zero()) {
    waiting_.push_back({job, after, now + wait, std::move(done)});
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

void job_service::answer_waiting(time_point now) {
  std::vector<waiting_read> due;
  std::erase_if(waiting_, [&](waiting_read& it) {
    const auto own = runners_.find(it.job);
    if (now < it.until && own != runners_.end() && own->second->listed() <= it.after) {
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
  const auto find = [item = std::move(item)](const jobs::job& in) -> result<std::string> {
    const auto it = std::find_if(in.items.begin(), in.items.end(),
                                 [&](const jobs::job_item& one) { return one.id == item; });
    if (it == in.items.end()) {
      return error{error_code::not_found, "the job has no such item"};
    }
    return it->body;
  };
  with_record(job, workspace,
              [this, job, find, done = std::move(done)](const result<known_record>& known) {
                if (!known) {
                  done(known.error());
                  return;
                }
                if (const auto own = runners_.find(job); own != runners_.end()) {
                  done(find(own->second->contents()));
                  return;
                }
                store_.load_contents(job, [find, done](const result<jobs::job>& contents) {
                  if (!contents) {
                    done(contents.error());
                  } else {
                    done(find(contents.value()));
                  }
                });
              });
}

void job_service::end(const std::string& job, std::string_view workspace,
                      std::function<void(result<void>)> done) {
  with_record(job, workspace, [this, done = std::move(done)](const result<known_record>& known) {
    if (!known) {
      done(known.error());
      return;
    }
    const jobs::job_record& record = known.value().record;
    if (record.ended || record.runner == context_.identity.member_id()) {
      end_known(known.value(), end_attempts, done);
      return;
    }
    // The runner stops at once and keeps what the next step can use.
    peer_.end(record.runner, record.id,
              [this, alive = alive_, known = known.value(), done](bool ended) {
                if (!*alive) {
                  return;
                }
                if (ended) {
                  done(success());
                } else {
                  end_known(known, end_attempts, done);
                }
              });
  });
}

void job_service::end_here(const std::string& job, std::function<void(bool)> done) {
  const known_record* known = store_.find(job);
  if (known == nullptr || known->record.runner != context_.identity.member_id()) {
    done(false);
    return;
  }
  end_known(*known, end_attempts,
            [done = std::move(done)](const result<void>& out) { done(out.has_value()); });
}

void job_service::carry_texts(const job_runner& from) {
  const std::vector<jobs::item_progress> texts = from.progress();
  if (texts.empty()) {
    return;
  }
  const jobs::job& ended = from.contents();
  carried_.add(ended.workspace, texts, context_.loop.now());
  const duties::member* next = runner_of(ended.route, ended.step + 1);
  if (next != nullptr && next->id != context_.identity.member_id()) {
    peer_.carry(next->id, ended.workspace, texts);
  }
}

void job_service::end_known(const known_record& known, int attempts_left,
                            const std::function<void(result<void>)>& done) {
  if (known.record.ended) {
    done(success());
    return;
  }
  if (attempts_left == 0) {
    done(error{error_code::unavailable, "the job's record keeps changing"});
    return;
  }
  jobs::job_record next = known.record;
  next.ended = true;
  store_.replace_record(
      known, std::move(next),
      [this, job = known.record.id, attempts_left, done](const result<known_record>& out) {
        if (out) {
          context_.record(event_number::job_ended, job, {});
          done(success());
          return;
        }
        if (out.error().code == error_code::unavailable) {
          done(out.error());
          return;
        }
        // Another change came first, or the outcome is not known: the record tells.
        store_.read_record(job, [this, attempts_left, done](const result<known_record>& now) {
          if (!now) {
            done(now.error());
          } else {
            end_known(now.value(), attempts_left - 1, done);
          }
        });
      });
}

void job_service::run(loaded_job loaded) {
  if (stopped_) {
    return;
  }
  const auto [it, added] = runners_.try_emplace(loaded.contents.id);
  if (added) {
    for (jobs::item_progress& text : carried_.take(loaded.contents, context_.loop.now())) {
      loaded.begun.push_back(std::move(text));
    }
    it->second = std::make_unique<job_runner>(context_, store_, std::move(loaded));
    it->second->pump(context_.loop.now());
  }
}

void job_service::load_and_run(const std::string& job) {
  loading_[job] = context_.loop.now();
  store_.load(job, [this, job](result<loaded_job> loaded) {
    if (!loaded) {
      context_.record(event_number::store_unavailable, job, {},
                      {{"reason", loaded.error().message}});
      return;
    }
    loading_.erase(job);
    const known_record* known = store_.find(job);
    if (known != nullptr && !known->record.ended &&
        known->record.runner == context_.identity.member_id()) {
      run(std::move(loaded).value());
    }
  });
}

void job_service::on_record(const std::string& job) {
  const known_record* known = store_.find(job);
  if (known == nullptr || known->record.ended) {
    finished_.erase(job);
  }
  const auto it = runners_.find(job);
  if (it != runners_.end() && (known == nullptr || known->record.ended ||
                               known->record.runner != context_.identity.member_id())) {
    if (known != nullptr && known->record.ended && !it->second->is_done()) {
      carry_texts(*it->second);
    }
    it->second->stop();
  }
}

void job_service::pump() {
  const time_point now = context_.loop.now();
  // Jobs that are due first get the free places first.
  std::vector<job_runner*> order;
  for (const auto& [job, it] : runners_) {
    order.push_back(it.get());
  }
  std::stable_sort(order.begin(), order.end(), [](const job_runner* a, const job_runner* b) {
    return a->contents().due < b->contents().due;
  });
  for (job_runner* it : order) {
    it->pump(now);
  }
  std::erase_if(runners_, [this](const auto& it) {
    if (!it.second->is_done()) {
      return false;
    }
    finished_.insert(it.first);
    return true;
  });
  answer_waiting(now);
}

void job_service::take_over() {
  const time_point now = context_.loop.now();
  if (stopped_ || draining_ || !members_.is_member(now)) {
    return;
  }
  const std::string self = context_.identity.member_id();
  std::vector<known_record> wanted;
  for (const auto& [job, known] : store_.records()) {
    if (known.record.ended || runners_.contains(job)) {
      continue;
    }
    const auto busy = loading_.find(job);
    if (busy != loading_.end() && now - busy->second < load_retry) {
      continue;
    }
    const duties::member* heir = members_.members().assigned_member(job);
    const bool own = known.record.runner == self && !finished_.contains(job);
    const bool inherits =
        heir != nullptr && heir->id == self &&
        members_.members().is_gone(known.record.runner, members_.watching_since(), now);
    // A former process of this instance certainly has ended.
    const bool own_past = known.record.runner != self &&
                          duties::instance_of(known.record.runner) == context_.identity.name;
    if (own || inherits || own_past) {
      wanted.push_back(known);
    }
  }
  for (const known_record& known : wanted) {
    const std::string job = known.record.id;
    if (known.record.runner == self) {
      load_and_run(job);
      continue;
    }
    loading_[job] = now;
    jobs::job_record next = known.record;
    next.runner = self;
    store_.replace_record(known, std::move(next), [this, job](const result<known_record>& out) {
      if (!out) {
        store_.read_record(job, [](const result<known_record>&) {});
        return;
      }
      context_.record(event_number::job_taken_over, job, {});
      load_and_run(job);
    });
  }
}

} // namespace boragedoor::instance
