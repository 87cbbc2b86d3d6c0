#include "tool/command_page.h"

#include <algorithm>

#include "tool/flags.h"

namespace boragedoor::tool {

namespace {

constexpr std::string_view exit_statuses[] = {"0: done.",
                                              "1: refused or failed; the message says what to do.",
                                              "2: the command line is wrong; nothing was done."};

std::string synopsis(const command& it) {
  std::string text = "boragedoor " + std::string(it.name);
  if (!it.options.empty()) {
    text += " [OPTION...]";
  }
  if (!it.arguments.empty()) {
    text += ' ' + std::string(it.arguments);
  }
  return text;
}

/// "--timeout_ms=INT32 (10000)": the form of an option with its default.
std::string option_form(const gflags::CommandLineFlagInfo& info) {
  if (info.type == "bool") {
    return "--" + info.name;
  }
  std::string kind = info.type == "string" ? "TEXT" : "NUMBER";
  return "--" + info.name + '=' + kind +
         (info.default_value.empty() ? "" : " (default " + info.default_value + ')');
}

std::string code(std::string_view text, bool markdown) {
  return markdown ? '`' + std::string(text) + '`' : std::string(text);
}

std::string options(const command& it, bool markdown) {
  std::string text;
  for (const auto name : it.options) {
    const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    text += "- " + code(option_form(info), markdown) + ": " + info.description + '\n';
  }
  return text + "- " + code("--help", markdown) + ": Print this text.\n";
}

std::string examples(const command& it, bool markdown) {
  std::string text;
  for (const auto& example : it.examples) {
    text += std::string(example.meaning) + ":\n" + (markdown ? "\n" : "") + "    " +
            std::string(example.line) + '\n' + (markdown ? "\n" : "");
  }
  if (markdown && !text.empty()) {
    text.pop_back();
  }
  return text;
}

std::string dashed(std::string_view name) {
  std::string text(name);
  std::ranges::replace(text, ' ', '-');
  return text;
}

std::string see_also(const command& it, bool markdown) {
  std::string text;
  for (const auto name : it.see_also) {
    text += text.empty() ? "" : ", ";
    text += markdown ? '[' + std::string(name) + "](" + dashed(name) + ".md)" : std::string(name);
  }
  return text + '\n';
}

std::string render(const command& it, bool markdown) {
  const auto section = [markdown](std::string_view name, const std::string& body) {
    const std::string heading =
        markdown ? "## " + std::string(name) + "\n\n" : std::string(name) + '\n';
    return '\n' + heading + body;
  };
  std::string statuses;
  for (const auto status : exit_statuses) {
    statuses += "- " + std::string(status) + '\n';
  }
  std::string text = (markdown ? "# boragedoor " : "boragedoor ") + std::string(it.name) +
                     (markdown ? "\n\n" : ": ") + std::string(it.summary) + '\n';
  text += section("Synopsis", "    " + synopsis(it) + '\n');
  text += section("Description", std::string(it.description) + '\n');
  text += section("Options", options(it, markdown));
  text += section("Exit status", statuses);
  text += section("Examples", examples(it, markdown));
  text += section("See also", see_also(it, markdown));
  return text;
}

} // namespace

std::string help_text(const command& it) {
  return render(it, false);
}

std::string reference_page(const command& it) {
  return render(it, true);
}

std::string page_name(const command& it) {
  return dashed(it.name) + ".md";
}

std::string command_list() {
  constexpr std::size_t name_width = 24;
  std::string text = "Usage: boragedoor COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n";
  for (const auto& it : commands()) {
    std::string name(it.name);
    name.resize(std::max(name_width, name.size() + 1), ' ');
    text += "  " + name + std::string(it.summary) + '\n';
  }
  return text + "\n'boragedoor COMMAND --help' explains a command.\n";
}

std::string page_index() {
  std::string text = "# Commands of boragedoor\n\n| command | job |\n| --- | --- |\n";
  for (const auto& it : commands()) {
    text += "| [" + std::string(it.name) + "](" + page_name(it) + ") | " + std::string(it.summary) +
            " |\n";
  }
  return text;
}

} // namespace boragedoor::tool
