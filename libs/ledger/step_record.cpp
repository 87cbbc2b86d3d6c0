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
/// Space that one batch entry takes in the record without its group ids: hash, numbers and field
/// names.
constexpr std::size_t batch_entry_bytes = 300;
/// Number of batch entries that space is reserved for, in addition to one for each value-sized
/// content. Voided batches stay listed until their content is deleted.
constexpr std::size_t reserved_batch_entries = 256;

constexpr std::array<std::string_view, 4> batch_state_names = {"listed", "delivered",
                                                               "acknowledged", "voided"};

error invalid_record(std::string_view reason) {
  return error{error_code::protocol, "step record: " + std::string(reason)};
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

bool parse_groups(const json& value, std::vector<group_spec>& to) {
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

bool parse_spec(const json& value, step_spec& to) {
  return read_field(value, "model", to.model) &&
         read_field(value, "weight_version", to.weight_version) &&
         read_field(value, "staleness_bound", to.staleness_bound) &&
         read_field(value, "max_tokens", to.max_tokens) && parse_groups(value, to.groups);
}

bool parse_state(const json& value, batch_state& to) {
  const auto name = string_field(value, "state");
  const auto* it = std::ranges::find(batch_state_names, name.value_or(""));
  if (it == batch_state_names.end()) {
    return false;
  }
  to = static_cast<batch_state>(it - batch_state_names.begin());
  return true;
}

bool parse_batch(const json& value, batch_entry& to) {
  return read_field(value, "n", to.n) && read_field(value, "hash", to.hash) &&
         read_field(value, "count", to.count) && read_field(value, "parts", to.parts) &&
         read_field(value, "groups", to.groups) &&
         read_field(value, "least_version", to.least_version) && parse_state(value, to.state) &&
         read_field(value, "delivered_version", to.delivered_version) &&
         read_field(value, "deleted", to.deleted);
}

bool parse_batches(const json& value, std::vector<batch_entry>& to) {
  const json* list = array_field(value, "batches");
  return list != nullptr && std::ranges::all_of(*list, [&to](const json& it) {
           return parse_batch(it, to.emplace_back());
         });
}

bool is_valid_id(std::string_view id) {
  return !id.empty() && id.size() <= max_id_bytes;
}

std::optional<std::string> find_group_problem(const std::vector<group_spec>& groups) {
  std::set<std::string_view> ids;
  std::uint64_t samples = 0;
  for (const group_spec& it : groups) {
    samples += it.size;
    if (!is_valid_id(it.id) || !ids.insert(it.id).second) {
      return "group ids must be unique and 1 to 128 bytes long";
    }
    if (it.size == 0 || samples > max_samples_per_step) {
      return "each group needs at least one sample; a step has at most 32,768 samples";
    }
  }
  return std::nullopt;
}

/// Whether every group of a batch that is not voided exists, is in only one such batch, and the
/// sample count of each batch is the sum of its group sizes.
bool batches_match_groups(const step_record& record) {
  std::set<std::string_view> committed_groups;
  for (const batch_entry& batch : record.batches) {
    if (batch.state == batch_state::voided) {
      continue;
    }
    std::uint64_t count = 0;
    for (const std::string& id : batch.groups) {
      const auto group = std::ranges::find(record.spec.groups, id, &group_spec::id);
      if (group == record.spec.groups.end() || !committed_groups.insert(id).second) {
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

bool batch_numbers_ascend(const step_record& record) {
  std::uint64_t last = 0;
  for (const batch_entry& it : record.batches) {
    if (it.n <= last || it.parts == 0 || it.parts > max_samples_per_step) {
      return false;
    }
    last = it.n;
  }
  return last <= record.last_batch;
}

/// Upper estimate of the bytes that the batch list takes in the record: each group id occurs once
/// in a valid batch and once in a voided batch that is not removed yet.
std::size_t batch_list_reserve_bytes(const step_spec& spec) {
  std::size_t bytes = reserved_batch_entries * batch_entry_bytes;
  for (const group_spec& it : spec.groups) {
    bytes += 2 * (json(it.id).dump().size() + 1);
  }
  return bytes;
}

} // namespace

result<void> validate(const step_spec& spec) {
  if (!is_valid_id(spec.model) || spec.max_tokens == 0 || spec.groups.empty()) {
    return error{
        error_code::invalid_argument,
        "a step needs a model name of 1 to 128 bytes, max_tokens above 0 and at least one group"};
  }
  if (auto problem = find_group_problem(spec.groups)) {
    return error{error_code::invalid_argument, std::move(*problem)};
  }
  if (to_text(spec).size() + batch_list_reserve_bytes(spec) > max_store_value_bytes) {
    return error{
        error_code::invalid_argument,
        "the prompts and the batch list do not fit into a store value of 1 MB; split the step"};
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
  if (!parse_spec(value, spec)) {
    return error{
        error_code::invalid_argument,
        "a step requires the fields model, weight_version, staleness_bound, max_tokens and "
        "groups of {id, prompt, size}"};
  }
  BOOST_OUTCOME_TRY(validate(spec));
  return spec;
}

std::string_view to_string(batch_state state) {
  return batch_state_names[static_cast<std::size_t>(state)];
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
      parse_spec(value, record.spec) && parse_batches(value, record.batches);
  if (!ok) {
    return invalid_record("a field is missing, has the wrong type or is out of range");
  }
  if (find_group_problem(record.spec.groups) || record.spec.groups.empty() != record.complete) {
    return invalid_record("the groups are invalid");
  }
  if (!batch_numbers_ascend(record) || !batches_match_groups(record)) {
    return invalid_record("the batch list is inconsistent or does not match the groups");
  }
  return record;
}

std::string step_key(std::string_view trainer, std::uint64_t step) {
  return "step/" + std::string(trainer) + "/" + std::to_string(step);
}

std::string batch_key(std::string_view trainer, std::uint64_t step, std::uint64_t batch_number,
                      std::uint32_t part) {
  std::string key = "batch/" + std::string(trainer) + "/" + std::to_string(step) + "/" +
                    std::to_string(batch_number);
  return part == 0 ? key : key + "/" + std::to_string(part);
}

} // namespace boragedoor::ledger
