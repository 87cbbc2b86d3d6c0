#include "trainer_command.h"

#include <csignal>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "standin/trainer_client.h"

DEFINE_string(trainer, "trainer-1", "trainer: name.");
DEFINE_string(target, "", "trainer: instances to ask, HOST:PORT separated by commas.");
DEFINE_string(key, "", "trainer: workspace key.");
DEFINE_int64(steps, 1, "trainer: steps to run.");
DEFINE_int64(groups, 4, "trainer: groups of a step.");
DEFINE_int64(group_size, 4, "trainer: samples of a group.");
DEFINE_int64(max_tokens, 256, "trainer: bound of a sample's length.");
DEFINE_int64(staleness_bound, 1, "trainer: versions that a sample may be behind.");
DEFINE_int64(first_version, 1, "trainer: weight version of the first step.");
DEFINE_string(prompt, "Propose a signal plan", "trainer: start of every prompt.");
DEFINE_string(weight_store, "", "trainer: weight store to publish to, HOST:PORT.");
DEFINE_int64(wait_ms, 5000, "trainer: longest wait of one pull.");
DEFINE_int64(repeat_every, 3, "trainer: each such batch is pulled twice; 0 repeats none.");
DEFINE_int64(time_limit_s, 600, "trainer: time for all steps.");

DECLARE_string(model);

namespace boragedoor::standin {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

result<trainer_options> read_options() {
  trainer_options it;
  std::istringstream list(FLAGS_target);
  for (std::string text; std::getline(list, text, ',');) {
    it.targets.push_back(net::parse_address(text));
    if (it.targets.back().port == 0) {
      return error{error_code::invalid_argument, "--target=" + text + " is no HOST:PORT"};
    }
  }
  if (it.targets.empty()) {
    return error{error_code::invalid_argument, "the trainer needs --target=HOST:PORT"};
  }
  it.weight_store = net::parse_address(FLAGS_weight_store);
  if (!FLAGS_weight_store.empty() && it.weight_store.port == 0) {
    return error{error_code::invalid_argument, "--weight_store is no HOST:PORT"};
  }
  it.trainer = FLAGS_trainer;
  it.key = FLAGS_key;
  it.model = FLAGS_model.empty() ? "model" : FLAGS_model;
  it.steps = FLAGS_steps;
  it.groups = FLAGS_groups;
  it.group_size = FLAGS_group_size;
  it.max_tokens = FLAGS_max_tokens;
  it.staleness_bound = FLAGS_staleness_bound;
  it.first_version = FLAGS_first_version;
  it.prompt = FLAGS_prompt;
  it.wait = milliseconds(FLAGS_wait_ms);
  it.repeat_every = FLAGS_repeat_every;
  it.time_limit = seconds(FLAGS_time_limit_s);
  return it;
}

} // namespace

int run_trainer(net::event_loop& loop) {
  const auto options = read_options();
  if (!options) {
    std::cerr << options.error().message << '\n';
    return exit_usage;
  }
  trainer_client trainer(loop, options.value());
  const auto stop = [&loop] { loop.stop(); };
  const net::signal_watch on_term(loop, SIGTERM, stop);
  const net::signal_watch on_interrupt(loop, SIGINT, stop);
  trainer.start(stop);
  loop.run();
  std::cout << to_text(trainer.summary()) << std::endl;
  return trainer.is_done() && trainer.checks().violations().empty() ? 0 : exit_failed;
}

} // namespace boragedoor::standin
