#include "events/catalogue.h"

#include <fstream>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

namespace boragedoor::events {

TEST_CASE("the event catalogue and its page agree") {
  // Tests run in their source directory.
  std::ifstream page("../../docs/events.md");
  REQUIRE(page);
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| 1")) {
      rows.insert(line);
    }
  }
  std::set<int> numbers;
  for (const event_kind& it : catalogue()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(it.number) << " | `" << it.name << "` | " << to_string(it.level)
        << " | " << it.meaning << " |";
    CHECK(rows.contains(row.str()));
    CHECK(numbers.insert(static_cast<int>(it.number)).second);
  }
  CHECK(rows.size() == catalogue().size());
}

} // namespace boragedoor::events
