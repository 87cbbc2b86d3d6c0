#include "settings/daemon_settings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "settings/ini_entries.h"
#include "settings/setting_keys.h"
#include "support/property.h"

namespace boragedoor::settings {

namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

const std::string minimal = "[instance]\nid=a\ndata_centre=b\nregion=c\n"
                            "[listen]\ncallers=127.0.0.1:0\npeers=127.0.0.1:0\n"
                            "[platform]\nstore=127.0.0.1:1\ninstance_list=127.0.0.1:2\n"
                            "ordering=127.0.0.1:3\nusage_intake=127.0.0.1:4\n"
                            "weight_store=127.0.0.1:5\n[operator]\ntoken_sha256=" +
                            std::string(64, 'a') + "\n";

/// Findings for the minimal settings with more lines after them, which start at line 16.
findings findings_with(const std::string& lines) {
  auto it = daemon_settings::parse(minimal + lines, "x.ini");
  return it ? findings{} : it.error();
}

} // namespace

TEST_CASE("the settings of a daemon") {
  SECTION("need the required keys only") {
    const auto it = daemon_settings::parse(minimal, "x.ini");
    REQUIRE(it);
    CHECK(it.value().listen.callers == net::address{"127.0.0.1", 0});
    CHECK(it.value().platform.weight_store == net::address{"127.0.0.1", 5});

    SECTION("and take the others from the documented defaults") {
      std::string all = minimal;
      for (const auto& key : setting_keys()) {
        if (key.fallback) {
          all += '[' + std::string(key.section) + "]\n" + std::string(key.name) + " = " +
                 std::string(*key.fallback) + '\n';
        }
      }
      const auto same = daemon_settings::parse(all, "x.ini");
      REQUIRE(same);
      CHECK(same.value().timing.lease_ttl == it.value().timing.lease_ttl);
      CHECK(same.value().timing.drain_limit == it.value().timing.drain_limit);
      CHECK(same.value().limits.max_body_bytes == it.value().limits.max_body_bytes);
      CHECK(same.value().events.file == it.value().events.file);
      CHECK(same.value().data.folder == it.value().data.folder);
    }
  }
  SECTION("with five mistakes yield five findings in one run") {
    const auto it = daemon_settings::load("five_mistakes.ini");
    REQUIRE_FALSE(it);
    CHECK(it.error().size() == 5);
    CHECK(to_string(it.error()) == read_file("five_mistakes.expected"));
  }
  SECTION("that are missing are all named") {
    const auto it = daemon_settings::parse("", "x.ini");
    REQUIRE_FALSE(it);
    CHECK(it.error().size() == 11);
  }
  SECTION("that cannot be read are one finding") {
    CHECK(daemon_settings::load("no_such_file.ini").error().size() == 1);
  }
  SECTION("are checked line by line") {
    CHECK(findings_with("[nonsense]\n").at(0).line == 16);
    CHECK(findings_with("[timing\n").at(0).line == 16);
    CHECK(findings_with("\nno value\n").at(0).line == 17);
    CHECK(findings_with(std::string(1000, 'x') + "=1\n").at(0).problem == "the line is too long");
    CHECK(findings_with(std::string("[data]\nfolder=a\0b\n", 18)).at(0).line == 17);
    CHECK(findings_with("[limits]\nmax_body_bytes=1e6\n").at(0).problem == "not a whole number");
    CHECK(findings_with("[limits]\nmax_open_requests=0\n").at(0).problem == "out of range");
  }
  SECTION("never take an indented line as the continuation of a value") {
    CHECK(findings_with("[timing]\nlease_ttl = 6000\n  heartbeat = 100\n").empty());
  }
  SECTION("must fit together") {
    CHECK(findings_with("[timing]\nlease_renew=3001\n").at(0).key == "timing.lease_renew");
    CHECK(findings_with("[timing]\nheartbeat=6000\n").at(0).key == "timing.isolation_limit");
    CHECK(findings_with("[timing]\nusage_flush=60001\n").at(0).key == "timing.usage_flush");

    SECTION("unless one of the two values was refused already") {
      CHECK(findings_with("[timing]\nlease_ttl=x\nlease_renew=5000\n").size() == 1);
    }
  }
}

TEST_CASE("any text is either accepted or refused with findings that name the file") {
  testing::check_property("random bytes", [](const std::string& text) {
    const auto it = daemon_settings::parse(text, "x.ini");
    RC_ASSERT(!it);
    RC_ASSERT(!it.error().empty());
    for (const auto& finding : it.error()) {
      RC_ASSERT(finding.file == "x.ini");
      RC_ASSERT(!finding.problem.empty());
      RC_ASSERT(!finding.remedy.empty());
    }
  });
  testing::check_property("a changed line of valid settings", [] {
    const auto line = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]=;# \tatiming.lease_ttl0123\n\r")));
    const auto it = daemon_settings::parse(minimal + line, "x.ini");
    // The lines before the changed one are valid, so only later lines may be refused.
    const bool ok =
        it ? it.value().instance.id == "a" : !it.error().empty() && it.error().front().line > 15;
    RC_ASSERT(ok);
  });
}

TEST_CASE("the page of the settings has a row for each key") {
  const std::string page = read_file("../../docs/settings.md");
  for (const auto& key : setting_keys()) {
    const std::string fallback =
        !key.fallback ? "required" : (key.fallback->empty() ? "empty" : std::string(*key.fallback));
    const std::string row = "| `" + std::string(key.name) + "` | " + std::string(key.form) + " | " +
                            fallback + " | " + std::string(key.meaning) + " |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("the sample settings of both deployments") {
  // The sizes are those of the design page: 7 to 8 instances today.
  const auto count = [](const std::string& team) {
    std::set<std::string> ids;
    std::set<net::address> addresses;
    for (const auto& file :
         std::filesystem::directory_iterator("../../samples/" + team + "/instances")) {
      const auto it = daemon_settings::load(file.path().string());
      INFO(file.path().string());
      REQUIRE(it);
      CHECK(it.value().instance.id + ".ini" == file.path().filename().string());
      ids.insert(it.value().instance.id);
      addresses.insert(it.value().listen.callers);
      addresses.insert(it.value().listen.peers);
    }
    CHECK(addresses.size() == ids.size() * 2);
    return ids.size();
  };
  CHECK(count("sinaltec") == 8);
  CHECK(count("threadwell") == 7);
}

} // namespace boragedoor::settings
