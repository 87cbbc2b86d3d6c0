#include "configuration/questionnaire.h"

#include "configuration/element_checks.h"
#include "configuration/element_reader.h"

namespace boragedoor::config {

namespace {

constexpr auto form = document_form::questionnaire;
constexpr std::int64_t max_window_ms = 24LL * 60 * 60 * 1000;

void read_model_with_trainers(object_reader& from, questionnaire& into) {
  model it = read_model(from);
  from.objects("trainers", false, [&](object_reader& trainer) {
    into.trainers.push_back(read_trainer(trainer, &it));
  });
  into.models.push_back(std::move(it));
}

void read_lists(object_reader& root, questionnaire& into) {
  root.objects("data_centres", true,
               [&](object_reader& it) { into.data_centres.push_back(read_data_centre(it)); });
  root.objects("request_classes", true,
               [&](object_reader& it) { into.classes.push_back(read_request_class(it, form)); });
  root.objects("workspaces", true,
               [&](object_reader& it) { into.workspaces.push_back(read_workspace(it, form)); });
  root.objects("models", false, [&](object_reader& it) { read_model_with_trainers(it, into); });
  root.objects("services", false,
               [&](object_reader& it) { into.services.push_back(read_service(it)); });
  root.objects("pools", false,
               [&](object_reader& it) { into.pools.push_back(read_pool(it, form)); });
}

} // namespace

checked<questionnaire> questionnaire::from_json(const json& value, std::string_view file) {
  document_checks checks(file);
  object_reader root(value, "$", checks);
  questionnaire it;
  if (value.is_object()) {
    it.team = root.name("team");
    it.on_isolation = root.choice("on_isolation", parse_isolation_policy, "refuse or serve",
                                  std::optional(isolation_policy::refuse));
    it.usage_window = milliseconds(root.integer("usage_window_ms", 1000, max_window_ms, 60000));
    read_lists(root, it);
    root.finish();
    check_document(it, checks);
  }
  if (!checks.list().empty()) {
    return std::move(checks.list());
  }
  return it;
}

checked<questionnaire> questionnaire::parse(std::string_view text, std::string_view file) {
  const auto value = parse_json(text);
  if (!value) {
    return findings{{std::string(file), 0, "$", value.error().message,
                     "check the text with a JSON tool; docs/questionnaire.md has an example"}};
  }
  return from_json(value.value(), file);
}

} // namespace boragedoor::config
