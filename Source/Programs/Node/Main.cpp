/// \file
/// acacia-node: the router beside one upstream instance.

#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "Node/Node.h"
#include "Settings/SettingsFile.h"
#include "Settings/SettingsReference.h"

DEFINE_string(settings, "", "Path of the TOML settings file.");
DEFINE_bool(check, false, "Check the settings and exit.");
DEFINE_bool(print_settings_reference, false,
            "Print the reference of all settings and exit.");

namespace {

constexpr int ExitFailure = 1;
/// The settings are not valid.
constexpr int ExitSettings = 2;
/// The fleet has retired this incarnation; start the program again.
constexpr int ExitRetired = 75;

/// Waits for SIGTERM or SIGINT on a thread of its own.
class StopSignals {
public:
  StopSignals() {
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

  void forwardTo(acaciaroad::node::Node &node) {
    Waiter = std::thread([this, &node] {
      int number = 0;
      sigwait(&Signals, &number);
      node.requestStop();
    });
  }

  /// Ends the thread. If no signal came, the process sends one to itself.
  void join() {
    kill(getpid(), SIGTERM);
    Waiter.join();
  }

private:
  sigset_t Signals{};
  std::thread Waiter;
};

int run(const acaciaroad::settings::NodeSettings &settings) {
  StopSignals signals;
  const auto node = acaciaroad::node::Node::create(settings);
  if (!node) {
    fmt::print(stderr, "acacia-node: {}\n", node.error().Detail);
    return ExitFailure;
  }
  signals.forwardTo(**node);
  const auto reason = (*node)->run();
  signals.join();
  switch (reason) {
  case acaciaroad::node::ExitReason::Stopped:
    return 0;
  case acaciaroad::node::ExitReason::Retired:
    return ExitRetired;
  case acaciaroad::node::ExitReason::LogGap:
    break;
  }
  return ExitFailure;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("acacia-node --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings_reference) {
    fmt::print("{}", acaciaroad::settings::renderReference());
    return 0;
  }
  const auto settings = acaciaroad::settings::loadNodeSettings(FLAGS_settings);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().Detail);
    return ExitSettings;
  }
  if (FLAGS_check)
    return 0;
  return run(*settings);
}
