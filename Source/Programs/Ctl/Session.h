/// \file
/// Carries out the commands of acaciactl.

#ifndef ACACIAROAD_PROGRAMS_CTL_SESSION_H
#define ACACIAROAD_PROGRAMS_CTL_SESSION_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Programs/Ctl/AdminCall.h"
#include "Programs/Ctl/Deployment.h"
#include "Programs/Ctl/ExitCode.h"
#include "Programs/Ctl/Output.h"

namespace acaciaroad::ctl {

/// The flags of one run.
struct SessionOptions {
  OutputFormat Output = OutputFormat::Table;
  bool DryRun = false;
  /// Hexadecimal digits; empty to draw one.
  std::string ChangeId;
  /// Version to build on; nothing to read the current one.
  std::optional<std::uint64_t> Basis;
  /// Wait for an accepted change to be in force everywhere; 0 to not wait.
  std::chrono::seconds Wait{15};
  /// Steps in which a data centre goes out or in, and the pause between them.
  std::uint32_t Steps = 1;
  std::chrono::seconds StepPause{10};
  /// UTC day, "YYYY-MM-DD".
  std::string Day;
  /// Id of the instance that is declared lost.
  std::string ConfirmId;
  /// Whether apply removes what the file does not name.
  bool RemovesOthers = false;
};

/// What a session needs of its surroundings.
struct SessionHooks {
  Transport Send;
  /// Receives results.
  std::function<void(std::string_view)> Print;
  /// Receives remarks and errors, a line each.
  std::function<void(std::string_view)> Tell;
  std::function<core::Result<std::string>(const std::string &path)> ReadFile;
  std::function<void(std::chrono::seconds)> Sleep;
};

/// One run of the program.
class Session {
public:
  Session(SessionOptions options, SessionHooks hooks)
      : Options(std::move(options)), Hooks(std::move(hooks)) {}

  /// Runs the command that \p words name; Usage if there is none.
  ExitCode run(std::span<const std::string> words);

  /// Returns a line for each command.
  static std::string usage();

private:
  using Words = std::span<const std::string>;
  friend struct Command;

  ExitCode show(const std::string &target);
  ExitCode list(Words words);
  ExitCode item(Words words);
  ExitCode set(Words words);
  ExitCode remove(Words words);
  ExitCode grantKey(Words words);
  ExitCode withdrawKey(Words words);
  ExitCode listKeys(Words words);
  ExitCode dataCentre(Words words);
  ExitCode drain(Words words);
  ExitCode declareLost(Words words);
  ExitCode owner(Words words);
  ExitCode status(Words words);
  ExitCode history(Words words);
  ExitCode totals(Words words);
  ExitCode logLevel(Words words);
  ExitCode apply(Words words);
  ExitCode wait(Words words);

  core::Result<nlohmann::json> call(const std::string &method,
                                    const std::string &target,
                                    const nlohmann::json &body = nullptr);
  /// Sends a change, tells of its outcome and waits until it is in force.
  ExitCode change(const std::string &method, const std::string &target,
                  nlohmann::json body);
  core::Result<std::uint64_t> basisOf(const std::string &target);
  core::Result<nlohmann::json> dataCentreState(std::string_view name);
  ExitCode sendDifference(const Difference &difference);
  ExitCode waitForce(std::uint64_t offset);
  ExitCode report(const core::Error &error);
  std::string changeId();

  const SessionOptions Options;
  const SessionHooks Hooks;
};

} // namespace acaciaroad::ctl

#endif
