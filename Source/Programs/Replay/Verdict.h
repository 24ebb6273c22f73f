/// \file
/// What a judge finds in a trace.

#ifndef ACACIAROAD_PROGRAMS_REPLAY_VERDICT_H
#define ACACIAROAD_PROGRAMS_REPLAY_VERDICT_H

#include <cstdint>
#include <string>
#include <vector>

namespace acaciaroad::replay {

enum class Outcome {
  Held,
  Broken,
  /// The trace has no event that the rule is about, so that nothing is shown.
  NotJudged,
};

/// The answer of one judge.
class Verdict {
public:
  /// Findings kept as text; all are counted.
  static constexpr std::size_t MaxFindings = 20;

  explicit Verdict(std::string rule) : Rule(std::move(rule)) {}

  /// Counts an event that the rule is about.
  void examine() { ++Examined; }

  /// Notes that an event breaks the rule.
  void addFinding(std::string text) {
    ++Broken;
    if (Findings.size() < MaxFindings)
      Findings.push_back(std::move(text));
  }

  Outcome outcome() const {
    if (Broken > 0)
      return Outcome::Broken;
    return Examined > 0 ? Outcome::Held : Outcome::NotJudged;
  }

  const std::string &rule() const { return Rule; }
  std::uint64_t examined() const { return Examined; }
  std::uint64_t broken() const { return Broken; }
  const std::vector<std::string> &findings() const { return Findings; }

private:
  std::string Rule;
  std::uint64_t Examined = 0;
  std::uint64_t Broken = 0;
  std::vector<std::string> Findings;
};

} // namespace acaciaroad::replay

#endif
