#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "daemon/daemon.h"
#include "net/event_loop.h"
#include "settings/daemon_settings.h"

DEFINE_string(settings, "", "INI file with the settings; see docs/settings.md");
DEFINE_bool(check, false, "check the settings, print every finding and exit");

namespace {

using namespace boragedoor;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run(const settings::daemon_settings& settings) {
  auto loop = net::event_loop::create();
  if (!loop) {
    std::cerr << "boragedoord: " << loop.error().message << '\n';
    return exit_failed;
  }
  auto instance = daemon::daemon::create(*loop.value(), settings);
  if (!instance) {
    std::cerr << "boragedoord: " << instance.error().message << '\n';
    return exit_failed;
  }
  const auto drain = [&instance] { instance.value()->drain(); };
  const net::signal_watch on_term(*loop.value(), SIGTERM, drain);
  const net::signal_watch on_interrupt(*loop.value(), SIGINT, drain);
  // Programs that start the daemon with port 0 read the real addresses from this line.
  std::cout << R"({"instance":")" << settings.instance.id << R"(","callers":")"
            << net::to_string(instance.value()->callers_address()) << R"(","peers":")"
            << net::to_string(instance.value()->peers_address()) << "\"}" << std::endl;
  loop.value()->run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs one instance of boragedoor\n\n  boragedoord --settings=FILE");
  gflags::SetVersionString(BORAGEDOOR_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "boragedoord: give the settings file: boragedoord --settings=FILE\n";
    return exit_usage;
  }
  const auto settings = boragedoor::settings::daemon_settings::load(FLAGS_settings);
  if (!settings) {
    std::cerr << boragedoor::to_string(settings.error());
    return exit_usage;
  }
  return FLAGS_check ? 0 : run(settings.value());
}
