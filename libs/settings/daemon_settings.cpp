#include "settings/daemon_settings.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "base/file.h"
#include "settings/ini_entries.h"
#include "settings/setting_keys.h"

namespace boragedoor::settings {

namespace {

/// Collects findings over all checks of one text.
class settings_reader {
public:
  explicit settings_reader(std::string_view file) : file_(file) {}

  checked<daemon_settings> read(std::string_view text) {
    ini_content content = read_ini(text, file_);
    findings_ = std::move(content.problems);
    for (const auto& it : content.sections) {
      check_section(it);
    }
    for (const auto& it : content.entries) {
      apply(it);
    }
    check_missing();
    check_combinations();
    if (!findings_.empty()) {
      std::ranges::stable_sort(findings_, {}, [](const finding& it) {
        // Findings without a line are about the file as a whole and come last.
        return it.line == 0 ? std::numeric_limits<int>::max() : it.line;
      });
      return std::move(findings_);
    }
    return std::move(settings_);
  }

private:
  void check_section(const ini_section& it) {
    if (!is_section(it.name)) {
      report(it.line, '[' + it.name + ']', "unknown section", "see docs/settings.md");
    }
  }

  void apply(const ini_entry& it) {
    const std::string name = it.section + '.' + it.key;
    if (it.section.empty()) {
      report(it.line, it.key, "key outside of a section", "write it below a [section] line");
      return;
    }
    if (!is_section(it.section)) {
      return;
    }
    const setting_key* key = find_setting(it.section, it.key);
    if (key == nullptr) {
      report(it.line, name, "unknown key", "remove it or see docs/settings.md");
      return;
    }
    const auto [first, is_new] = lines_.emplace(name, it.line);
    if (!is_new) {
      report(it.line, name, "duplicate of line " + std::to_string(first->second),
             "keep one of the two lines");
      return;
    }
    if (auto problem = key->apply(settings_, it.value)) {
      refused_.insert(name);
      report(it.line, name, std::move(problem->problem), std::move(problem->remedy));
    }
  }

  void check_missing() {
    for (const auto& key : setting_keys()) {
      const std::string name = std::string(key.section) + '.' + std::string(key.name);
      if (!key.fallback && !lines_.contains(name)) {
        report(0, name, "missing",
               "add " + std::string(key.name) + " = (" + std::string(key.form) + ") to [" +
                   std::string(key.section) + ']');
      }
    }
  }

  void check_combinations() {
    const auto& timing = settings_.timing;
    // A holder must be able to miss one renewal and still hold its lease.
    check(timing.lease_renew * 2 <= timing.lease_ttl, "timing.lease_renew", "timing.lease_ttl",
          "more than half of lease_ttl", "use at most " + text_of(timing.lease_ttl / 2));
    // One lost heartbeat must not isolate an instance.
    check(timing.heartbeat * 2 <= timing.isolation_limit, "timing.isolation_limit",
          "timing.heartbeat", "less than two heartbeats",
          "use at least " + text_of(timing.heartbeat * 2));
    check(timing.usage_flush <= timing.usage_window, "timing.usage_flush", "timing.usage_window",
          "longer than usage_window", "use at most " + text_of(timing.usage_window));
    const auto& [callers, peers] = settings_.listen;
    check(callers.port == 0 || callers != peers, "listen.peers", "listen.callers",
          "the same address as callers", "use another port");
  }

  /// Reports a combination of two keys, unless one of them is already reported: its value is then
  /// a default that the user did not mean.
  void check(bool ok, const std::string& name, const std::string& other, std::string problem,
             std::string remedy) {
    if (!ok && !refused_.contains(name) && !refused_.contains(other)) {
      const auto it = lines_.find(name);
      report(it == lines_.end() ? 0 : it->second, name, std::move(problem), std::move(remedy));
    }
  }

  static std::string text_of(milliseconds it) { return std::to_string(it.count()); }

  void report(int line, std::string key, std::string problem, std::string remedy) {
    findings_.push_back({file_, line, std::move(key), std::move(problem), std::move(remedy)});
  }

  std::string file_;
  daemon_settings settings_;
  findings findings_;
  /// Line of each known key that the text has.
  std::map<std::string, int> lines_;
  /// Keys whose value was refused.
  std::set<std::string> refused_;
};

} // namespace

checked<daemon_settings> daemon_settings::parse(std::string_view text, std::string_view file) {
  return settings_reader(file).read(text);
}

checked<daemon_settings> daemon_settings::load(const std::string& path) {
  const auto text = read_whole_file(path);
  if (!text) {
    return findings{{path, 0, "", "cannot be read", "check the path and its permissions"}};
  }
  return parse(text.value(), path);
}

} // namespace boragedoor::settings
