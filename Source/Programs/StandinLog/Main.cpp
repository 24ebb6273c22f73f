/// \file
/// acacia-standin-log: the platform's log for tests, in memory only.

#include <cstdio>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "Programs/StandinLog/LogServer.h"
#include "Programs/StandinServer/Termination.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port; port 0 lets the system choose");
DEFINE_uint64(retention_records, 100'000, "records kept a stream");
DEFINE_uint64(append_limit_per_second, 0, "0 is no limit");
DEFINE_uint64(seed, 1, "of the fault reject_rate");

int main(int argc, char **argv) {
  gflags::SetUsageMessage("stand-in for the platform's log");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  using namespace acaciaroad;
  standin::blockTerminationSignals();
  const auto server = standinlog::LogServer::create(
      {FLAGS_listen, FLAGS_retention_records, FLAGS_append_limit_per_second,
       FLAGS_seed});
  if (!server) {
    fmt::print(stderr, "acacia-standin-log: {}\n", server.error().Detail);
    return 1;
  }
  fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n",
             (*server)->port());
  standin::waitForTermination();
  return 0;
}
