#include "flags.h"

#include <charconv>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "Address to listen on; port 0 takes any free port.");
DEFINE_double(writes_per_second, 0, "store: writes that are answered; 0 sets no limit.");
DEFINE_double(reads_per_second, 0, "store: reads that are answered; 0 sets no limit.");
DEFINE_int32(history, 10000, "store: changes kept for watches.");
DEFINE_string(endpoint, "", "engine, service: name in load reports.");
DEFINE_string(model, "", "engine: model that is served; empty serves any.");
DEFINE_string(fencing, "checked",
              "engine, ordering: old fencing tokens are \"checked\" (rejected) "
              "or \"ignored\".");
DEFINE_int32(max_batch, 32, "engine: requests that run at the same time.");
DEFINE_double(tokens_per_second, 2000, "engine: output tokens, shared by the running requests.");
DEFINE_int32(token_interval_ms, 2, "engine: shortest time between two tokens of a request.");
DEFINE_double(prompt_tokens_per_second, 50000, "engine: prompt tokens of each request.");
DEFINE_int64(kv_total, 65536, "engine: tokens that the memory holds.");
DEFINE_int32(swap_ms, 200, "engine: time to load a version.");
DEFINE_int64(weight_version, 1, "engine: version after a start.");
DEFINE_string(role, "mixed", "engine: role after a start.");
DEFINE_int32(load_lag_ms, 100, "engine: age of load reports.");
DEFINE_int32(cache_event_lag_ms, 50, "engine: age of cache events.");
DEFINE_int32(cache_event_gap, 10, "engine: each such cache event is lost; 0 loses none.");
DEFINE_int32(latency_ms, 0, "service: time from a call's effect to its answer.");
DEFINE_string(endpoints, "", "ordering: JSON file with the endpoints.");
DEFINE_int32(start_ms, 0, "ordering: time that an added endpoint stays \"starting\".");
DEFINE_int32(drain_ms, 5000, "ordering: time that a surplus endpoint stays \"draining\".");
DEFINE_int32(lag_ms, 2000, "instances: age of the list.");
DEFINE_double(downloads_per_second, 0, "weights: downloads that are answered; 0 sets no limit.");
DEFINE_int32(engines, 2, "all: engines to start.");
DEFINE_int32(services, 1, "all: services to start.");

namespace boragedoor::standin {

namespace {

/// Like `net::parse_address`, with port 0 allowed.
result<net::address> read_address(const std::string& text) {
  const error failure{error_code::invalid_argument,
                      "--listen=" + text + " is no address; write HOST:PORT"};
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return failure;
  }
  net::address it{text.substr(0, colon), 0};
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, it.port);
  if (ec != std::errc() || end != last) {
    return failure;
  }
  return it;
}

void read_engine(engine_options& it) {
  it.model = FLAGS_model;
  it.endpoint = FLAGS_endpoint.empty() ? "engine" : FLAGS_endpoint;
  it.engine.max_batch = static_cast<std::size_t>(std::max(1, FLAGS_max_batch));
  it.engine.tokens_per_second = FLAGS_tokens_per_second;
  it.engine.token_interval = milliseconds(FLAGS_token_interval_ms);
  it.engine.prompt_tokens_per_second = FLAGS_prompt_tokens_per_second;
  it.engine.kv_total = FLAGS_kv_total;
  it.engine.swap_time = milliseconds(FLAGS_swap_ms);
  it.engine.weight_version = FLAGS_weight_version;
  it.engine.role = FLAGS_role;
  it.engine.load_lag = milliseconds(FLAGS_load_lag_ms);
  it.engine.cache_events = {milliseconds(FLAGS_cache_event_lag_ms), FLAGS_cache_event_gap};
}

} // namespace

result<program_options> read_flags() {
  BOOST_OUTCOME_TRY(listen, read_address(FLAGS_listen));
  if (FLAGS_fencing != "checked" && FLAGS_fencing != "ignored") {
    return error{error_code::invalid_argument, "--fencing is \"checked\" or \"ignored\""};
  }
  if (FLAGS_tokens_per_second <= 0 || FLAGS_prompt_tokens_per_second <= 0) {
    return error{error_code::invalid_argument, "token rates must be above 0"};
  }
  const fencing mode = FLAGS_fencing == "checked" ? fencing::checked : fencing::ignored;
  program_options it;
  it.listen = listen;
  it.store.writes_per_second = FLAGS_writes_per_second;
  it.store.reads_per_second = FLAGS_reads_per_second;
  it.store.history = static_cast<std::size_t>(std::max(0, FLAGS_history));
  read_engine(it.engine);
  it.engine.order_fencing = mode;
  it.service.endpoint = FLAGS_endpoint.empty() ? "service" : FLAGS_endpoint;
  it.service.latency = milliseconds(FLAGS_latency_ms);
  it.ordering.order_fencing = mode;
  it.ordering.start_time = milliseconds(FLAGS_start_ms);
  it.ordering.drain_time = milliseconds(FLAGS_drain_ms);
  it.instances.lag = milliseconds(FLAGS_lag_ms);
  it.weights.downloads_per_second = FLAGS_downloads_per_second;
  it.endpoints_file = FLAGS_endpoints;
  it.engines = std::max(0, FLAGS_engines);
  it.services = std::max(0, FLAGS_services);
  return it;
}

} // namespace boragedoor::standin
