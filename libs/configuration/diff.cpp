#include "configuration/diff.h"

#include <array>
#include <map>

namespace boragedoor::config {

namespace {

/// Compares the JSON forms, so that a new field of an element needs no code here.
class comparison {
public:
  std::vector<change> run(const json& before, const json& after) {
    compare_general(before, after);
    compare_fields(change_subject::limits, "", before["limits"], after["limits"]);
    constexpr auto lists = std::to_array<std::pair<const char*, change_subject>>({
        {"data_centres", change_subject::data_centre},
        {"request_classes", change_subject::request_class},
        {"workspaces", change_subject::workspace},
        {"models", change_subject::model},
        {"trainers", change_subject::trainer},
        {"services", change_subject::service},
        {"pools", change_subject::pool},
    });
    for (const auto& [field, subject] : lists) {
      compare_lists(subject, before[field], after[field]);
    }
    compare_keys(before["workspaces"], after["workspaces"]);
    return std::move(changes_);
  }

private:
  using named = std::map<std::string, json>;

  static named by_name(const json& list) {
    named map;
    for (const auto& it : list) {
      map[it["name"].get<std::string>()] = it;
    }
    return map;
  }

  void compare_general(const json& before, const json& after) {
    for (const char* field : {"team", "on_isolation", "usage_window_ms"}) {
      compare_field(change_subject::general, "", field, before[field], after[field]);
    }
  }

  void compare_lists(change_subject subject, const json& before, const json& after) {
    const named old_ones = by_name(before);
    const named new_ones = by_name(after);
    for (const auto& [name, value] : old_ones) {
      const auto it = new_ones.find(name);
      if (it == new_ones.end()) {
        add({change_kind::removed, subject, name, "", "", ""});
      } else {
        compare_fields(subject, name, value, it->second);
      }
    }
    for (const auto& [name, value] : new_ones) {
      if (!old_ones.contains(name)) {
        add({change_kind::added, subject, name, "", "", ""});
      }
    }
  }

  void compare_fields(change_subject subject, const std::string& name, const json& before,
                      const json& after) {
    json fields = before;
    fields.update(after);
    for (const auto& [field, unused] : fields.items()) {
      // Keys are compared on their own, because their hashes are not shown.
      if (subject != change_subject::workspace || field != "keys") {
        compare_field(subject, name, field, before.value(field, json()),
                      after.value(field, json()));
      }
    }
  }

  void compare_field(change_subject subject, const std::string& name, const std::string& field,
                     const json& before, const json& after) {
    if (before != after) {
      add({change_kind::modified, subject, name, field, to_text(before), to_text(after)});
    }
  }

  /// Maps "workspace/key id" to the key.
  static std::map<std::pair<std::string, std::string>, json> keys_of(const json& workspaces) {
    std::map<std::pair<std::string, std::string>, json> map;
    for (const auto& it : workspaces) {
      for (const auto& key : it["keys"]) {
        map[{it["name"].get<std::string>(), key["id"].get<std::string>()}] = key;
      }
    }
    return map;
  }

  void compare_keys(const json& before, const json& after) {
    const auto old_ones = keys_of(before);
    const auto new_ones = keys_of(after);
    for (const auto& [at, key] : old_ones) {
      const auto it = new_ones.find(at);
      if (it == new_ones.end()) {
        add({change_kind::removed, change_subject::key, at.second, "", at.first, ""});
      } else {
        compare_field(change_subject::key, at.second, "issued_at", key["issued_at"],
                      it->second["issued_at"]);
      }
    }
    for (const auto& [at, key] : new_ones) {
      if (!old_ones.contains(at)) {
        add({change_kind::added, change_subject::key, at.second, "", "", at.first});
      }
    }
  }

  void add(change it) { changes_.push_back(std::move(it)); }

  std::vector<change> changes_;
};

} // namespace

std::string_view to_string(change_kind it) {
  switch (it) {
  case change_kind::added:
    return "added";
  case change_kind::removed:
    return "removed";
  case change_kind::modified:
    return "modified";
  }
  return "unknown";
}

std::string_view to_string(change_subject it) {
  constexpr auto names =
      std::to_array<std::string_view>({"general", "limits", "data_centre", "request_class",
                                       "workspace", "key", "model", "trainer", "service", "pool"});
  return names.at(static_cast<std::size_t>(it));
}

std::string to_string(const change& it) {
  std::string text(to_string(it.subject));
  if (!it.name.empty()) {
    text += ' ' + to_text(json(it.name));
  }
  if (it.kind == change_kind::modified) {
    return text + ' ' + it.field + ": " + it.before + " -> " + it.after;
  }
  text += ' ' + std::string(to_string(it.kind));
  if (it.subject == change_subject::key) {
    const bool is_new = it.kind == change_kind::added;
    text += std::string(is_new ? " to" : " from") + " workspace " +
            to_text(json(is_new ? it.after : it.before));
  }
  return text;
}

json to_json(const change& it) {
  json value = {{"kind", to_string(it.kind)},
                {"subject", to_string(it.subject)},
                {"name", it.name},
                {"text", to_string(it)}};
  if (!it.field.empty()) {
    value["field"] = it.field;
    value["before"] = it.before;
    value["after"] = it.after;
  }
  return value;
}

std::vector<change> diff(const configuration& before, const configuration& after) {
  return comparison().run(to_json(before), to_json(after));
}

} // namespace boragedoor::config
