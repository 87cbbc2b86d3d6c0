#include "events/timeline.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "events/causal_order.h"
#include "events/clock_offsets.h"

namespace boragedoor::events {

namespace {

/// Merges events in steps that share the list and its index.
class timeline_builder {
public:
  explicit timeline_builder(std::vector<event> events) {
    sort_by_process(events);
    remove_copies(std::move(events));
    note_processes();
    find_causes();
    estimate_times();
  }

  timeline build() {
    const auto order = causal_order(process_of_, causes_, at_);
    result_.contradicting_causes = order.ignored_causes;
    std::vector<std::size_t> position(order.sequence.size());
    for (std::size_t n = 0; n < order.sequence.size(); ++n) {
      position[order.sequence[n]] = n;
    }
    for (const auto n : order.sequence) {
      std::optional<std::size_t> cause;
      if (causes_[n]) {
        cause = position[*causes_[n]];
      }
      result_.entries.push_back({std::move(events_[n]), wall_time(at_[n]), cause});
    }
    return std::move(result_);
  }

private:
  static void sort_by_process(std::vector<event>& events) {
    std::ranges::stable_sort(
        events, {}, [](const event& it) { return std::tie(it.instance, it.boot, it.sequence); });
  }

  void remove_copies(std::vector<event> events) {
    for (auto& it : events) {
      if (!events_.empty() && event_id(events_.back()) == event_id(it)) {
        ++(to_json(events_.back()) == to_json(it) ? result_.copies : result_.conflicting);
      } else {
        events_.push_back(std::move(it));
      }
    }
  }

  void note_processes() {
    const event* last = nullptr;
    for (const auto& it : events_) {
      if (last == nullptr || last->instance != it.instance || last->boot != it.boot) {
        result_.processes.push_back({it.instance, it.boot, {}, false, 0});
        counts_.push_back(0);
      } else {
        result_.processes.back().missing += it.sequence - last->sequence - 1;
      }
      ++counts_.back();
      process_of_.push_back(result_.processes.size() - 1);
      last = &it;
    }
  }

  void find_causes() {
    std::unordered_map<std::string, std::size_t> by_id;
    for (std::size_t n = 0; n < events_.size(); ++n) {
      by_id.emplace(event_id(events_[n]), n);
    }
    causes_.resize(events_.size());
    for (std::size_t n = 0; n < events_.size(); ++n) {
      if (events_[n].cause.empty()) {
        continue;
      }
      if (const auto it = by_id.find(events_[n].cause); it != by_id.end()) {
        causes_[n] = it->second;
      } else {
        ++result_.unknown_causes;
      }
    }
  }

  /// Wall time of a process's monotonic clock at zero. The median is not moved by a few jumps of
  /// the wall clock.
  duration wall_origin(std::size_t first, std::size_t n) const {
    std::vector<duration> origins;
    for (std::size_t i = first; i < first + n; ++i) {
      origins.push_back(events_[i].wall.time_since_epoch() -
                        events_[i].monotonic.time_since_epoch());
    }
    const auto middle = origins.begin() + static_cast<std::ptrdiff_t>(origins.size() / 2);
    std::ranges::nth_element(origins, middle);
    return *middle;
  }

  void estimate_times() {
    std::size_t first = 0;
    for (const auto n : counts_) {
      const duration origin = wall_origin(first, n);
      for (std::size_t i = first; i < first + n; ++i) {
        at_.push_back(origin + events_[i].monotonic.time_since_epoch());
      }
      first += n;
    }
    std::vector<cause_pair> pairs;
    for (std::size_t n = 0; n < events_.size(); ++n) {
      if (causes_[n]) {
        pairs.push_back({process_of_[*causes_[n]], process_of_[n], at_[*causes_[n]], at_[n]});
      }
    }
    const auto offsets = estimate_offsets(counts_, pairs);
    for (std::size_t n = 0; n < offsets.size(); ++n) {
      result_.processes[n].offset = offsets[n].offset;
      result_.processes[n].is_linked = offsets[n].is_linked;
    }
    for (std::size_t n = 0; n < events_.size(); ++n) {
      at_[n] += offsets[process_of_[n]].offset;
    }
  }

  timeline result_;
  /// Sorted by process and sequence; the vectors below have an entry for each.
  std::vector<event> events_;
  std::vector<std::size_t> process_of_;
  std::vector<std::optional<std::size_t>> causes_;
  std::vector<duration> at_;
  /// Events of each process.
  std::vector<std::size_t> counts_;
};

bool fits(const timeline_entry& it, const event_filter& filter) {
  const auto same = [](const std::string& wanted, const std::string& value) {
    return wanted.empty() || wanted == value;
  };
  return same(filter.request, it.what.request) && same(filter.endpoint, it.what.endpoint) &&
         same(filter.workspace, it.what.workspace) && same(filter.shard, it.what.shard) &&
         (!filter.since || it.at >= *filter.since) && (!filter.until || it.at < *filter.until);
}

} // namespace

timeline merge_events(std::vector<event> events) {
  return timeline_builder(std::move(events)).build();
}

timeline apply_filter(const timeline& all, const event_filter& filter) {
  timeline kept = all;
  kept.entries.clear();
  std::map<std::size_t, std::size_t> positions;
  for (std::size_t n = 0; n < all.entries.size(); ++n) {
    if (!fits(all.entries[n], filter)) {
      continue;
    }
    positions[n] = kept.entries.size();
    timeline_entry it = all.entries[n];
    const auto cause = it.cause ? positions.find(*it.cause) : positions.end();
    it.cause = cause == positions.end() ? std::nullopt : std::optional(cause->second);
    kept.entries.push_back(std::move(it));
  }
  return kept;
}

json to_json(const timeline& it) {
  json list = json::array();
  for (const auto& entry : it.entries) {
    json value = to_json(entry.what);
    value["at_us"] = entry.at.time_since_epoch().count();
    list.push_back(std::move(value));
  }
  json processes = json::array();
  for (const auto& process : it.processes) {
    processes.push_back({{"instance", process.instance},
                         {"boot", process.boot},
                         {"offset_us", process.offset.count()},
                         {"linked", process.is_linked},
                         {"missing", process.missing}});
  }
  return {{"events", std::move(list)},
          {"processes", std::move(processes)},
          {"copies", it.copies},
          {"conflicting", it.conflicting},
          {"unknown_causes", it.unknown_causes},
          {"contradicting_causes", it.contradicting_causes}};
}

} // namespace boragedoor::events
