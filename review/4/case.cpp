// A caller's request that arrives more than three seconds after SIGTERM is passed on to a replica
// and then cut off when the process ends within its grace period.
#include "kit.h"

using namespace kit;

int main(int, char** argv) {
  const bool trouble = begin(argv[1]);
  store platform;
  cloud intake;
  json unsafe = make_route("tune", "unsafe", "tuner");
  unsafe["max_attempts"] = 1;
  platform.put("op/config", make_configuration(3, json::array({unsafe}), {"tuner"}));

  std::mutex mutex;
  std::map<string, double> began, done;
  const auto run = [&](replica& self, const std::shared_ptr<connection>& c, message& m) {
    const string id = find(m.fields, "Attempt-Id");
    const double work = std::atof(m.body.c_str());
    {
      std::lock_guard hold(mutex);
      began[id] = now_s();
    }
    note("replica %s: begins %s, Deadline-Ms %s", self.config().id.c_str(), id.c_str(),
         find(m.fields, "Deadline-Ms").c_str());
    const double until = now_s() + work;
    while (now_s() < until) {
      sleep_s(0.02);
      if (c->peer_closed()) {
        note("replica %s: the connection of %s was closed", self.config().id.c_str(), id.c_str());
        return false;
      }
    }
    std::lock_guard hold(mutex);
    done[id] = now_s();
    note("replica %s: answers %s", self.config().id.c_str(), id.c_str());
    return c->write(to_text(200, self.answer_headers(m), "plan of " + id));
  };
  replica one(platform, {.id = "i-1", .service = "tuner"}, run);
  replica two(platform, {.id = "i-2", .service = "tuner"}, run);
  instance a("front-a", "z1", platform.at(), intake.at());
  instance b("front-b", "z1", platform.at(), intake.at());
  a.start();
  b.start();
  a.await_ready();
  b.await_ready();
  await_members(a, 2);
  sleep_s(3.5);

  // Two callers keep a connection to A, as from an earlier request, and may use A's address for
  // three times `ttl_s` = 2 s after the last lookup that named it.
  const auto found = resolve(b.directory);
  note("lookup at B names %zu addresses", found.size());
  const auto call = [&](const string& id, double work, double at, reply& out) {
    sleep_until(at);
    out = send_to(a.front, "POST", "/tune/x", caller_headers(id, 9000), std::to_string(work), 9.5);
    note("caller: %s sent at %.3f: status %d, %s, after %.3f s", id.c_str(), out.sent_at,
         out.answer.status, out.whole() ? "complete" : "no complete answer",
         out.ended_at - out.sent_at);
  };
  const double term = now_s() + 0.3;
  reply early, late;
  std::thread first([&] { call("early-1", 4.3, term - 0.2, early); });
  std::thread second([&] { call("late-1", 3.4, term + 4.0, late); });
  sleep_until(term);
  if (trouble)
    a.signal(SIGTERM);
  double ended = 0;
  while (now_s() < term + 8.5) {
    sleep_s(0.01);
    if (ended == 0 && a.ended()) {
      ended = now_s();
      note("A ended %.3f s after SIGTERM", ended - term);
    }
  }
  first.join();
  second.join();
  if (!early.connected)
    cannot_run("the first request was not sent");
  // LOST: read whole and passed on, and the connection ended without a complete answer.
  bool broken = false;
  for (const auto& [id, out] : {std::pair<string, reply*>{"early-1", &early}, {"late-1", &late}}) {
    const bool lost = began.contains(id) && !out->whole();
    note("%s: passed on %s, complete answer %s", id.c_str(), began.contains(id) ? "yes" : "no",
         out->whole() ? "yes" : "no");
    broken = broken || lost;
  }
  note("%s", broken ? "LOST is broken" : "LOST holds");
  one.stop();
  two.stop();
  finish(broken ? 1 : 0);
}
