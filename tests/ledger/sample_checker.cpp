#include "ledger/sample_checker.h"

#include <set>

#include "base/json.h"

namespace boragedoor::ledger {

namespace {

std::string attempt_name(const sample_attempt& it) {
  return it.sample + "#" + std::to_string(it.token) + "." + std::to_string(it.attempt);
}

} // namespace

void sample_checker::produced(const sample_result& result) {
  produced_[attempt_name(result.attempt)] = result;
}

void sample_checker::first_delivery(std::uint64_t batch_number, const std::string& content,
                                    std::uint64_t version) {
  const json value = json::parse(content);
  for (const json& sample : value["samples"]) {
    for (const std::uint64_t it : sample["weight_versions"]) {
      if (it + spec_.staleness_bound < version) {
        violations_.push_back("batch " + std::to_string(batch_number) +
                              " exceeds the staleness bound");
        return;
      }
    }
  }
}

void sample_checker::received(std::uint64_t batch_number, const std::string& content) {
  const auto [it, inserted] = batches_.emplace(batch_number, content);
  if (!inserted) {
    if (it->second != content) {
      violations_.push_back("batch " + std::to_string(batch_number) +
                            " was delivered again with different content");
    }
    return;
  }
  const json value = json::parse(content);
  for (const json& sample : value["samples"]) {
    check_sample(sample["id"], sample["attempt"], sample["text"], sample["weight_versions"]);
  }
}

void sample_checker::check_sample(const std::string& id, const std::string& attempt,
                                  const std::string& text,
                                  const std::vector<std::uint64_t>& versions) {
  if (++received_[id] > 1) {
    violations_.push_back("sample " + id + " was delivered twice");
  }
  const auto it = produced_.find(id + "#" + attempt);
  if (it == produced_.end() || it->second.text != text) {
    violations_.push_back("sample " + id + " has text that its attempt did not produce");
    return;
  }
  const std::set<std::uint64_t> wanted(it->second.weight_versions.begin(),
                                       it->second.weight_versions.end());
  if (std::set<std::uint64_t>(versions.begin(), versions.end()) != wanted) {
    violations_.push_back("sample " + id + " lists the wrong weight versions");
  }
}

void sample_checker::finish() {
  std::size_t samples = 0;
  for (const group_spec& it : spec_.groups) {
    samples += it.size;
  }
  if (received_.size() != samples) {
    violations_.push_back(std::to_string(samples - received_.size()) + " samples are missing");
  }
}

} // namespace boragedoor::ledger
