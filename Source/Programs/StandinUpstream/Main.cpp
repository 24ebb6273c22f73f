/// \file
/// acacia-standin-upstream: one upstream of a service, for tests.

#include <cstdio>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "Programs/StandinServer/Termination.h"
#include "Programs/StandinUpstream/Announcer.h"
#include "Programs/StandinUpstream/UpstreamServer.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port; port 0 lets the system choose");
DEFINE_string(service, "service", "service that the upstream belongs to");
DEFINE_string(name, "upstream", "name of this instance");
DEFINE_string(node_admin, "", "ip:port of its node; empty announces nothing");
DEFINE_uint32(slots, 12, "orders that run at once");
DEFINE_uint32(connections, 120, "connections that are accepted");
DEFINE_double(work_ms, 5, "mean of the service time");
DEFINE_bool(checks_grants, true, "refuse stale and expired grants");
DEFINE_bool(honours_deadlines, true, "refuse orders past their deadline");
DEFINE_uint32(cold_start_ms, 2000, "length of the cold start; 0 is warm");
DEFINE_uint64(seed, 1, "of service times and shedding");

namespace {

using namespace acaciaroad;

core::Result<standinupstream::UpstreamOptions> optionsFromFlags() {
  standinupstream::UpstreamOptions out;
  out.Listen = FLAGS_listen;
  out.Service = FLAGS_service;
  out.Name = FLAGS_name;
  out.Slots = FLAGS_slots;
  out.Connections = FLAGS_connections;
  out.Work = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(FLAGS_work_ms));
  out.ColdStart = std::chrono::milliseconds(FLAGS_cold_start_ms);
  out.ChecksGrants = FLAGS_checks_grants;
  out.HonoursDeadlines = FLAGS_honours_deadlines;
  out.Seed = FLAGS_seed;
  logging::LoggerOptions log;
  log.Instance = FLAGS_name;
  const auto logger = logging::Logger::create(std::move(log));
  if (!logger)
    return tl::unexpected(logger.error());
  out.Hooks = standinupstream::hooksFor(standinupstream::OrderLog(*logger));
  return out;
}

int failWith(const core::Error &error) {
  fmt::print(stderr, "acacia-standin-upstream: {}\n", error.Detail);
  return 1;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("stand-in for an upstream");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  standin::blockTerminationSignals();
  const auto options = optionsFromFlags();
  if (!options)
    return failWith(options.error());
  const auto server = standinupstream::UpstreamServer::create(*options);
  if (!server)
    return failWith(server.error());
  fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n",
             (*server)->port());
  if (FLAGS_node_admin.empty()) {
    standin::waitForTermination();
    (*server)->awaitQuiet();
    return 0;
  }
  const auto announcer =
      standinupstream::Announcer::create(FLAGS_node_admin, **server);
  if (!announcer)
    return failWith(announcer.error());
  standin::waitForTermination();
  (*announcer)->leave();
  (*server)->awaitQuiet();
  return 0;
}
