/// \file
/// acacia-sidecar: the router beside one upstream of the platform.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "Codec/FleetRecords.h"
#include "Settings/SettingsReference.h"
#include "Settings/SidecarFields.h"
#include "Settings/SidecarSettings.h"
#include "Sidecar/Sidecar.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/HeaderCodec.h"
#include "platform/HeartbeatCodec.h"
#include "platform/RolloutCodec.h"
#include "platform/StoreClient.h"

DEFINE_string(settings, "", "Path of the TOML settings file.");
DEFINE_string(set, gflags::StringFromEnv("ACACIA_SET", ""),
              "Fields that go before those of the file: TABLE.FIELD=VALUE, "
              "separated by commas; one without a value is ignored.");
DEFINE_bool(check, false, "Check the settings and exit.");
DEFINE_bool(print_settings_reference, false,
            "Print the reference of all settings and exit.");

namespace {

using namespace acaciaroad;

constexpr int ExitFailure = 1;
/// The settings are not valid.
constexpr int ExitSettings = 2;

/// Tells what ended the process, in one line beside those of the log.
[[noreturn]] void onTerminate() {
  std::string_view what = "no exception";
  try {
    if (const auto error = std::current_exception())
      std::rethrow_exception(error);
  } catch (const std::exception &error) {
    what = error.what();
  } catch (...) {
    what = "an exception of unknown type";
  }
  fmt::print(R"({{"level":"error","event":"terminated","detail":"{}"}})"
             "\n",
             what);
  std::fflush(stdout);
  std::abort();
}

sidecar::SidecarDependencies makeParts() {
  sidecar::SidecarDependencies out;
  out.HeaderCodec = adapter::makeHeaderCodec();
  out.Codec = {adapter::parseUpstreamCall,   adapter::decodeHeartbeat,
               adapter::encodeGrant,         adapter::parseOperatorKey,
               adapter::decodeConfiguration, adapter::decodeRolloutOrder,
               adapter::encodeRolloutStatus};
  out.MakeLogs = [](boost::asio::io_context &loop,
                    const core::Endpoint &address) {
    const auto store = adapter::StoreClient::create(loop, address);
    return sidecar::ControlLogs{store->operatorLog(), store->fleetLog(),
                                store->statusLog()};
  };
  out.ReadSettings = [] {
    return settings::loadSidecarSettings(FLAGS_settings, FLAGS_set);
  };
  return out;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("acacia-sidecar --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings_reference) {
    fmt::print("{}", settings::renderSidecarReference());
    return 0;
  }
  std::set_terminate(onTerminate);
  codec::silenceLibrary();
  const auto settings =
      settings::loadSidecarSettings(FLAGS_settings, FLAGS_set);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().Detail);
    return ExitSettings;
  }
  if (FLAGS_check) {
    for (const std::string &it :
         settings::describeAbsentLimits(settings->Limits))
      fmt::print("{}\n", it);
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto node = sidecar::Sidecar::create(*settings, makeParts());
  if (!node) {
    fmt::print(stderr, "acacia-sidecar: {}\n", node.error().Detail);
    return ExitFailure;
  }
  (*node)->run();
  return 0;
}
