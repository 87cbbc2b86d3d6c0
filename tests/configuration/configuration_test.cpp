#include "configuration/configuration.h"

#include <algorithm>

#include "base/hash.h"
#include "configuration/diff.h"
#include "configuration/keys.h"
#include "configuration/routes.h"
#include "support/property.h"
#include "support/samples.h"

namespace boragedoor::config {

namespace {

std::string secret(char digit) {
  return std::string(key_secret_bytes * 2, digit);
}

issued_key issue(const configuration& it, std::string_view workspace, char digit) {
  auto issued = issue_key(it, workspace, secret(digit), wall_time(seconds(10)));
  REQUIRE(issued);
  return issued.value();
}

std::vector<std::string> texts(const configuration& before, const configuration& after) {
  std::vector<std::string> list;
  for (const auto& it : diff(before, after)) {
    list.push_back(to_string(it));
  }
  return list;
}

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("a generated configuration") {
  const auto answers = testing::sample_questionnaire("sinaltec");
  const auto first = generate(answers, {});

  SECTION("survives its document form byte for byte") {
    const auto copy = configuration::parse(to_document(first), "copy");
    REQUIRE(copy);
    CHECK(copy.value() == first);
    CHECK(to_document(copy.value()) == to_document(first));
  }
  SECTION("does not depend on the order of the answers") {
    auto shuffled = answers;
    std::ranges::reverse(shuffled.workspaces);
    std::ranges::reverse(shuffled.pools);
    std::ranges::reverse(shuffled.services.front().routes);
    CHECK(generate(shuffled, {}) == first);
  }
  SECTION("puts the part above the minimum on cheaper capacity where that harms nothing") {
    CHECK(find_pool(first, "plan-proposal")->sizes.front().cheap_maximum == 2);
    // The service has a non-idempotent route.
    CHECK(find_pool(first, "plan-service")->sizes.back().cheap_maximum == 0);
    auto strict = answers;
    for (auto& it : strict.classes) {
      it.cheap_allowed = false;
    }
    CHECK(find_pool(generate(strict, {}), "plan-proposal")->sizes.front().cheap_maximum == 0);
  }
  SECTION("keeps the keys of workspaces that stay") {
    auto previous = issue(issue(first, "capital", '1').next, "porto", '2').next;
    previous.revision = 7;
    auto fewer = answers;
    std::erase_if(fewer.workspaces, [](const workspace& it) { return it.name == "porto"; });
    const auto next = generate(fewer, previous);
    CHECK(next.revision == 7);
    CHECK(authenticate(next, "bd_" + secret('1')) ==
          key_owner{"capital", key_id_of("bd_" + secret('1'))});
    CHECK_FALSE(authenticate(next, "bd_" + secret('2')));
  }
  SECTION("is refused when it was changed into something inconsistent") {
    json value = to_json(first);
    value["workspaces"][0]["keys"].push_back({{"id", "a"}, {"sha256", "b"}, {"issued_at", 1}});
    value["trainers"][0]["model"] = "x";
    value["pools"][0]["sizes"][0]["cheap_maximum"] = 100;
    const auto it = configuration::from_json(value, "x");
    REQUIRE_FALSE(it);
    REQUIRE(it.error().size() == 3);
    CHECK(it.error().at(0).key == "$.workspaces[0].keys[0].sha256");
    CHECK(it.error().at(1).key == "$.pools[0].sizes[0].cheap_maximum");
    CHECK(it.error().at(2).key == "$.trainers[0].model");
    CHECK_FALSE(configuration::parse(std::string(max_document_bytes + 1, ' '), "x"));
  }
}

TEST_CASE("keys") {
  const auto base = testing::sample_configuration("threadwell");
  const auto issued = issue(base, "intake", 'a');

  SECTION("are recorded as hashes only") {
    CHECK(issued.key == "bd_" + secret('a'));
    CHECK(issued.key_id == sha256_hex(issued.key).substr(0, 16));
    CHECK(to_document(issued.next).find(secret('a')) == std::string::npos);
    CHECK(find_workspace(issued.next, "intake")->keys.front().issued_at == 10000);
  }
  SECTION("stop working when they are withdrawn") {
    const auto next = withdraw_key(issued.next, issued.key_id);
    REQUIRE(next);
    CHECK(next.value() == base);
    CHECK_FALSE(authenticate(next.value(), issued.key));
    CHECK(withdraw_key(base, issued.key_id).error().code == error_code::not_found);
  }
  SECTION("are refused for unknown workspaces, weak secrets and ids in use") {
    const wall_time now{};
    CHECK(issue_key(base, "x", secret('b'), now).error().code == error_code::not_found);
    CHECK(issue_key(base, "intake", "abc", now).error().code == error_code::invalid_argument);
    CHECK(issue_key(issued.next, "repair-van", secret('a'), now).error().code ==
          error_code::conflict);
  }
  SECTION("authenticate exactly when they were issued and not withdrawn") {
    testing::check_property("random issues and withdrawals", [&] {
      configuration it = base;
      std::map<std::string, std::string> valid;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange<std::uint64_t>(0, 12)));
      std::vector<std::string> seen = {"", "bd_", secret('a')};
      for (const auto& [n, number] : steps) {
        const auto& workspace = it.workspaces.at(static_cast<std::size_t>(n)).name;
        const std::string text = sha256_hex(std::to_string(number));
        if (auto issued_now = issue_key(it, workspace, text, wall_time{})) {
          it = issued_now.value().next;
          valid["bd_" + text] = workspace;
        } else {
          it = withdraw_key(it, key_id_of("bd_" + text)).value();
          valid.erase("bd_" + text);
        }
        seen.push_back("bd_" + text);
        seen.push_back(text);
      }
      for (const auto& key : seen) {
        const auto owner = authenticate(it, key);
        const auto found = valid.find(key);
        const auto expected = found == valid.end()
                                  ? std::nullopt
                                  : std::optional(key_owner{found->second, key_id_of(key)});
        const bool same = owner == expected;
        RC_ASSERT(same);
      }
    });
  }
}

TEST_CASE("the difference of two configurations") {
  const auto before = testing::sample_configuration("sinaltec");
  auto after = before;

  SECTION("is empty for equal ones, whatever their revision") {
    after.revision = 9;
    after.proposal_id = "p";
    CHECK(diff(before, after).empty());
  }
  SECTION("names what changed on one line each") {
    after.workspaces.front().weight = 9;
    after.limits.claims_per_second = 1;
    after.trainers.clear();
    CHECK(texts(before, after) == lines{"limits claims_per_second: 100 -> 1",
                                        R"(workspace "capital" weight: 8 -> 9)",
                                        R"(trainer "counted-traffic" removed)"});
  }
  SECTION("shows key ids but no hashes") {
    const auto issued = issue(before, "porto", '3');
    CHECK(texts(before, issued.next) ==
          lines{"key \"" + issued.key_id + "\" added to workspace \"porto\""});
    CHECK(texts(issued.next, before) ==
          lines{"key \"" + issued.key_id + "\" removed from workspace \"porto\""});
  }
  SECTION("is empty exactly when the documents are equal") {
    const json flat = to_json(before).flatten();
    testing::check_property("one number changed", [&] {
      const auto n = *rc::gen::inRange<std::size_t>(0, flat.size());
      const auto entry = std::next(flat.begin(), static_cast<std::ptrdiff_t>(n));
      json value = to_json(before);
      auto& field = value[json::json_pointer(entry.key())];
      RC_PRE(field.is_number() && entry.key() != "/revision");
      field = *rc::gen::inRange(0, 5000);
      if (const auto changed = configuration::from_json(value, "x")) {
        RC_ASSERT(diff(before, changed.value()).empty() == (changed.value() == before));
      }
    });
  }
}

TEST_CASE("routes of a service") {
  auto it = testing::sample_configuration("sinaltec");
  auto& routes = it.services.front().routes;
  routes = {{"*", "/", true, false},
            {"GET", "/plans", false, true},
            {"*", "/plans", false, false},
            {"GET", "/plans/today", true, true}};
  const auto prefix = [&](std::string_view method, std::string_view path) {
    const auto found = find_route(it, "plan-service", method, path);
    return found ? found->method + ' ' + found->path_prefix : std::string();
  };

  SECTION("match whole segments, and the longest prefix wins") {
    CHECK(prefix("GET", "/plans/7") == "GET /plans");
    CHECK(prefix("POST", "/plans") == "* /plans");
    CHECK(prefix("GET", "/plans/today") == "GET /plans/today");
    CHECK(prefix("GET", "/plansx") == "* /");
    CHECK(prefix("GET", "/") == "* /");
    CHECK_FALSE(find_route(it, "x", "GET", "/"));
  }
  SECTION("are not found for paths that an endpoint may read as those of another route") {
    // Otherwise the open route "/" would let a keyless caller reach /plans.
    for (const std::string_view path :
         {"", "plans", "//plans", "/x/../plans", "/./plans", "/..", "/x\\..\\plans", "/%70lans",
          "/;/plans", "/plans?x", "/\n"}) {
      INFO(path);
      CHECK(prefix("GET", path).empty());
    }
  }
}

} // namespace boragedoor::config
