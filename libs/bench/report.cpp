#include "bench/report.h"

#include <functional>

#include <fmt/format.h>

namespace boragedoor::bench {

namespace {

struct row {
  std::string_view name;
  std::string (*cell)(const figures&);
};

std::string counts(const std::array<std::uint64_t, 3>& n) {
  return fmt::format("{} / {} / {}", n[0], n[1], n[2]);
}

constexpr std::array rows{
    row{"lookup p50 (ms)",
        [](const figures& it) { return fmt::format("{:.1f}", it.lookup_p50_ms); }},
    row{"lookup p99 (ms)",
        [](const figures& it) { return fmt::format("{:.1f}", it.lookup_p99_ms); }},
    row{"chat p50 (ms)", [](const figures& it) { return fmt::format("{:.0f}", it.chat_p50_ms); }},
    row{"chat p99 (ms)", [](const figures& it) { return fmt::format("{:.0f}", it.chat_p99_ms); }},
    row{"rollout tokens/s in time",
        [](const figures& it) { return fmt::format("{:.0f}", it.rollout_tokens_per_second); }},
    row{"group p50 (s)", [](const figures& it) { return fmt::format("{:.1f}", it.group_p50_s); }},
    row{"group p99 (s)", [](const figures& it) { return fmt::format("{:.1f}", it.group_p99_s); }},
    row{"worst token share",
        [](const figures& it) { return fmt::format("{:.3f}", it.worst_token_share); }},
    row{"worst lookup share",
        [](const figures& it) { return fmt::format("{:.3f}", it.worst_lookup_share); }},
    row{"late (lookup / chat / rollout)", [](const figures& it) { return counts(it.late); }},
    row{"refused for good", [](const figures& it) { return counts(it.refused); }},
    row{"failed", [](const figures& it) { return counts(it.failed); }},
    row{"refusals (come back later)",
        [](const figures& it) { return fmt::format("{}", it.refusals); }},
    row{"retries per request",
        [](const figures& it) { return fmt::format("{:.5f}", it.retries_per_request); }},
    row{"non-idempotent sent twice",
        [](const figures& it) { return fmt::format("{}", it.duplicates); }},
    row{"pauses / hedges",
        [](const figures& it) { return fmt::format("{} / {}", it.pauses, it.hedges); }},
    row{"wasted token share",
        [](const figures& it) { return fmt::format("{:.4f}", it.wasted_share); }},
    row{"engine load max / mean",
        [](const figures& it) { return fmt::format("{:.2f}", it.imbalance); }},
    row{"cache hit share",
        [](const figures& it) { return fmt::format("{:.3f}", it.cache_hit_share); }},
};

} // namespace

std::string to_table(std::span<const named_figures> runs) {
  std::string out = fmt::format("| {:<32} |", "figure");
  std::string rule = fmt::format("| {:-<32} |", "");
  for (const named_figures& it : runs) {
    out += fmt::format(" {:>20} |", it.name);
    rule += fmt::format(" {:->20} |", "");
  }
  out += "\n" + rule + "\n";
  for (const row& it : rows) {
    out += fmt::format("| {:<32} |", it.name);
    for (const named_figures& run : runs) {
      out += fmt::format(" {:>20} |", it.cell(run.values));
    }
    out += "\n";
  }
  return out;
}

} // namespace boragedoor::bench
