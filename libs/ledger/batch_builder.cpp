#include "ledger/batch_builder.h"

#include <algorithm>

#include "base/json.h"

namespace boragedoor::ledger {

namespace {

/// Space reserved for the fields around the samples: trainer, step and batch number.
constexpr std::size_t max_envelope_bytes = 512;

std::string dump_ascii(const json& value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::vector<std::uint64_t> sorted_unique(std::vector<std::uint64_t> versions) {
  std::ranges::sort(versions);
  versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
  return versions;
}

std::string encode(const sample_result& it) {
  json value = {
      {"id", it.attempt.sample},
      {"group", it.attempt.group},
      {"attempt", std::to_string(it.attempt.token) + "." + std::to_string(it.attempt.attempt)}};
  if (it.error.empty()) {
    value["text"] = it.text;
    value["finish_reason"] = it.finish_reason;
    value["weight_versions"] = sorted_unique(it.weight_versions);
    value["finish_reason"] = it.finish_reason;
  } else {
    value["error"] = it.error;
    value["weight_versions"] = json::array();
  }
  return dump_ascii(value);
}

void append_encoded_samples(std::string& to, const std::string& samples) {
  if (!to.empty()) {
    to += ',';
  }
  to += samples;
}

} // namespace

std::string batch_content(const std::string& trainer, std::uint64_t step,
                          std::uint64_t batch_number, const batch_body& body) {
  return R"({"trainer":)" + dump_ascii(trainer) + R"(,"step":)" + std::to_string(step) +
         R"(,"batch":)" + std::to_string(batch_number) + R"(,"samples":[)" + body.samples + "]}";
}

void batch_builder::add(time_point now, const finished_group& group) {
  encoded_group it{group.id, {}, 0, no_version, now};
  for (const sample_result& sample : group.samples) {
    append_encoded_samples(it.samples, encode(sample));
    ++it.count;
    if (sample.error.empty()) {
      it.least_version = std::min(it.least_version, std::ranges::min(sample.weight_versions));
    }
  }
  bytes_ += it.samples.size() + 1;
  groups_.push_back(std::move(it));
}

std::vector<std::string> batch_builder::remove_if(const std::function<bool(std::uint64_t)>& stale) {
  std::vector<std::string> removed;
  std::erase_if(groups_, [&](const encoded_group& it) {
    if (!stale(it.least_version)) {
      return false;
    }
    bytes_ -= it.samples.size() + 1;
    removed.push_back(it.id);
    return true;
  });
  return removed;
}

std::optional<batch_body> batch_builder::take_batch(time_point now, bool flush,
                                                    bool allow_partial_batch) {
  const bool full = bytes_ + max_envelope_bytes >= max_bytes_;
  const bool waited = !groups_.empty() && now >= groups_.front().finished_at + linger_;
  if (groups_.empty() || !(full || flush || (allow_partial_batch && waited))) {
    return std::nullopt;
  }
  batch_body body;
  while (!groups_.empty()) {
    encoded_group& it = groups_.front();
    const std::size_t size = body.samples.size() + it.samples.size() + 1 + max_envelope_bytes;
    if (!body.groups.empty() && size > max_bytes_) {
      break;
    }
    append_encoded_samples(body.samples, it.samples);
    body.count += it.count;
    body.least_version = std::min(body.least_version, it.least_version);
    body.groups.push_back(std::move(it.id));
    bytes_ -= it.samples.size() + 1;
    groups_.pop_front();
  }
  return body;
}

std::optional<time_point> batch_builder::next_wakeup() const {
  if (groups_.empty()) {
    return std::nullopt;
  }
  return groups_.front().finished_at + linger_;
}

} // namespace boragedoor::ledger
