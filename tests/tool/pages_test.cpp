#include "tool/command_page.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include <catch2/catch.hpp>

#include "tool_run.h"

namespace boragedoor::tool {

namespace {

std::string read_page(const std::string& name) {
  std::ifstream file("../../docs/commands/" + name);
  INFO(name);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

TEST_CASE("the reference pages are those of the commands") {
  // Update a page with: boragedoor help --page COMMAND > docs/commands/NAME.md
  std::set<std::string> names = {"README.md"};
  CHECK(read_page("README.md") == page_index());
  for (const auto& it : commands()) {
    names.insert(page_name(it));
    CHECK(read_page(page_name(it)) == reference_page(it));
    for (const auto other : it.see_also) {
      INFO(other);
      CHECK(find_command(other) != nullptr);
    }
  }
  for (const auto& file : std::filesystem::directory_iterator("../../docs/commands")) {
    INFO(file.path().string());
    CHECK(names.contains(file.path().filename().string()));
  }
}

TEST_CASE("each command explains itself") {
  for (const auto& it : commands()) {
    std::vector<std::string> words;
    std::istringstream name{std::string(it.name)};
    for (std::string word; name >> word;) {
      words.push_back(word);
    }
    words.emplace_back("--help");
    const auto run = testing::run(words);
    INFO(it.name);
    CHECK(run.status == exit_ok);
    CHECK(run.err.empty());
    for (const char* section :
         {"Synopsis", "Description", "Options", "Exit status", "Examples", "See also"}) {
      CHECK(run.out.find('\n' + std::string(section) + '\n') != std::string::npos);
    }
    for (const auto& option : it.options) {
      CHECK(run.out.find("--" + std::string(option)) != std::string::npos);
    }
  }
}

} // namespace boragedoor::tool
