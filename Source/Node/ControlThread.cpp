#include "Node/ControlThread.h"

#include <utility>

namespace acaciaroad::node {

core::Result<std::shared_ptr<ControlThread>>
ControlThread::create(ControlThreadHooks hooks) {
  if (!hooks.OnTick || !hooks.Now)
    return core::fail(core::ErrorKind::InvalidArgument, "missing hook");
  return std::shared_ptr<ControlThread>(new ControlThread(std::move(hooks)));
}

ControlThread::ControlThread(ControlThreadHooks hooks)
    : Hooks(std::move(hooks)) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start() {
  Thread = std::thread([this] { run(); });
}

void ControlThread::post(Task task) {
  {
    const std::lock_guard lock(Mutex);
    if (Stopping)
      return;
    Tasks.push_back(std::move(task));
  }
  Wakeup.notify_one();
}

void ControlThread::stop() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_one();
  if (Thread.joinable())
    Thread.join();
}

std::vector<ControlThread::Task>
ControlThread::awaitTasks(core::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  Wakeup.wait_until(lock, deadline, [&] { return Stopping || !Tasks.empty(); });
  return std::exchange(Tasks, {});
}

void ControlThread::run() {
  for (;;) {
    const core::TimePoint next = Hooks.OnTick(Hooks.Now());
    const std::vector<Task> tasks = awaitTasks(next);
    for (const Task &it : tasks)
      it();
    const std::lock_guard lock(Mutex);
    if (Stopping && Tasks.empty())
      return;
  }
}

} // namespace acaciaroad::node
