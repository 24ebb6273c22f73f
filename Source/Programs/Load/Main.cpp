/// \file
/// acacia-load: sends an experiment's requests and reports what became of them.

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "Logging/Logger.h"
#include "Programs/Load/ExperimentFile.h"
#include "Programs/Load/LatencyPlot.h"
#include "Programs/Load/ReportJson.h"
#include "Programs/Load/ReportTable.h"
#include "Programs/Load/Runner.h"

DEFINE_string(json, "", "file for the results as JSON");
DEFINE_string(log, "", "file for a JSON line about each answer");
DEFINE_string(svg, "", "file for the plot of latency over time");

namespace {

using namespace acaciaroad;

constexpr const char *Usage =
    "sends the requests of an experiment\n"
    "acacia-load [--json FILE] [--svg FILE] [--log FILE] EXPERIMENT.toml "
    "[NAME=VALUE...]\n"
    "Each ${NAME} in the file is replaced by its VALUE.";

core::Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path);
  if (!in)
    return core::fail(core::ErrorKind::NotFound, "cannot read " + path);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

bool writeFile(const std::string &path, std::string_view text) {
  if (path.empty())
    return true;
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out)
    fmt::print(stderr, "acacia-load: cannot write {}\n", path);
  return !out.fail();
}

core::Result<load::Experiment> loadExperiment(std::span<char *> arguments) {
  if (arguments.empty())
    return core::fail(core::ErrorKind::InvalidArgument, Usage);
  std::vector<load::Definition> definitions;
  for (const char *it : arguments.subspan(1)) {
    auto definition = load::parseDefinition(it);
    if (!definition)
      return tl::unexpected(definition.error());
    definitions.push_back(std::move(*definition));
  }
  const std::string path = arguments[0];
  const auto text = readFile(path);
  if (!text)
    return tl::unexpected(text.error());
  const auto expanded = load::expand(*text, definitions);
  if (!expanded)
    return tl::unexpected(expanded.error());
  return load::parseExperiment(*expanded, path);
}

/// Returns a handler that writes `caller_answer` lines to \p path; an empty one
/// if the path is empty.
core::Result<load::AnswerHandler> answerLog(const std::string &path) {
  if (path.empty())
    return load::AnswerHandler();
  const auto file = std::make_shared<std::ofstream>(path);
  if (!*file)
    return core::fail(core::ErrorKind::InvalidArgument, "cannot write " + path);
  logging::LoggerOptions options;
  options.Instance = "load";
  options.Sink = [file](std::string_view line) { *file << line; };
  const auto logger = logging::Logger::create(std::move(options));
  if (!logger)
    return tl::unexpected(logger.error());
  return [logger = *logger](const load::AnswerEcho &it) {
    logger->write(logging::Level::Info, "caller_answer",
                  {{"request_id", it.RequestId},
                   {"sent_path", it.SentPath},
                   {"echoed_path", it.EchoedPath},
                   {"status", it.Status},
                   {"boot_ns", core::toNanoseconds(core::BootClock::now())}});
  };
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::span<char *> arguments(argv + 1,
                                    static_cast<std::size_t>(argc - 1));
  const auto experiment = loadExperiment(arguments);
  if (!experiment) {
    fmt::print(stderr, "acacia-load: {}\n", experiment.error().Detail);
    return 1;
  }
  const auto onAnswer = answerLog(FLAGS_log);
  if (!onAnswer) {
    fmt::print(stderr, "acacia-load: {}\n", onAnswer.error().Detail);
    return 1;
  }
  const load::RunResult result = load::Runner(*experiment, *onAnswer).run();
  const load::Report report = load::analyse(*experiment, result.Samples);
  fmt::print("{}", load::renderTable(report));
  const bool isJsonWritten = writeFile(
      FLAGS_json, load::renderJson(*experiment, report, result.Actions));
  const bool isPlotWritten = writeFile(
      FLAGS_svg, load::renderPlot(*experiment, report, result.Actions));
  return isJsonWritten && isPlotWritten ? 0 : 1;
}
