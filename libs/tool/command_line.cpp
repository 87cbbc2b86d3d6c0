#include "tool/command_line.h"

#include <algorithm>
#include <utility>

#include "tool/flags.h"

namespace boragedoor::tool {

namespace {

struct option {
  std::string name;
  std::string value;
};

error usage_error(std::string message) {
  return {error_code::invalid_argument, std::move(message)};
}

/// Splits the words into options and others.
class word_reader {
public:
  explicit word_reader(std::span<const std::string> words) : rest_(words) {}

  result<void> read() {
    bool options_ended = false;
    while (!rest_.empty()) {
      const std::string word = next();
      if (options_ended || !word.starts_with('-') || word == "-") {
        others.push_back(word);
      } else if (word == "--") {
        options_ended = true;
      } else if (word == "--help" || word == "-h") {
        line.help = true;
      } else if (word == "--version") {
        line.version = true;
      } else {
        BOOST_OUTCOME_TRY(read_option(word));
      }
    }
    return success();
  }

  std::vector<std::string> others;
  std::vector<option> options;
  command_line line;

private:
  std::string next() {
    std::string word = rest_.front();
    rest_ = rest_.subspan(1);
    return word;
  }

  result<void> read_option(const std::string& word) {
    const std::string text = word.substr(word.starts_with("--") ? 2 : 1);
    const auto equals = text.find('=');
    option it{text.substr(0, equals), {}};
    gflags::CommandLineFlagInfo info;
    const bool known = gflags::GetCommandLineFlagInfo(it.name.c_str(), &info);
    if (equals != std::string::npos) {
      it.value = text.substr(equals + 1);
    } else if (known && info.type == "bool") {
      it.value = "true";
    } else if (!known && it.name.starts_with("no")) {
      it = {it.name.substr(2), "false"};
    } else if (known && rest_.empty()) {
      return usage_error("option --" + it.name + " needs a value: --" + it.name + "=VALUE");
    } else if (known) {
      it.value = next();
    }
    options.push_back(std::move(it));
    return success();
  }

  std::span<const std::string> rest_;
};

/// Takes the command's words off `others`; two words go before one.
const command* take_command(std::vector<std::string>& others) {
  for (const std::size_t n : {2U, 1U}) {
    if (others.size() < n) {
      continue;
    }
    const std::string name = n == 2 ? others[0] + ' ' + others[1] : others[0];
    if (const command* it = find_command(name)) {
      others.erase(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(n));
      return it;
    }
  }
  return nullptr;
}

error unknown_command(const std::vector<std::string>& others) {
  const bool is_group = std::ranges::any_of(
      commands(), [&](const command& it) { return it.name.starts_with(others.front() + ' '); });
  const std::string name =
      is_group && others.size() > 1 ? others[0] + ' ' + others[1] : others.front();
  return usage_error("'" + name + "' is no command; 'boragedoor help' lists the commands");
}

result<void> set_option(const command& chosen, const option& it) {
  if (std::ranges::find(chosen.options, it.name) == chosen.options.end()) {
    return usage_error("'" + std::string(chosen.name) + "' has no option --" + it.name +
                       "; see 'boragedoor " + std::string(chosen.name) + " --help'");
  }
  if (gflags::SetCommandLineOption(it.name.c_str(), it.value.c_str()).empty()) {
    return usage_error("'" + it.value + "' is no value for --" + it.name + "; see 'boragedoor " +
                       std::string(chosen.name) + " --help'");
  }
  return success();
}

result<void> check_arguments(const command& chosen, std::size_t n) {
  if (n < chosen.least_arguments || n > chosen.most_arguments) {
    std::string form = "boragedoor " + std::string(chosen.name);
    if (!chosen.arguments.empty()) {
      form += ' ' + std::string(chosen.arguments);
    }
    return usage_error((n < chosen.least_arguments ? "an argument is missing: "
                                                   : "there are too many arguments: ") +
                       form);
  }
  return success();
}

} // namespace

result<command_line> parse_command_line(std::span<const std::string> words) {
  word_reader reader(words);
  BOOST_OUTCOME_TRY(reader.read());
  command_line line = std::move(reader.line);
  if (reader.others.empty()) {
    if (!reader.options.empty()) {
      return usage_error("an option without a command; 'boragedoor help' lists the commands");
    }
    return line;
  }
  line.chosen = take_command(reader.others);
  line.arguments = std::move(reader.others);
  if (line.chosen == nullptr) {
    return unknown_command(line.arguments);
  }
  for (const auto& it : reader.options) {
    BOOST_OUTCOME_TRY(set_option(*line.chosen, it));
  }
  if (!line.help) {
    BOOST_OUTCOME_TRY(check_arguments(*line.chosen, line.arguments.size()));
  }
  return line;
}

} // namespace boragedoor::tool
