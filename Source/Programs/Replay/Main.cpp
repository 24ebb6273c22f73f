/// \file
/// acacia-replay: judges recorded logs against stated outcomes.

#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "Programs/Replay/StatedOutcomes.h"

DEFINE_string(outcomes, "", "TOML file of the stated outcomes");

namespace {

using namespace acaciaroad::replay;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;
/// Nothing was broken, but some rule had no event to judge.
constexpr int ExitNotJudged = 3;

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string_view toString(Outcome outcome) {
  switch (outcome) {
  case Outcome::Held:
    return "held";
  case Outcome::Broken:
    return "BROKEN";
  case Outcome::NotJudged:
    return "not judged";
  }
  return "";
}

void print(const Verdict &verdict) {
  fmt::print("{:<16} {:<10} {} events, {} findings\n", verdict.rule(),
             toString(verdict.outcome()), verdict.examined(), verdict.broken());
  for (const std::string &it : verdict.findings())
    fmt::print("  {}\n", it);
}

int judge(const StatedOutcomes &outcomes, const Trace &trace) {
  int code = ExitHeld;
  for (const auto &it : outcomes.Judges) {
    const Verdict verdict = it(trace.Events);
    print(verdict);
    if (verdict.outcome() == Outcome::Broken)
      code = ExitBroken;
    if (verdict.outcome() == Outcome::NotJudged && code == ExitHeld)
      code = ExitNotJudged;
  }
  fmt::print("{} events, {} lines skipped\n", trace.Events.size(),
             trace.SkippedLines);
  return code;
}

int run(const std::vector<std::string> &paths) {
  const auto file = readFile(FLAGS_outcomes);
  if (!file || paths.empty()) {
    fmt::print(stderr, "usage: acacia-replay --outcomes FILE LOG...\n");
    return ExitUsage;
  }
  const auto outcomes = StatedOutcomes::parse(*file);
  if (!outcomes) {
    fmt::print(stderr, "{}: {}\n", FLAGS_outcomes, outcomes.error().Detail);
    return ExitUsage;
  }
  std::vector<std::string> texts;
  for (const std::string &it : paths) {
    auto text = readFile(it);
    if (!text) {
      fmt::print(stderr, "cannot read {}\n", it);
      return ExitUsage;
    }
    texts.push_back(std::move(*text));
  }
  return judge(*outcomes, readTrace(texts, outcomes->Clock));
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "acacia-replay --outcomes FILE LOG...\n"
      "exit codes: 0 all held, 1 broken, 2 usage, 3 some not judged");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return run(std::vector<std::string>(argv + 1, argv + argc));
}
