#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/finding.h"
#include "base/json.h"

namespace boragedoor::config {

/// Collects the findings of one document, and which names it defines and refers to.
class document_checks {
public:
  explicit document_checks(std::string_view file) : file_(file) {}

  void report(std::string_view path, std::string problem, std::string remedy);

  /// Notes that an element of a kind ("workspace") exists; a second one of that name is a finding.
  void define(std::string_view kind, std::string_view name, std::string_view path);

  /// Notes a reference, which `resolve` checks when the whole document has been read.
  void refer(std::string_view kind, std::string_view name, std::string_view path);

  /// Reports each reference to a name that the document does not define.
  void resolve();

  /// Path of a defined element; "$" for an unknown one.
  [[nodiscard]] std::string path_of(std::string_view kind, std::string_view name) const;

  [[nodiscard]] findings& list() { return findings_; }

private:
  struct reference {
    std::string kind;
    std::string name;
    std::string path;
  };

  std::string file_;
  findings findings_;
  std::map<std::pair<std::string, std::string>, std::string> definitions_;
  std::vector<reference> references_;
};

/// Reads the fields of one JSON object. Every problem becomes a finding with the field's JSON path,
/// and the read function then returns a harmless value.
class object_reader {
public:
  /// Reports a value that is no object.
  object_reader(const json& value, std::string path, document_checks& checks);

  [[nodiscard]] bool has(std::string_view field) const;

  /// Required text of at most 200 bytes.
  std::string text(std::string_view field);

  /// Required text that is a name (see `is_name`).
  std::string name(std::string_view field);

  /// Text from a fixed set; `parse` returns nothing for other texts. Required without a fallback.
  template <class T>
  T choice(std::string_view field, std::optional<T> (*parse)(std::string_view),
           std::string_view choices, std::optional<T> fallback = std::nullopt) {
    const json* it = find(field, !fallback.has_value());
    if (it == nullptr) {
      return fallback.value_or(T{});
    }
    const auto value = it->is_string() ? parse(it->get_ref<const std::string&>()) : std::nullopt;
    if (!value) {
      report(field, "not one of the possible values", "use " + std::string(choices));
    }
    return value.value_or(T{});
  }

  /// Whole number in a range. Required without a fallback.
  std::int64_t integer(std::string_view field, std::int64_t least, std::int64_t most,
                       std::optional<std::int64_t> fallback = std::nullopt);

  /// Truth value. Required without a fallback.
  bool boolean(std::string_view field, std::optional<bool> fallback = std::nullopt);

  /// Array of at most 10,000 names.
  std::vector<std::string> names(std::string_view field);

  /// Array of at most 10,000 objects. Optional arrays may be missing.
  void objects(std::string_view field, bool required,
               const std::function<void(object_reader&)>& read);

  /// Object in a field.
  void object(std::string_view field, const std::function<void(object_reader&)>& read);

  void report(std::string_view field, std::string problem, std::string remedy);

  /// Reports the fields that nothing has read.
  void finish();

  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] std::string path(std::string_view field) const;
  [[nodiscard]] document_checks& checks() { return checks_; }

private:
  const json* find(std::string_view field, bool required);
  const json* find_array(std::string_view field, bool required);

  const json& value_;
  std::string path_;
  document_checks& checks_;
  std::set<std::string, std::less<>> known_;
};

} // namespace boragedoor::config
