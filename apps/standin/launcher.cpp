#include "launcher.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

namespace boragedoor::standin {

result<void> launcher::start(std::string_view name) {
  if (name == "all") {
    return start_all();
  }
  return start_one(name, options_.listen);
}

result<void> launcher::start_one(std::string_view name, const net::address& listen) {
  if (name == "engine") {
    return start_engine(listen);
  }
  if (name == "service") {
    return start_service(listen);
  }
  if (name == "ordering") {
    return start_ordering(listen);
  }
  if (name == "store") {
    options_.store.listen = listen;
    BOOST_OUTCOME_TRY(it, store_server::create(loop_, options_.store));
    ready(name, std::move(it));
  } else if (name == "usage") {
    options_.usage.listen = listen;
    BOOST_OUTCOME_TRY(it, usage_server::create(loop_, options_.usage));
    ready(name, std::move(it));
  } else if (name == "instances") {
    options_.instances.listen = listen;
    BOOST_OUTCOME_TRY(it, instance_server::create(loop_, options_.instances));
    ready(name, std::move(it));
  } else if (name == "weights") {
    options_.weights.listen = listen;
    BOOST_OUTCOME_TRY(it, weight_server::create(loop_, options_.weights));
    ready(name, std::move(it));
  } else {
    return error{error_code::not_found, "unknown stand-in " + std::string(name)};
  }
  return success();
}

result<void> launcher::start_engine(const net::address& listen) {
  options_.engine.listen = listen;
  BOOST_OUTCOME_TRY(it, engine_server::create(loop_, options_.engine));
  endpoints_.push_back(describe("engine", *it));
  ready("engine", std::move(it));
  return success();
}

result<void> launcher::start_service(const net::address& listen) {
  options_.service.listen = listen;
  BOOST_OUTCOME_TRY(it, service_server::create(loop_, options_.service));
  endpoints_.push_back(describe("service", *it));
  ready("service", std::move(it));
  return success();
}

result<void> launcher::start_ordering(const net::address& listen) {
  options_.ordering.listen = listen;
  BOOST_OUTCOME_TRY(it, ordering_server::create(loop_, options_.ordering));
  BOOST_OUTCOME_TRY(fill(it->state()));
  ready("ordering", std::move(it));
  return success();
}

result<void> launcher::start_all() {
  net::address next = options_.listen;
  // With a port given the stand-ins take consecutive ports from there.
  const auto start_next = [&](std::string_view name) {
    auto done = start_one(name, next);
    if (next.port != 0) {
      ++next.port;
    }
    return done;
  };
  for (const std::string_view name : {"store", "usage", "instances", "weights"}) {
    BOOST_OUTCOME_TRY(start_next(name));
  }
  for (int n = 1; n <= options_.engines; ++n) {
    options_.engine.endpoint = "engine-" + std::to_string(n);
    BOOST_OUTCOME_TRY(start_next("engine"));
  }
  for (int n = 1; n <= options_.services; ++n) {
    options_.service.endpoint = "service-" + std::to_string(n);
    BOOST_OUTCOME_TRY(start_next("service"));
  }
  return start_next("ordering");
}

result<void> launcher::fill(ordering_state& state) const {
  if (options_.endpoints_file.empty()) {
    return state.replace({{"endpoints", endpoints_}});
  }
  std::ifstream file(options_.endpoints_file);
  if (!file) {
    return error{error_code::io, "cannot read " + options_.endpoints_file};
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  BOOST_OUTCOME_TRY(document, parse_json(text));
  return state.replace(document);
}

void launcher::ready(std::string_view name, std::unique_ptr<stand_in> it) {
  std::cout << to_text({{"standin", name}, {"listen", net::to_string(it->local_address())}})
            << std::endl;
  running_.push_back(std::move(it));
}

json launcher::describe(const std::string& kind, const stand_in& it) const {
  const bool engine = kind == "engine";
  return {{"id", engine ? options_.engine.endpoint : options_.service.endpoint},
          {"address", net::to_string(it.local_address())},
          {"data_centre", "dc-1"},
          {"region", "region-1"},
          {"pool", kind},
          {"kind", kind},
          {"model", engine ? options_.engine.model : ""},
          {"tier", "standard"},
          {"state", "live"},
          {"fencing", to_string(options_.engine.order_fencing)},
          {"cost_per_hour", 1.0}};
}

} // namespace boragedoor::standin
