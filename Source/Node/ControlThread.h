/// \file
/// The one thread that owns all control state.

#ifndef ACACIAROAD_NODE_CONTROLTHREAD_H
#define ACACIAROAD_NODE_CONTROLTHREAD_H

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::node {

/// What a ControlThread calls, on its own thread.
struct ControlThreadHooks {
  /// Does what is due and returns when it has to be called next.
  std::function<core::TimePoint(core::TimePoint now)> OnTick;
  core::NowFunction Now;
};

/// Runs tasks in the order in which they were posted, and a tick whenever one
/// is due. Waits on a condition variable in between.
class ControlThread {
public:
  using Task = std::function<void()>;

  /// Fails with InvalidArgument if a hook is missing.
  static core::Result<std::shared_ptr<ControlThread>>
  create(ControlThreadHooks hooks);

  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Starts the thread; tasks posted before run first.
  void start();

  /// Callable from any thread. Tasks posted after stop() never run.
  void post(Task task);

  /// Runs what is posted, then joins the thread. Not callable from a task.
  void stop();

private:
  explicit ControlThread(ControlThreadHooks hooks);
  void run();
  std::vector<Task> awaitTasks(core::TimePoint deadline);

  const ControlThreadHooks Hooks;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::vector<Task> Tasks;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace acaciaroad::node

#endif
