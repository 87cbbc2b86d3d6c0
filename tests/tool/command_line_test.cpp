#include <catch2/catch.hpp>

#include "tool_run.h"

namespace boragedoor::tool {

using testing::run;

TEST_CASE("a wrong command line ends with status 2 and does nothing") {
  using words = std::vector<std::string>;
  for (const words& line : {
           words{},
           words{"nonsense"},
           words{"config"},
           words{"config", "nonsense"},
           words{"--json"},
           words{"version", "--json"},
           words{"version", "--flagfile=x"},
           words{"version", "x"},
           words{"questionnaire", "check"},
           words{"key", "list", "--target"},
           words{"key", "list", "--timeout_ms=soon"},
           words{"key", "list"},
           words{"key", "list", "--target=localhost:1"},
           words{"key", "list", "--target=127.0.0.1:1", "--timeout_ms=0"},
           words{"key", "withdraw", "bd_0123", "--target=127.0.0.1:1"},
           words{"key", "issue", "../x", "--target=127.0.0.1:1"},
           words{"instance", "drain", "a/b", "--target=127.0.0.1:1"},
           words{"usage", "show", "--window=1&x=2", "--target=127.0.0.1:1"},
           words{"timeline", "--file=x", "--since=yesterday"},
           words{"timeline", "--file=x", "--explain"},
       }) {
    const auto it = run(line);
    std::string text;
    for (const auto& word : line) {
      text += word + ' ';
    }
    INFO(text);
    CHECK(it.status == exit_usage);
    CHECK(it.out.empty());
    CHECK_FALSE(it.err.empty());
  }
}

TEST_CASE("a command line") {
  SECTION("may give the value of an option as the next word") {
    CHECK(run({"key", "list", "--target", "127.0.0.1:1"}).status == exit_failed);
    CHECK(run({"--nojson", "questionnaire", "check", "-"}, "{").err.starts_with("-: $: malformed"));
  }
  SECTION("has arguments that look like options after --") {
    CHECK(run({"questionnaire", "check", "--", "--json"}).err ==
          "boragedoor: --json: cannot be read; check the path and its permissions (io)\n");
  }
  SECTION("leaves no options behind for the next one") {
    run({"questionnaire", "check", "--json", "no_such_file"});
    CHECK(run({"questionnaire", "check", "-"}, "{").out.empty());
  }
  SECTION("that names a folder as a file fails with a message") {
    CHECK(run({"questionnaire", "check", "."}).status == exit_failed);
  }
}

TEST_CASE("the questionnaire commands") {
  const std::string sample = "../../samples/threadwell/questionnaire.json";
  CHECK(run({"questionnaire", "check", sample}).status == exit_ok);

  SECTION("generate the same document each time") {
    const auto first = run({"questionnaire", "generate", sample});
    CHECK(first.status == exit_ok);
    CHECK(first.out == run({"questionnaire", "generate", sample}).out);
    CHECK(first.out.find("\"fault-diagnosis\"") != std::string::npos);
  }
  SECTION("report findings as JSON for programs") {
    const auto it = run({"questionnaire", "check", "--json", "-"}, R"({"team": 1})");
    CHECK(it.status == exit_failed);
    CHECK(it.out.find(R"("path":"$.team")") != std::string::npos);
  }
  SECTION("write nothing when the questionnaire has findings") {
    const auto it = run({"questionnaire", "generate", "-"}, "{}");
    CHECK(it.status == exit_failed);
    CHECK(it.out.empty());
  }
}

} // namespace boragedoor::tool
