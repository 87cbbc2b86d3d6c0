#include "freshness/group_order.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace boragedoor::freshness {

namespace {

struct group_state {
  bool started = false;
  double longest = 0;
  std::size_t first = 0;
};

using group_key = std::pair<std::string_view, std::size_t>;
using group_map = std::map<group_key, group_state>;

group_map groups_of(std::span<const waiting_sample> waiting) {
  group_map out;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    const waiting_sample& it = waiting[i];
    group_state& group =
        out.try_emplace({it.trainer, it.group}, group_state{.first = i}).first->second;
    group.started = group.started || it.group_started;
    group.longest = std::max(group.longest, it.expected);
  }
  return out;
}

// Trainer by trainer, each in the order in which its samples start; the next one is last.
std::map<std::string_view, std::vector<std::size_t>>
queues_of(std::span<const waiting_sample> waiting) {
  const group_map groups = groups_of(waiting);
  std::map<std::string_view, std::vector<std::size_t>> out;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    out[waiting[i].trainer].push_back(i);
  }
  const auto rank = [&](std::size_t i) {
    const waiting_sample& it = waiting[i];
    const group_state& group = groups.at({it.trainer, it.group});
    return std::tuple(!group.started, -group.longest, group.first, -it.expected, i);
  };
  for (auto& [trainer, queue] : out) {
    std::sort(queue.begin(), queue.end(),
              [&rank](std::size_t left, std::size_t right) { return rank(left) > rank(right); });
  }
  return out;
}

} // namespace

std::vector<std::size_t> group_order(std::span<const waiting_sample> waiting,
                                     std::span<const trainer_work> given) {
  auto queues = queues_of(waiting);
  std::map<std::string_view, double> work;
  for (const trainer_work& it : given) {
    work[it.trainer] = it.running;
  }
  std::vector<std::size_t> out;
  out.reserve(waiting.size());
  while (!queues.empty()) {
    const auto next = std::min_element(queues.begin(), queues.end(),
                                       [&work](const auto& left, const auto& right) {
                                         return work[left.first] < work[right.first];
                                       });
    const std::size_t i = next->second.back();
    next->second.pop_back();
    work[next->first] += waiting[i].expected;
    out.push_back(i);
    if (next->second.empty()) {
      queues.erase(next);
    }
  }
  return out;
}

} // namespace boragedoor::freshness
