/// \file
/// Switches faults at stated times.

#ifndef ACACIAROAD_LOAD_ACTIONTHREAD_H
#define ACACIAROAD_LOAD_ACTIONTHREAD_H

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Programs/Load/Experiment.h"

namespace acaciaroad::load {

/// An action that was carried out.
struct ActionResult {
  std::string Label;
  /// When it was answered, since the start.
  core::Duration Time{};
  /// HTTP status; 0 if there was no answer.
  int Status = 0;
};

/// Carries out the actions of an experiment on a thread of its own.
class ActionThread {
public:
  /// \p experiment must outlive it.
  ActionThread(const Experiment &experiment, core::TimePoint start);

  ActionThread(const ActionThread &) = delete;
  ActionThread &operator=(const ActionThread &) = delete;

  /// Gives up what is not due yet, and returns what was done.
  std::vector<ActionResult> stop();

private:
  void run(const std::stop_token &stop);
  ActionResult perform(const Action &action) const;

  const Experiment &Plan;
  const core::TimePoint Start;
  std::vector<ActionResult> Results;
  std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::jthread Thread;
};

} // namespace acaciaroad::load

#endif
