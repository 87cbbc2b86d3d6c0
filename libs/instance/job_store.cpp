#include "instance/job_store.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/release_memory.h"
#include "jobs/job_documents.h"

namespace boragedoor::instance {

namespace {

/// Instances watch job records to take jobs over, which takes seconds anyway, and to stop jobs that
/// have ended. A job must stop within 3 s of its end, also after a network partition has healed.
constexpr duration watch_wait = seconds(4);
constexpr duration watch_pause = milliseconds(200);
/// Text of results in one stored value. The store's limit for an encoded value is 1 MB.
constexpr std::size_t max_results_bytes = 512UL * 1024;

error unavailable(std::string_view what) {
  return {error_code::unavailable,
          fmt::format("the store is unavailable: cannot access the {}", what)};
}

error missing(std::string_view what) {
  return {error_code::not_found, fmt::format("the {} does not exist in the store", what)};
}

/// Joins the results from position `after` on. `chunks` are in the order of their keys, and reading
/// stops at the first gap.
result<results_page> to_page(const std::vector<stored_item>& chunks, std::size_t after,
                             std::uint64_t revision) {
  results_page page{{}, after, revision};
  for (const stored_item& it : chunks) {
    const auto end = jobs::parse_results_key(it.key);
    auto chunk = jobs::results_from_document(it.value);
    if (!end || !chunk || end.value() < chunk.value().size()) {
      return error{error_code::protocol, fmt::format("the stored document {} is corrupt", it.key)};
    }
    std::vector<jobs::item_result>& list = chunk.value();
    const std::size_t first = end.value() - list.size();
    if (first > page.next) {
      // The chunk before this one was not read.
      break;
    }
    for (std::size_t n = page.next - first; n < list.size(); ++n) {
      page.results.push_back(std::move(list[n]));
    }
    page.next = std::max(page.next, end.value());
  }
  return page;
}

std::string job_of_key(std::string_view key) {
  return std::string(key.substr(jobs::record_prefix().size()));
}

} // namespace

job_store::job_store(instance_context& context)
    : context_(context),
      watch_(context.loop, context.store, jobs::record_prefix(),
             {.wait = watch_wait, .pause = watch_pause},
             {.on_put =
                  [this](const stored_item& it) {
                    auto record = jobs::record_from_document(it.value);
                    if (!record) {
                      context_.record(events::event_number::store_document_damaged, {}, {},
                                      {{"key", it.key}, {"reason", record.error().message}});
                      return;
                    }
                    update_cache({std::move(record).value(), it.revision});
                  },
              .on_removed =
                  [this](const std::string& key) {
                    const std::string job = job_of_key(key);
                    records_.erase(job);
                    changed.emit(job);
                  },
              .on_synced = nullptr,
              .on_reachable = nullptr}) {}

const stored_record* job_store::find(std::string_view job) const {
  const auto it = records_.find(job);
  return it == records_.end() ? nullptr : &it->second;
}

void job_store::update_cache(stored_record it) {
  stored_record& known = records_[it.record.id];
  if (known.revision < it.revision) {
    known = std::move(it);
    changed.emit(known.record.id);
  }
}

void job_store::create(const jobs::job& job, const jobs::job_record& record,
                       std::function<void(create_outcome)> done) {
  const std::string key = jobs::record_key(job.id);
  const std::string contents = jobs::contents_key(job.id);
  store_change change;
  change.expected = {{key, 0}, {contents, 0}};
  change.puts = {{key, jobs::to_document(record), 0}, {contents, jobs::to_document(job), 0}};
  context_.store.commit(change, [this, record, done = std::move(done)](const commit_answer& out) {
    switch (out.status) {
    case store_status::ok:
      update_cache({record, out.revision});
      done(create_outcome::created);
      return;
    case store_status::conflict:
      for (const stored_item& found : out.found) {
        if (found.key != jobs::record_key(record.id)) {
          continue;
        }
        if (auto present = jobs::record_from_document(found.value)) {
          const bool own = present.value().runner == record.runner;
          update_cache({std::move(present).value(), found.revision});
          // The record is this member's: the response to an earlier attempt was lost.
          done(own ? create_outcome::created : create_outcome::exists);
          return;
        }
      }
      done(create_outcome::exists);
      return;
    case store_status::refused:
    case store_status::missing:
      done(create_outcome::refused);
      return;
    case store_status::unknown:
      done(create_outcome::unknown);
      return;
    }
  });
}

void job_store::read_record(const std::string& job,
                            std::function<void(result<stored_record>)> done) {
  context_.store.read(jobs::record_key(job), [this, done = std::move(done)](const read_answer& it) {
    if (it.status == store_status::missing) {
      done(missing("job"));
      return;
    }
    if (it.status != store_status::ok) {
      done(unavailable("job"));
      return;
    }
    auto record = jobs::record_from_document(it.item.value);
    if (!record) {
      done(record.error());
      return;
    }
    stored_record known{std::move(record).value(), it.item.revision};
    update_cache(known);
    done(std::move(known));
  });
}

void job_store::load_contents(const std::string& job, std::function<void(result<jobs::job>)> done) {
  context_.store.read(jobs::contents_key(job), [done = std::move(done)](const read_answer& it) {
    if (it.status == store_status::missing) {
      done(missing("job"));
    } else if (it.status != store_status::ok) {
      done(unavailable("job"));
    } else {
      done(jobs::job_from_document(it.item.value));
    }
  });
}

void job_store::load(const std::string& job, std::function<void(result<loaded_job>)> done) {
  load_contents(job, [this, job, done = std::move(done)](result<jobs::job> contents) {
    if (!contents) {
      done(contents.error());
      return;
    }
    auto into = std::make_shared<loaded_job>(loaded_job{std::move(contents).value(), {}, {}});
    load_results(job, 0, into, done);
  });
}

void job_store::load_results(const std::string& job, std::size_t after,
                             std::shared_ptr<loaded_job> into,
                             std::function<void(result<loaded_job>)> done) {
  read_results(job, after,
               [this, job, after, into = std::move(into),
                done = std::move(done)](result<results_page> page) {
                 if (!page) {
                   done(page.error());
                   return;
                 }
                 for (jobs::item_result& it : page.value().results) {
                   // Only the ids are needed to continue the job; the texts stay in the store.
                   release_memory(it.text);
                   into->listed.push_back(std::move(it));
                 }
                 if (page.value().next == after) {
                   load_progress(job, into, done);
                   return;
                 }
                 load_results(job, page.value().next, into, done);
               });
}

void job_store::load_progress(const std::string& job, std::shared_ptr<loaded_job> into,
                              std::function<void(result<loaded_job>)> done) {
  context_.store.read(jobs::progress_key(job), [this, job, into = std::move(into),
                                                done = std::move(done)](const read_answer& it) {
    if (it.status == store_status::ok) {
      auto progress = jobs::progress_from_document(it.item.value);
      if (progress) {
        into->progress = std::move(progress).value();
      } else {
        context_.record(events::event_number::store_document_damaged, job, {},
                        {{"key", it.item.key}, {"reason", progress.error().message}});
      }
    }
    // Items without a saved partial text are generated from the start.
    done(std::move(*into));
  });
}

void job_store::save_progress(const stored_record& owner,
                              const std::vector<jobs::item_progress>& texts,
                              std::function<void()> done) {
  const std::string& job = owner.record.id;
  store_change change;
  change.expected = {{jobs::record_key(job), owner.revision}};
  change.puts = {{jobs::progress_key(job), jobs::to_document(texts), 0}};
  // Saved texts only save time, so the outcome of the write is ignored.
  context_.store.commit(change, [done = std::move(done)](const commit_answer&) { done(); });
}

void job_store::read_results(const std::string& job, std::size_t after,
                             std::function<void(result<results_page>)> done) {
  context_.store.list(jobs::results_prefix(job), jobs::results_key(job, after),
                      [after, done = std::move(done)](const list_answer& out) {
                        if (out.status != store_status::ok) {
                          done(unavailable("results"));
                          return;
                        }
                        done(to_page(out.items, after, out.as_of));
                      });
}

void job_store::await_results(const std::string& job, std::size_t after, std::uint64_t revision,
                              duration wait, std::function<void(result<results_page>)> done) {
  context_.store.watch(jobs::results_prefix(job), revision, wait,
                       [after, revision, done = std::move(done)](const watch_answer& out) {
                         std::vector<stored_item> items;
                         for (const change_event& it : out.events) {
                           if (!it.removed) {
                             items.push_back(it.item);
                           }
                         }
                         // If the store did not respond, the page is empty: there are no new
                         // results.
                         done(to_page(items, after, std::max(revision, out.as_of)));
                       });
}

void job_store::replace_record(const stored_record& old, jobs::job_record next,
                               std::function<void(result<stored_record>)> done) {
  store_change change;
  const std::string key = jobs::record_key(old.record.id);
  change.expected = {{key, old.revision}};
  change.puts = {{key, jobs::to_document(next), 0}};
  context_.store.commit(change, [this, next = std::move(next),
                                 done = std::move(done)](const commit_answer& out) {
    if (out.status == store_status::ok) {
      stored_record known{next, out.revision};
      update_cache(known);
      done(std::move(known));
    } else if (out.status == store_status::conflict) {
      done(error{error_code::conflict, "the job's record was changed concurrently"});
    } else if (out.status == store_status::refused) {
      done(unavailable("job"));
    } else {
      done(error{error_code::outcome_unknown, "the store did not respond; the outcome is unknown"});
    }
  });
}

void job_store::append_results(const stored_record& owner, std::size_t first,
                               const std::vector<jobs::item_result>& results,
                               std::function<void(commit_answer)> done) {
  const std::string& job = owner.record.id;
  store_change change;
  change.expected = {{jobs::record_key(job), owner.revision}};
  std::size_t end = first;
  for (const std::span<const jobs::item_result> part :
       jobs::split_results(results, max_results_bytes)) {
    end += part.size();
    const std::string key = jobs::results_key(job, end);
    change.expected.push_back({key, 0});
    change.puts.push_back({key, jobs::to_document(part), 0});
  }
  context_.store.commit(change, std::move(done));
}

} // namespace boragedoor::instance
