#include "configuration/configuration.h"

#include <algorithm>

#include "configuration/canonical_order.h"
#include "configuration/element_checks.h"
#include "configuration/element_reader.h"

namespace boragedoor::config {

namespace {

constexpr auto form = document_form::configuration;
constexpr std::int64_t max_window_ms = 24LL * 60 * 60 * 1000;
constexpr std::int64_t max_limit = 1000000;

void read_limits(object_reader& from, config_limits& into) {
  into.max_step_samples = from.integer("max_step_samples", 1, max_limit);
  into.max_queued_requests = from.integer("max_queued_requests", 1, max_limit);
  into.claims_per_second = from.integer("claims_per_second", 0, max_limit);
}

void read_general(object_reader& root, configuration& into) {
  into.revision = static_cast<std::uint64_t>(root.integer("revision", 0, INT64_MAX));
  into.proposal_id = root.text("proposal_id");
  into.team = root.name("team");
  into.on_isolation = root.choice("on_isolation", parse_isolation_policy, "refuse or serve");
  into.usage_window = milliseconds(root.integer("usage_window_ms", 1000, max_window_ms));
  root.object("limits", [&](object_reader& it) { read_limits(it, into.limits); });
}

void read_lists(object_reader& root, configuration& into) {
  root.objects("data_centres", true,
               [&](object_reader& it) { into.data_centres.push_back(read_data_centre(it)); });
  root.objects("request_classes", true,
               [&](object_reader& it) { into.classes.push_back(read_request_class(it, form)); });
  root.objects("workspaces", true,
               [&](object_reader& it) { into.workspaces.push_back(read_workspace(it, form)); });
  root.objects("models", true, [&](object_reader& it) { into.models.push_back(read_model(it)); });
  root.objects("trainers", true,
               [&](object_reader& it) { into.trainers.push_back(read_trainer(it, nullptr)); });
  root.objects("services", true,
               [&](object_reader& it) { into.services.push_back(read_service(it)); });
  root.objects("pools", true,
               [&](object_reader& it) { into.pools.push_back(read_pool(it, form)); });
}

template <class T>
const T* find_named(const std::vector<T>& list, std::string_view name) {
  const auto it = std::ranges::find(list, name, &T::name);
  return it == list.end() ? nullptr : &*it;
}

} // namespace

checked<configuration> configuration::from_json(const json& value, std::string_view source) {
  document_checks checks(source);
  object_reader root(value, "$", checks);
  configuration it;
  if (value.is_object()) {
    read_general(root, it);
    read_lists(root, it);
    root.finish();
    check_document(it, checks);
  }
  if (!checks.list().empty()) {
    return std::move(checks.list());
  }
  put_in_canonical_order(it);
  return it;
}

checked<configuration> configuration::parse(std::string_view text, std::string_view source) {
  if (text.size() > max_document_bytes) {
    return findings{{std::string(source), 0, "$", "the document is too large",
                     "use at most " + std::to_string(max_document_bytes) + " bytes"}};
  }
  const auto value = parse_json(text);
  if (!value) {
    return findings{{std::string(source), 0, "$", value.error().message,
                     "generate it with: boragedoor questionnaire generate"}};
  }
  return from_json(value.value(), source);
}

std::string to_document(const configuration& it) {
  return to_text(to_json(it));
}

const workspace* find_workspace(const configuration& in, std::string_view name) {
  return find_named(in.workspaces, name);
}

const request_class* find_class(const configuration& in, std::string_view name) {
  return find_named(in.classes, name);
}

const model* find_model(const configuration& in, std::string_view name) {
  return find_named(in.models, name);
}

const trainer* find_trainer(const configuration& in, std::string_view name) {
  return find_named(in.trainers, name);
}

const service* find_service(const configuration& in, std::string_view name) {
  return find_named(in.services, name);
}

const pool* find_pool(const configuration& in, std::string_view name) {
  return find_named(in.pools, name);
}

const data_centre* find_data_centre(const configuration& in, std::string_view name) {
  return find_named(in.data_centres, name);
}

} // namespace boragedoor::config
