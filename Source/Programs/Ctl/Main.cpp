/// \file
/// acaciactl: the operators' command line.

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Programs/Ctl/AdminCall.h"
#include "Programs/Ctl/Session.h"

DEFINE_string(node, "127.0.0.1:9100", "administration address of any node");
DEFINE_string(token, "", "operator token; better in ACACIACTL_TOKEN");
DEFINE_string(output, "table", "table, json or csv");
DEFINE_bool(dry_run, false, "check a change and make none");
DEFINE_string(change_id, "",
              "hexadecimal id of the change; the same id again "
              "settles an unknown outcome");
DEFINE_int64(basis, -1, "version to build on; -1 reads the current one");
DEFINE_uint32(wait_seconds, 15, "wait until a change is in force everywhere");
DEFINE_uint32(steps, 1, "steps in which a data centre goes out or in");
DEFINE_uint32(step_seconds, 10, "pause between steps");
DEFINE_string(day, "", "UTC day of the totals, YYYY-MM-DD");
DEFINE_string(confirm_id, "", "id of the instance that surely has stopped");
DEFINE_bool(prune, false, "apply removes what the file does not name");

namespace {

using namespace acaciaroad;
using namespace acaciaroad::ctl;

constexpr const char *ExitCodes =
    "exit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict,\n"
    "5 outcome unknown (repeat with the same --change_id), 6 unavailable,\n"
    "7 not authorized, 8 not found, 9 accepted but not yet in force "
    "everywhere\n";

core::Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return core::fail(core::ErrorKind::NotFound, path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string token() {
  const char *variable = std::getenv("ACACIACTL_TOKEN");
  return FLAGS_token.empty() && variable ? variable : FLAGS_token;
}

SessionOptions optionsFromFlags(OutputFormat format) {
  SessionOptions out;
  out.Output = format;
  out.DryRun = FLAGS_dry_run;
  out.ChangeId = FLAGS_change_id;
  if (FLAGS_basis >= 0)
    out.Basis = static_cast<std::uint64_t>(FLAGS_basis);
  out.Wait = std::chrono::seconds(FLAGS_wait_seconds);
  out.Steps = FLAGS_steps;
  out.StepPause = std::chrono::seconds(FLAGS_step_seconds);
  out.Day = FLAGS_day;
  out.ConfirmId = FLAGS_confirm_id;
  out.RemovesOthers = FLAGS_prune;
  return out;
}

int run(const std::vector<std::string> &words) {
  const auto format = outputFormat(FLAGS_output);
  const auto transport = httpTransport(FLAGS_node, token());
  if (!format || !transport) {
    fmt::print(stderr, "--node must be ip:port, --output table, json or csv\n");
    return static_cast<int>(ExitCode::Usage);
  }
  SessionHooks hooks;
  hooks.Send = *transport;
  hooks.Print = [](std::string_view text) { fmt::print("{}", text); };
  hooks.Tell = [](std::string_view line) { fmt::print(stderr, "{}\n", line); };
  hooks.ReadFile = readFile;
  hooks.Sleep = [](std::chrono::seconds time) {
    std::this_thread::sleep_for(time);
  };
  Session session(optionsFromFlags(*format), hooks);
  return static_cast<int>(session.run(words));
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("acaciactl [FLAGS] COMMAND\n" + Session::usage() +
                          ExitCodes);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run(std::vector<std::string>(argv + 1, argv + argc));
}
