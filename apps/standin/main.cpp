#include <csignal>
#include <iostream>
#include <string>

#include <gflags/gflags.h>

#include "launcher.h"
#include "trainer_command.h"

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr const char* usage_text =
    "Runs a small fake of one part of the platform.\n"
    "usage: boragedoor-standin "
    "store|engine|service|ordering|usage|instances|weights|all [--listen=HOST:PORT] [flags]\n"
    "       boragedoor-standin trainer --target=HOST:PORT[,HOST:PORT...] --key=KEY [flags]";

int run_servers(boragedoor::net::event_loop& loop, const std::string& name) {
  auto options = boragedoor::standin::read_flags();
  if (!options) {
    std::cerr << options.error().message << '\n';
    return exit_usage;
  }
  boragedoor::standin::launcher launcher(loop, options.value());
  const auto stop = [&loop] { loop.stop(); };
  const boragedoor::net::signal_watch on_term(loop, SIGTERM, stop);
  const boragedoor::net::signal_watch on_interrupt(loop, SIGINT, stop);
  const auto started = launcher.start(name);
  if (!started) {
    std::cerr << started.error().message << '\n';
    return started.error().code == boragedoor::error_code::not_found ? exit_usage : exit_failed;
  }
  loop.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(usage_text);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc != 2) {
    std::cerr << usage_text << '\n';
    return exit_usage;
  }
  auto loop = boragedoor::net::event_loop::create();
  if (!loop) {
    std::cerr << loop.error().message << '\n';
    return exit_failed;
  }
  const std::string name = argv[1];
  return name == "trainer" ? boragedoor::standin::run_trainer(*loop.value())
                           : run_servers(*loop.value(), name);
}
