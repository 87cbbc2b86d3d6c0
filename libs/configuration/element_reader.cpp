#include "configuration/element_reader.h"

#include <algorithm>
#include <array>

#include "base/name.h"

namespace boragedoor::config {

namespace {

constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t max_deadline_ms = 24LL * 60 * 60 * 1000;
constexpr std::int64_t max_priority_budget = 1000000;
constexpr std::int64_t max_tokens_bound = 1000000;
constexpr std::int64_t max_staleness = 1000;
constexpr std::int64_t max_group_size = 1024;
constexpr std::int64_t max_replicas = 10000;
constexpr std::int64_t max_concurrency = 4096;

/// Deadlines of classes that state none. The one of rollouts is the time in which the samples of a
/// step complete (design page, target size).
std::int64_t default_deadline_ms(request_kind kind) {
  switch (kind) {
  case request_kind::interactive:
    return 30LL * 1000;
  case request_kind::rollout:
    return 24LL * 60 * 1000;
  case request_kind::background:
    return 5LL * 60 * 1000;
  }
  return 0;
}

/// People wait for interactive requests only, so only they may state a raised priority unasked.
std::int64_t default_priority_budget(request_kind kind) {
  return kind == request_kind::interactive ? 60 : 0;
}

std::optional<bool> parse_access(std::string_view text) {
  if (text != "open" && text != "keyed") {
    return std::nullopt;
  }
  return text == "open";
}

std::optional<std::string> parse_method(std::string_view text) {
  constexpr auto methods =
      std::to_array<std::string_view>({"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
  if (std::ranges::find(methods, text) == methods.end()) {
    return std::nullopt;
  }
  return std::string(text);
}

bool is_path_prefix(std::string_view text) {
  return text.starts_with('/') && text.find("//") == std::string_view::npos &&
         (text == "/" || !text.ends_with('/')) && std::ranges::all_of(text, [](char c) {
           return std::string_view("/-_.~").find(c) != std::string_view::npos ||
                  (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
         });
}

service_route read_route(object_reader& from) {
  service_route it;
  it.method =
      from.choice<std::string>("method", parse_method, "*, GET, HEAD, POST, PUT, PATCH or DELETE");
  it.path_prefix = from.text("path_prefix");
  if (from.has("path_prefix") && !is_path_prefix(it.path_prefix)) {
    from.report("path_prefix", "not a path prefix",
                "write it as /plans/today: whole segments without an ending slash");
  }
  it.open = from.choice<bool>("access", parse_access, "open or keyed");
  it.idempotent = from.boolean("idempotent");
  return it;
}

workspace_key read_key(object_reader& from) {
  workspace_key it;
  it.id = from.text("id");
  it.sha256 = from.text("sha256");
  it.issued_at = from.integer("issued_at", 0, INT64_MAX);
  if (!is_lower_hex(it.sha256, 64) || it.id != it.sha256.substr(0, 16)) {
    // The values are not shown, in case someone wrote a key in their place.
    from.report("sha256", "not a key hash whose first 16 digits are the id",
                "issue keys with: boragedoor key issue");
  }
  from.checks().define("key", it.id, from.path());
  return it;
}

pool_size read_size(object_reader& from, document_form form) {
  pool_size it;
  it.data_centre = from.name("data_centre");
  from.checks().refer("data_centre", it.data_centre, from.path("data_centre"));
  it.minimum = from.integer("minimum", 0, max_replicas);
  it.maximum = from.integer("maximum", 1, max_replicas);
  if (it.minimum > it.maximum) {
    from.report("minimum", "greater than maximum", "lower it or raise maximum");
  }
  if (form == document_form::configuration) {
    it.cheap_maximum = from.integer("cheap_maximum", 0, max_replicas);
    if (it.cheap_maximum > it.maximum) {
      from.report("cheap_maximum", "greater than maximum", "lower it");
    }
  }
  return it;
}

void read_served(object_reader& from, pool& into) {
  if (from.has("model") == from.has("service")) {
    from.checks().report(from.path(), "serves not exactly one of model and service",
                         "add one of the two fields");
  }
  if (from.has("model")) {
    into.model = from.name("model");
    from.checks().refer("model", into.model, from.path("model"));
  }
  if (from.has("service")) {
    into.service = from.name("service");
    from.checks().refer("service", into.service, from.path("service"));
  }
}

} // namespace

data_centre read_data_centre(object_reader& from) {
  data_centre it;
  it.name = from.name("name");
  from.checks().define("data_centre", it.name, from.path());
  it.region = from.name("region");
  it.ordering = from.choice("ordering", parse_order_fencing, "checks_token or ignores_token");
  return it;
}

request_class read_request_class(object_reader& from, document_form form) {
  const bool defaults = form == document_form::questionnaire;
  const auto optional = [defaults](auto value) {
    return defaults ? std::optional(value) : std::nullopt;
  };
  request_class it;
  it.name = from.name("name");
  from.checks().define("request_class", it.name, from.path());
  it.kind = from.choice("kind", parse_request_kind, "interactive, rollout or background");
  it.deadline = milliseconds(
      from.integer("deadline_ms", 1, max_deadline_ms, optional(default_deadline_ms(it.kind))));
  it.priority_budget = from.integer("priority_budget", 0, max_priority_budget,
                                    optional(default_priority_budget(it.kind)));
  it.cheap_allowed = from.boolean("cheaper_capacity", optional(false));
  return it;
}

workspace read_workspace(object_reader& from, document_form form) {
  workspace it;
  it.name = from.name("name");
  from.checks().define("workspace", it.name, from.path());
  it.weight = from.integer("weight", 1, max_weight,
                           form == document_form::questionnaire ? std::optional<std::int64_t>(1)
                                                                : std::nullopt);
  it.classes = from.names("request_classes");
  if (from.has("request_classes") && it.classes.empty()) {
    from.report("request_classes", "empty", "name at least one request class");
  }
  for (std::size_t n = 0; n < it.classes.size(); ++n) {
    const std::string path = from.path("request_classes") + '[' + std::to_string(n) + ']';
    from.checks().refer("request_class", it.classes[n], path);
    const auto end = it.classes.begin() + static_cast<std::ptrdiff_t>(n);
    if (std::find(it.classes.begin(), end, it.classes[n]) != end) {
      from.checks().report(path, "listed twice", "remove one of the two");
    }
  }
  if (form == document_form::configuration) {
    from.objects("keys", true, [&](object_reader& key) { it.keys.push_back(read_key(key)); });
  }
  return it;
}

model read_model(object_reader& from) {
  model it;
  it.name = from.name("name");
  from.checks().define("model", it.name, from.path());
  it.max_tokens = from.integer("max_tokens", 1, max_tokens_bound);
  return it;
}

trainer read_trainer(object_reader& from, const model* parent) {
  trainer it;
  it.name = from.name("name");
  from.checks().define("trainer", it.name, from.path());
  if (parent != nullptr) {
    it.model = parent->name;
  } else {
    it.model = from.name("model");
    from.checks().refer("model", it.model, from.path("model"));
  }
  it.workspace = from.name("workspace");
  from.checks().refer("workspace", it.workspace, from.path("workspace"));
  it.staleness_bound = from.integer("staleness_bound", 0, max_staleness);
  it.group_size = from.integer("group_size", 1, max_group_size);
  it.max_tokens =
      from.integer("max_tokens", 1, max_tokens_bound,
                   parent == nullptr ? std::nullopt : std::optional(parent->max_tokens));
  return it;
}

service read_service(object_reader& from) {
  service it;
  it.name = from.name("name");
  from.checks().define("service", it.name, from.path());
  from.objects("routes", true, [&](object_reader& route) {
    service_route next = read_route(route);
    for (const auto& other : it.routes) {
      if (other.method == next.method && other.path_prefix == next.path_prefix) {
        route.checks().report(route.path(), "same method and path prefix as an earlier route",
                              "keep one of the two");
      }
    }
    it.routes.push_back(std::move(next));
  });
  return it;
}

pool read_pool(object_reader& from, document_form form) {
  pool it;
  it.name = from.name("name");
  from.checks().define("pool", it.name, from.path());
  read_served(from, it);
  it.fencing = from.choice("fencing", parse_order_fencing, "checks_token or ignores_token");
  it.concurrency = from.integer("concurrency", 1, max_concurrency);
  from.objects("sizes", true, [&](object_reader& size) {
    pool_size next = read_size(size, form);
    if (!next.data_centre.empty() &&
        std::ranges::find(it.sizes, next.data_centre, &pool_size::data_centre) != it.sizes.end()) {
      size.report("data_centre", "listed twice", "keep one of the two");
    }
    it.sizes.push_back(std::move(next));
  });
  if (from.has("sizes") && it.sizes.empty()) {
    from.report("sizes", "empty", "name at least one data centre");
  }
  return it;
}

} // namespace boragedoor::config
