// A batch job of one tenant whose item names a path that holds a second request.
#include "deployment.h"

using namespace review;

namespace {

/// A replica that notes each request that it runs.
class noting_replica {
public:
  noting_replica(deployment& at, const std::string& id, const std::string& service,
                 const std::string& model)
      : at_(at), id_(id) {
    server_ = http1::server::listen(
                  *at.loop, {"127.0.0.1", 0}, [this](const auto& it) { on_call(it); },
                  &boragedoor::instance::listener_refusal)
                  .value();
    json models = json::array();
    if (!model.empty()) {
      models.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    at.store.put("servers/" + id, {{"service", service},
                                   {"address", net::to_string(server_->local_address())},
                                   {"zone", "z1"},
                                   {"version", "v1"},
                                   {"slots", 8},
                                   {"state", "ready"},
                                   {"cold_remaining_ms", 0},
                                   {"models", models},
                                   {"sequence", 1},
                                   {"born", 1}});
  }

  struct run {
    std::string id;
    std::string target;
    std::string tenant;
  };
  std::vector<run> runs;

private:
  void on_call(const std::shared_ptr<http1::exchange>& it) {
    const http1::request& from = it->received();
    if (from.target == "/report") {
      it->respond({200,
                   {{"Content-Type", "application/json"}},
                   to_text({{"stage", "both"},
                            {"models", {{{"name", "m"}, {"version", 1}}}},
                            {"busy", false},
                            {"sequence", 0},
                            {"queued", 0},
                            {"running", 0},
                            {"born", 1}})});
      return;
    }
    const std::string expected(net::find_header(from.headers, "Expect-Replica"));
    const std::string id(net::find_header(from.headers, "Attempt-Id"));
    if (!expected.empty() && expected != id_) {
      it->respond({421, {{"Attempt-Id", id}}, {}});
      return;
    }
    if (id.empty()) {
      it->respond({400, {{"Not-Executed", "1"}}, {}});
      return;
    }
    runs.push_back({id, from.target, std::string(net::find_header(from.headers, "Tenant"))});
    at_.note("replica {} runs request {}: {} {}, Tenant {}", id_, id, from.method, from.target,
             runs.back().tenant);
    it->start({200,
               {{"Content-Type", "text/event-stream"},
                {"Attempt-Id", id},
                {"Response-Signature", "sig-" + id},
                {"Weight-Versions", "1"}},
               {}});
    it->send_chunk("id: 1\ndata: t1\n\n");
    it->finish();
  }

  deployment& at_;
  std::string id_;
  std::unique_ptr<http1::server> server_;
};

} // namespace

int main(int argc, char** argv) {
  deployment it(argc, argv);
  it.store.put("op/config", configuration());
  noting_replica engine(it, "e-1", "models", "m");
  const server_process first = it.start("front-1");
  if (!it.wait_ready(first)) {
    return it.finish(could_not_run, "the instance did not become ready");
  }
  // Within the limits of the configuration: a short text of printable characters and line ends.
  const std::string second_request = " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 00000000000000aa\r\n"
                                     "Content-Length: 0\r\n\r\n"
                                     "POST /jobs/of-south HTTP/1.1\r\nHost: a.example\r\n"
                                     "Attempt-Id: 00000000000000bb\r\nTenant: south\r\n"
                                     "Content-Length: 10\r\n\r\n";
  const std::string item = "00000000000000aa";
  const json job = {{"step", 0},
                    {"model", "m"},
                    {"min_version", 1},
                    {"desired", 1},
                    {"items",
                     {{{"id", item},
                       {"path", "/jobs/x" + (it.trouble ? second_request : std::string())},
                       {"headers", {{"Model", "m"}, {"Token-Usage", "10,100"}}},
                       {"body", base64("body")},
                       {"tokens", 110},
                       {"group", "g0"}}}}};
  const auto out = it.call(
      first.front, deployment::request("POST", "/jobs/x", "00000000000000cc", "key-n", to_text(job)));
  it.note("tenant north submits job 00000000000000cc: {} {}", http1::to_string(out.outcome),
          out.response.status);
  it.wait([&] { return !engine.runs.empty(); }, seconds(8));
  it.pass(seconds(2));
  const std::set<std::string> sent = {item};
  for (const auto& one : engine.runs) {
    if (!sent.contains(one.id)) {
      return it.finish(broken, fmt::format("the replica ran request {} for tenant {}, whose key no "
                                           "client has shown",
                                           one.id, one.tenant));
    }
  }
  if (!it.trouble && engine.runs.empty()) {
    return it.finish(could_not_run, "the item did not run");
  }
  return it.finish(held, fmt::format("{} runs, all of them of the job", engine.runs.size()));
}
