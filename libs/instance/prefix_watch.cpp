#include "instance/prefix_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragedoor::instance {

prefix_watch::prefix_watch(net::event_loop& loop, durable_store& store, std::string prefix,
                           const prefix_watch_options& options, observer callbacks)
    : loop_(loop), store_(store), prefix_(std::move(prefix)), options_(options),
      callbacks_(std::move(callbacks)) {}

prefix_watch::~prefix_watch() {
  *alive_ = false;
}

void prefix_watch::start() {
  started_ = true;
  list({});
}

void prefix_watch::list(const std::string& after) {
  if (after.empty()) {
    listed_revisions_.clear();
    list_revision_ = 0;
  }
  call_sent_ = loop_.now();
  store_.list(prefix_, after, [this, alive = alive_](const list_answer& page) {
    if (*alive) {
      apply_page(page);
    }
  });
}

void prefix_watch::apply_page(const list_answer& page) {
  if (page.status != store_status::ok) {
    set_reachable(false);
    retry(loop_.now(), [this] { list({}); });
    return;
  }
  set_reachable(true);
  // Pages are not a consistent snapshot, so the watch starts at the revision of the first page and
  // repeats the changes made since.
  if (list_revision_ == 0) {
    list_revision_ = page.as_of;
  }
  for (const stored_item& it : page.items) {
    listed_revisions_[it.key] = it.revision;
    put(it);
  }
  if (page.more && !page.items.empty()) {
    list(page.items.back().key);
    return;
  }
  finish_list();
}

void prefix_watch::finish_list() {
  std::vector<std::string> removed_keys;
  for (const auto& [key, revision] : known_revisions_) {
    // A key written after the list started may be absent from it.
    if (!listed_revisions_.contains(key) && revision <= list_revision_) {
      removed_keys.push_back(key);
    }
  }
  for (const std::string& key : removed_keys) {
    remove(key);
  }
  listed_revisions_.clear();
  revision_ = list_revision_;
  synced_ = true;
  if (callbacks_.on_synced) {
    callbacks_.on_synced();
  }
  watch();
}

void prefix_watch::watch() {
  call_sent_ = loop_.now();
  store_.watch(prefix_, revision_, options_.wait, [this, alive = alive_](const watch_answer& it) {
    if (*alive) {
      apply_events(it);
    }
  });
}

void prefix_watch::apply_events(const watch_answer& answer) {
  switch (answer.status) {
  case store_status::ok:
    break;
  case store_status::missing:
    set_reachable(true);
    list({});
    return;
  case store_status::conflict:
  case store_status::refused:
  case store_status::unknown:
    set_reachable(false);
    retry(loop_.now(), [this] { watch(); });
    return;
  }
  set_reachable(true);
  for (const change_event& it : answer.events) {
    if (it.removed) {
      remove(it.item.key);
    } else {
      put(it.item);
    }
  }
  revision_ = std::max(revision_, answer.as_of);
  if (callbacks_.on_synced) {
    callbacks_.on_synced();
  }
  if (answer.events.empty() || options_.pause == duration::zero()) {
    watch();
  } else {
    run_after(options_.pause, [this] { watch(); });
  }
}

void prefix_watch::put(const stored_item& it) {
  std::uint64_t& revision = known_revisions_[it.key];
  if (revision < it.revision) {
    revision = it.revision;
    callbacks_.on_put(it);
  }
}

void prefix_watch::remove(const std::string& key) {
  if (known_revisions_.erase(key) > 0) {
    callbacks_.on_removed(key);
  }
}

void prefix_watch::set_reachable(bool reachable) {
  if (reachable) {
    retry_delay_ = duration::zero();
  }
  if (std::exchange(reachable_, reachable) != reachable && callbacks_.on_reachable) {
    callbacks_.on_reachable(reachable);
  }
}

void prefix_watch::retry(time_point now, std::function<void()> step) {
  retry_delay_ = std::clamp(retry_delay_ * 2, options_.min_retry_delay, options_.max_retry_delay);
  // The delay limits how often the store is called. A call that timed out has lasted longer.
  run_after(std::max(call_sent_ + retry_delay_ - now, duration::zero()), std::move(step));
}

void prefix_watch::run_after(duration delay, std::function<void()> step) {
  loop_.post_after(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

} // namespace boragedoor::instance
