/// \file
/// Carries out an experiment.

#ifndef ACACIAROAD_LOAD_RUNNER_H
#define ACACIAROAD_LOAD_RUNNER_H

#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "Programs/Load/ActionThread.h"
#include "Programs/Load/Lane.h"

namespace acaciaroad::load {

/// All that happened.
struct RunResult {
  /// In order of intended time.
  std::vector<Sample> Samples;
  std::vector<ActionResult> Actions;
};

/// Sends at the times of the schedule, however long answers take. A request
/// whose target takes no connection goes to the next target.
class Runner {
public:
  /// \p experiment must outlive the runner.
  explicit Runner(const Experiment &experiment, AnswerHandler onAnswer = {})
      : Plan(experiment), OnAnswer(std::move(onAnswer)) {}

  /// Blocks until the last request has ended.
  RunResult run();

private:
  void sendAll(core::TimePoint start);
  void onEnd(const Sample &sample);
  bool failOver(const Sample &sample);

  const Experiment &Plan;
  const AnswerHandler OnAnswer;
  std::vector<std::unique_ptr<Lane>> Lanes;
  std::mutex Mutex;
  std::condition_variable Finished;
  std::vector<Sample> Samples;
};

} // namespace acaciaroad::load

#endif
