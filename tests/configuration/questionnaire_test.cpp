#include "configuration/questionnaire.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>

#include "configuration/configuration.h"
#include "configuration/generate.h"
#include "support/property.h"
#include "support/samples.h"

namespace boragedoor::config {

namespace {

/// Paths of the findings for a sample after a change.
std::vector<std::string> paths_after(const std::function<void(json&)>& change) {
  json value = testing::sample_json("sinaltec");
  change(value);
  const auto it = questionnaire::from_json(value, "q.json");
  std::vector<std::string> paths;
  if (!it) {
    for (const auto& finding : it.error()) {
      paths.push_back(finding.key);
    }
  }
  return paths;
}

using paths = std::vector<std::string>;

std::pair<std::int64_t, std::int64_t> total_size(const questionnaire& it, std::string_view served) {
  std::pair<std::int64_t, std::int64_t> total;
  for (const auto& pool : it.pools) {
    const bool counts = served == "model" ? !pool.model.empty() : !pool.service.empty();
    for (const auto& size : pool.sizes) {
      total.first += counts ? size.minimum : 0;
      total.second += counts ? size.maximum : 0;
    }
  }
  return total;
}

bool contains(std::pair<std::int64_t, std::int64_t> range, std::int64_t n) {
  return range.first <= n && n <= range.second;
}

} // namespace

TEST_CASE("the sample questionnaires have the sizes of both deployments") {
  const auto sinaltec = testing::sample_questionnaire("sinaltec");
  CHECK(sinaltec.data_centres.size() == 4);
  CHECK(sinaltec.workspaces.size() == 8);
  CHECK(contains(total_size(sinaltec, "model"), 10));
  CHECK(contains(total_size(sinaltec, "service"), 4));

  const auto threadwell = testing::sample_questionnaire("threadwell");
  CHECK(threadwell.data_centres.size() == 3);
  CHECK(threadwell.workspaces.size() == 8);
  CHECK(threadwell.models.size() == 2);
  CHECK(contains(total_size(threadwell, "model"), 10));
  CHECK(contains(total_size(threadwell, "service"), 3));
}

TEST_CASE("the page of the questionnaire explains every field of the samples") {
  std::ifstream file("../../docs/questionnaire.md");
  REQUIRE(file);
  const std::string page(std::istreambuf_iterator<char>(file), {});
  for (const char* team : {"sinaltec", "threadwell"}) {
    const json flat = testing::sample_json(team).flatten();
    for (const auto& [path, value] : flat.items()) {
      // "/pools/0/sizes/1/minimum" is the field `minimum`; list entries have no name of their own.
      const std::string field = path.substr(path.rfind('/') + 1);
      INFO(path);
      CHECK((std::isdigit(static_cast<unsigned char>(field.front())) != 0 ||
             page.find("| `" + field + "` |") != std::string::npos));
    }
  }
}

TEST_CASE("a questionnaire") {
  SECTION("that leaves optional answers out gets their defaults") {
    const auto it = testing::sample_questionnaire("sinaltec");
    const auto found = std::ranges::find(it.classes, "proposal-rollout", &request_class::name);
    REQUIRE(found != it.classes.end());
    // The samples of a step complete within 24 minutes (design page).
    CHECK(found->deadline == std::chrono::minutes(24));
    CHECK(found->priority_budget == 0);
  }
  SECTION("names each wrong field by its JSON path") {
    CHECK(paths_after([](json& it) { it["team"] = 7; }) == paths{"$.team"});
    CHECK(paths_after([](json& it) { it["on_isolation"] = "ask"; }) == paths{"$.on_isolation"});
    CHECK(paths_after([](json& it) { it["data_centres"] = {}; }).size() > 1);
    CHECK(paths_after([](json& it) { it["workspaces"][2]["weight"] = 0; }) ==
          paths{"$.workspaces[2].weight"});
    CHECK(paths_after([](json& it) { it["workspaces"][1] = 5; }) == paths{"$.workspaces[1]"});
    CHECK(paths_after([](json& it) { it["services"][0]["routes"][1]["access"] = "any"; }) ==
          paths{"$.services[0].routes[1].access"});
    CHECK(paths_after([](json& it) { it["services"][0]["routes"][1]["path_prefix"] = "plans"; }) ==
          paths{"$.services[0].routes[1].path_prefix"});
    CHECK(paths_after([](json& it) { it["pools"][0]["sizes"][3]["minimum"] = 9; }) ==
          paths{"$.pools[0].sizes[3].minimum"});
  }
  SECTION("has no unknown fields, duplicates or dangling names") {
    CHECK(paths_after([](json& it) { it["wieght"] = 1; }) == paths{"$"});
    CHECK(paths_after([](json& it) { it["workspaces"][1]["name"] = "capital"; }) ==
          paths{"$.workspaces[1]"});
    CHECK(paths_after([](json& it) { it["workspaces"][0]["request_classes"][1] = "x"; }) ==
          paths{"$.workspaces[0].request_classes[1]"});
    CHECK(paths_after([](json& it) { it["pools"][0]["sizes"][0]["data_centre"] = "x"; }) ==
          paths{"$.pools[0].sizes[0].data_centre"});
    CHECK(paths_after([](json& it) { it["pools"][0]["service"] = "plan-service"; }) ==
          paths{"$.pools[0]"});
  }
  SECTION("must fit together") {
    CHECK(paths_after([](json& it) { it["models"][0]["trainers"][0]["workspace"] = "capital"; }) ==
          paths{"$.models[0].trainers[0].workspace"});
    CHECK(paths_after([](json& it) { it["models"][0]["max_tokens"] = 100; }) ==
          paths{"$.models[0].trainers[0].max_tokens"});
    CHECK(paths_after([](json& it) { it["pools"].erase(1); }) == paths{"$.services[0]"});
  }
  SECTION("with several mistakes reports all of them") {
    CHECK(paths_after([](json& it) {
            it["team"] = "";
            it["request_classes"][0]["kind"] = "batch";
            it["models"][0]["trainers"][0].erase("staleness_bound");
          }).size() == 3);
  }
  SECTION("that is no JSON object is one finding") {
    CHECK(questionnaire::parse("{", "q.json").error().size() == 1);
    CHECK(questionnaire::parse("[]", "q.json").error().size() == 1);
    CHECK(questionnaire::parse(std::string(100000, '['), "q.json").error().size() == 1);
  }
}

TEST_CASE("any document is either accepted or refused with findings") {
  testing::check_property("random text", [](const std::string& text) {
    RC_ASSERT(!questionnaire::parse(text, "q.json"));
  });
  const json sample = testing::sample_json("threadwell");
  const json flat = sample.flatten();
  testing::check_property("a sample with one value replaced", [&] {
    const auto n = *rc::gen::inRange<std::size_t>(0, flat.size());
    const json wrong = *rc::gen::elementOf(std::vector<json>{nullptr,
                                                             true,
                                                             -1,
                                                             1e300,
                                                             UINT64_MAX,
                                                             "",
                                                             "x/..",
                                                             "\xff",
                                                             json::array(),
                                                             json::object(),
                                                             {{"name", "a"}}});
    json value = sample;
    value[json::json_pointer(std::next(flat.begin(), static_cast<std::ptrdiff_t>(n)).key())] =
        wrong;
    const auto it = questionnaire::from_json(value, "q.json");
    if (it) {
      // Whatever the questionnaire check accepts, the configuration check accepts as well.
      const auto document = to_document(generate(it.value(), {}));
      RC_ASSERT(static_cast<bool>(configuration::parse(document, "generated")));
    } else {
      RC_ASSERT(!it.error().empty());
      for (const auto& finding : it.error()) {
        RC_ASSERT(finding.key.starts_with('$'));
        RC_ASSERT(!finding.remedy.empty());
      }
    }
  });
}

} // namespace boragedoor::config
