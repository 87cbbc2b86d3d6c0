#include "ledger/step_record.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include "base/hash.h"
#include "base/json_fields.h"
#include "base/store_action.h"

namespace boragedoor::ledger {

namespace {

constexpr std::size_t max_id_bytes = 128;
/// Room in the record for one batch entry besides its group ids: hash, numbers and field names.
constexpr std::size_t batch_entry_bytes = 300;
/// Batches that the reserve allows for, besides one for each value-sized content: voided batches
/// stay listed without their groups.
constexpr std::size_t reserved_batches = 256;

constexpr std::array<std::string_view, 4> state_names = {"listed", "delivered", "acknowledged",
                                                         "voided"};

error damaged(std::string_view what) {
  return error{error_code::protocol, "step record: " + std::string(what)};
}

json to_json(const group_spec& it) {
  return {{"id", it.id}, {"prompt", it.prompt}, {"size", it.size}};
}

json to_json(const step_spec& it) {
  json groups = json::array();
  for (const group_spec& group : it.groups) {
    groups.push_back(to_json(group));
  }
  return {{"model", it.model},
          {"weight_version", it.weight_version},
          {"staleness_bound", it.staleness_bound},
          {"max_tokens", it.max_tokens},
          {"groups", std::move(groups)}};
}

json to_json(const batch_entry& it) {
  return {{"n", it.n},
          {"hash", it.hash},
          {"count", it.count},
          {"parts", it.parts},
          {"groups", it.groups},
          {"least_version", it.least_version},
          {"state", to_string(it.state)},
          {"delivered_version", it.delivered_version},
          {"deleted", it.deleted}};
}

bool read_groups(const json& value, std::vector<group_spec>& to) {
  const json* list = array_field(value, "groups");
  if (list == nullptr) {
    return false;
  }
  return std::ranges::all_of(*list, [&to](const json& it) {
    group_spec& group = to.emplace_back();
    return read_field(it, "id", group.id) && read_field(it, "prompt", group.prompt) &&
           read_field(it, "size", group.size);
  });
}

bool read_spec(const json& value, step_spec& to) {
  return read_field(value, "model", to.model) &&
         read_field(value, "weight_version", to.weight_version) &&
         read_field(value, "staleness_bound", to.staleness_bound) &&
         read_field(value, "max_tokens", to.max_tokens) && read_groups(value, to.groups);
}

bool read_state(const json& value, batch_state& to) {
  const auto name = string_field(value, "state");
  const auto* it = std::ranges::find(state_names, name.value_or(""));
  if (it == state_names.end()) {
    return false;
  }
  to = static_cast<batch_state>(it - state_names.begin());
  return true;
}

bool read_batch(const json& value, batch_entry& to) {
  return read_field(value, "n", to.n) && read_field(value, "hash", to.hash) &&
         read_field(value, "count", to.count) && read_field(value, "parts", to.parts) &&
         read_field(value, "groups", to.groups) &&
         read_field(value, "least_version", to.least_version) && read_state(value, to.state) &&
         read_field(value, "delivered_version", to.delivered_version) &&
         read_field(value, "deleted", to.deleted);
}

bool read_batches(const json& value, std::vector<batch_entry>& to) {
  const json* list = array_field(value, "batches");
  return list != nullptr && std::ranges::all_of(*list, [&to](const json& it) {
           return read_batch(it, to.emplace_back());
         });
}

bool good_id(std::string_view id) {
  return !id.empty() && id.size() <= max_id_bytes;
}

std::optional<std::string> problem_in_groups(const std::vector<group_spec>& groups) {
  std::set<std::string_view> ids;
  std::uint64_t samples = 0;
  for (const group_spec& it : groups) {
    samples += it.size;
    if (!good_id(it.id) || !ids.insert(it.id).second) {
      return "group ids must be unique and of 1 to 128 bytes";
    }
    if (it.size == 0 || samples > max_samples_per_step) {
      return "groups must have a sample each and at most 32,768 together";
    }
  }
  return std::nullopt;
}

/// Whether the batches agree with the groups: known, in one batch at most, and counted right.
bool batches_match(const step_record& record) {
  std::set<std::string_view> committed;
  for (const batch_entry& batch : record.batches) {
    if (batch.state == batch_state::voided) {
      continue;
    }
    std::uint64_t count = 0;
    for (const std::string& id : batch.groups) {
      const auto group = std::ranges::find(record.spec.groups, id, &group_spec::id);
      if (group == record.spec.groups.end() || !committed.insert(id).second) {
        return false;
      }
      count += group->size;
    }
    if (count != batch.count || count == 0) {
      return false;
    }
  }
  return true;
}

bool numbers_rise(const step_record& record) {
  std::uint64_t last = 0;
  for (const batch_entry& it : record.batches) {
    if (it.n <= last || it.parts == 0 || it.parts > max_samples_per_step) {
      return false;
    }
    last = it.n;
  }
  return last <= record.last_batch;
}

/// Bytes that the record may come to need for its batch list: every group id once in a batch that
/// counts and once in voided ones that are not cleared yet.
std::size_t reserve(const step_spec& spec) {
  std::size_t bytes = reserved_batches * batch_entry_bytes;
  for (const group_spec& it : spec.groups) {
    bytes += 2 * (json(it.id).dump().size() + 1);
  }
  return bytes;
}

} // namespace

result<void> check(const step_spec& spec) {
  if (!good_id(spec.model) || spec.max_tokens == 0 || spec.groups.empty()) {
    return error{error_code::invalid_argument,
                 "a step needs a model, max_tokens above 0 and at least one group"};
  }
  if (auto problem = problem_in_groups(spec.groups)) {
    return error{error_code::invalid_argument, std::move(*problem)};
  }
  if (to_text(spec).size() + reserve(spec) > max_store_value_bytes) {
    return error{error_code::invalid_argument,
                 "the prompts and batch list exceed a store value of 1 MB; split the step"};
  }
  return success();
}

std::string to_text(const step_spec& spec) {
  return boragedoor::to_text(to_json(spec));
}

std::string spec_hash(const step_spec& spec) {
  return sha256_hex(to_text(spec));
}

result<step_spec> step_spec_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  step_spec spec;
  if (!read_spec(value, spec)) {
    return error{error_code::invalid_argument,
                 "a step has model, weight_version, staleness_bound, max_tokens and "
                 "groups of {id, prompt, size}"};
  }
  BOOST_OUTCOME_TRY(check(spec));
  return spec;
}

std::string_view to_string(batch_state state) {
  return state_names[static_cast<std::size_t>(state)];
}

std::string to_text(const step_record& record) {
  json value = to_json(record.spec);
  value["trainer"] = record.trainer;
  value["step"] = record.step;
  value["hash"] = record.hash;
  value["last_batch"] = record.last_batch;
  value["complete"] = record.complete;
  value["token"] = record.token;
  json batches = json::array();
  for (const batch_entry& it : record.batches) {
    batches.push_back(to_json(it));
  }
  value["batches"] = std::move(batches);
  return boragedoor::to_text(value);
}

result<step_record> step_record_from_text(std::string_view text) {
  BOOST_OUTCOME_TRY(value, parse_json(text));
  step_record record;
  const bool ok =
      read_field(value, "trainer", record.trainer) && read_field(value, "step", record.step) &&
      read_field(value, "hash", record.hash) &&
      read_field(value, "last_batch", record.last_batch) &&
      read_field(value, "complete", record.complete) && read_field(value, "token", record.token) &&
      read_spec(value, record.spec) && read_batches(value, record.batches);
  if (!ok) {
    return damaged("a field is missing or of the wrong type or range");
  }
  if (problem_in_groups(record.spec.groups) || record.spec.groups.empty() != record.complete) {
    return damaged("the groups are not valid");
  }
  if (!numbers_rise(record) || !batches_match(record)) {
    return damaged("the batch list contradicts itself or the groups");
  }
  return record;
}

std::string step_key(std::string_view trainer, std::uint64_t step) {
  return "step/" + std::string(trainer) + "/" + std::to_string(step);
}

std::string batch_key(std::string_view trainer, std::uint64_t step, std::uint64_t n,
                      std::uint32_t part) {
  std::string key =
      "batch/" + std::string(trainer) + "/" + std::to_string(step) + "/" + std::to_string(n);
  return part == 0 ? key : key + "/" + std::to_string(part);
}

} // namespace boragedoor::ledger
