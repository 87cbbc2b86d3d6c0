#include "configuration/document_reader.h"

#include "base/name.h"

namespace boragedoor::config {

namespace {

constexpr std::size_t max_text_bytes = 200;
constexpr std::size_t max_array_size = 10000;

/// Keeps long or binary field names out of findings.
std::string printable(std::string_view text) {
  constexpr std::size_t max_shown = 40;
  return to_text(json(text.substr(0, max_shown)));
}

} // namespace

void document_checks::report(std::string_view path, std::string problem, std::string remedy) {
  findings_.push_back({file_, 0, std::string(path), std::move(problem), std::move(remedy)});
}

void document_checks::define(std::string_view kind, std::string_view name, std::string_view path) {
  const auto [it, is_new] =
      definitions_.try_emplace({std::string(kind), std::string(name)}, std::string(path));
  if (!is_new && !name.empty()) {
    report(path, "duplicate of " + it->second, "give each " + std::string(kind) + " its own name");
  }
}

void document_checks::refer(std::string_view kind, std::string_view name, std::string_view path) {
  // An empty name was already reported when it was read.
  if (!name.empty()) {
    references_.push_back({std::string(kind), std::string(name), std::string(path)});
  }
}

void document_checks::resolve() {
  for (const auto& it : references_) {
    if (!definitions_.contains({it.kind, it.name})) {
      report(it.path, "unknown " + it.kind + " " + printable(it.name),
             "name a " + it.kind + " that the document defines");
    }
  }
}

std::string document_checks::path_of(std::string_view kind, std::string_view name) const {
  const auto it = definitions_.find({std::string(kind), std::string(name)});
  return it == definitions_.end() ? "$" : it->second;
}

object_reader::object_reader(const json& value, std::string path, document_checks& checks)
    : value_(value), path_(std::move(path)), checks_(checks) {
  if (!value_.is_object()) {
    checks_.report(path_, "not an object", "write {...}");
  }
}

bool object_reader::has(std::string_view field) const {
  return value_.is_object() && value_.contains(field);
}

std::string object_reader::text(std::string_view field) {
  const json* it = find(field, true);
  if (it == nullptr) {
    return {};
  }
  if (!it->is_string() || it->get_ref<const std::string&>().size() > max_text_bytes) {
    report(field, "not a text of at most " + std::to_string(max_text_bytes) + " bytes",
           "write a shorter text in quotes");
    return {};
  }
  return it->get<std::string>();
}

std::string object_reader::name(std::string_view field) {
  const json* it = find(field, true);
  if (it == nullptr) {
    return {};
  }
  if (!it->is_string() || !is_name(it->get_ref<const std::string&>())) {
    report(field, "not a name", std::string(name_rule));
    return {};
  }
  return it->get<std::string>();
}

std::int64_t object_reader::integer(std::string_view field, std::int64_t least, std::int64_t most,
                                    std::optional<std::int64_t> fallback) {
  if (find(field, !fallback.has_value()) == nullptr) {
    return fallback.value_or(least);
  }
  const auto value = integer_field(value_, field);
  if (!value || *value < least || *value > most) {
    report(field, value ? "out of range" : "not a whole number",
           "use " + std::to_string(least) + " to " + std::to_string(most));
    return least;
  }
  return *value;
}

bool object_reader::boolean(std::string_view field, std::optional<bool> fallback) {
  const json* it = find(field, !fallback.has_value());
  if (it == nullptr) {
    return fallback.value_or(false);
  }
  if (!it->is_boolean()) {
    report(field, "not a truth value", "use true or false");
    return false;
  }
  return it->get<bool>();
}

std::vector<std::string> object_reader::names(std::string_view field) {
  std::vector<std::string> list;
  const json* array = find_array(field, true);
  if (array == nullptr) {
    return list;
  }
  std::size_t n = 0;
  for (const json& it : *array) {
    if (it.is_string() && is_name(it.get_ref<const std::string&>())) {
      list.push_back(it.get<std::string>());
    } else {
      checks_.report(path(field) + '[' + std::to_string(n) + ']', "not a name",
                     std::string(name_rule));
    }
    ++n;
  }
  return list;
}

void object_reader::objects(std::string_view field, bool required,
                            const std::function<void(object_reader&)>& read) {
  const json* array = find_array(field, required);
  if (array == nullptr) {
    return;
  }
  std::size_t n = 0;
  for (const json& it : *array) {
    object_reader element(it, path(field) + '[' + std::to_string(n) + ']', checks_);
    if (it.is_object()) {
      read(element);
      element.finish();
    }
    ++n;
  }
}

void object_reader::object(std::string_view field,
                           const std::function<void(object_reader&)>& read) {
  const json* it = find(field, true);
  if (it == nullptr) {
    return;
  }
  object_reader element(*it, path(field), checks_);
  if (it->is_object()) {
    read(element);
    element.finish();
  }
}

void object_reader::report(std::string_view field, std::string problem, std::string remedy) {
  checks_.report(path(field), std::move(problem), std::move(remedy));
}

void object_reader::finish() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [field, value] : value_.items()) {
    if (!known_.contains(field)) {
      checks_.report(path_, "unknown field " + printable(field),
                     "remove it or see docs/questionnaire.md");
    }
  }
}

std::string object_reader::path(std::string_view field) const {
  return path_ + '.' + std::string(field);
}

const json* object_reader::find(std::string_view field, bool required) {
  known_.emplace(field);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto it = value_.find(field);
  if (it != value_.end()) {
    return &*it;
  }
  if (required) {
    report(field, "missing", "add the field");
  }
  return nullptr;
}

const json* object_reader::find_array(std::string_view field, bool required) {
  const json* it = find(field, required);
  if (it == nullptr) {
    return nullptr;
  }
  if (!it->is_array() || it->size() > max_array_size) {
    report(field, "not a list of at most " + std::to_string(max_array_size) + " entries",
           "write [...]");
    return nullptr;
  }
  return it;
}

} // namespace boragedoor::config
