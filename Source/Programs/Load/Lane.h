/// \file
/// The connections of the load tool to one node.

#ifndef ACACIAROAD_LOAD_LANE_H
#define ACACIAROAD_LOAD_LANE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Programs/Load/Sample.h"

namespace acaciaroad::load {

class Sender;

/// Sends the requests of one target on a bounded number of threads with a
/// connection each, so that a target that hangs holds up no other.
class Lane {
public:
  /// Receives each end, on a thread of the lane.
  using EndHandler = std::function<void(const Sample &)>;

  /// \p start is the time that intended times count from. \p experiment must
  /// outlive the lane.
  Lane(const Experiment &experiment, std::size_t target, core::TimePoint start,
       EndHandler onEnd, AnswerHandler onAnswer = {});

  /// Stops.
  ~Lane();
  Lane(const Lane &) = delete;
  Lane &operator=(const Lane &) = delete;

  void submit(const Shot &shot);

  /// Ends the threads; requests still queued are not sent.
  void stop();

private:
  void run();
  void process(const Shot &shot, Sender &sender);

  const Experiment &Plan;
  const std::size_t Target;
  const core::TimePoint Start;
  const EndHandler OnEnd;
  const AnswerHandler OnAnswer;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::deque<Shot> Queue;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace acaciaroad::load

#endif
