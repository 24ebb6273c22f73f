#include "Programs/StandinServer/ConnectionThreads.h"

#include <utility>

namespace acaciaroad::standin {

void ConnectionThreads::enqueue(std::function<void()> task) {
  const std::lock_guard lock(Mutex);
  Tasks.push_back(std::move(task));
  if (IdleThreads < Tasks.size() && Threads.size() < Limit)
    Threads.emplace_back([this] { run(); });
  Wakeup.notify_one();
}

void ConnectionThreads::shutdown() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_all();
  for (std::thread &it : Threads)
    it.join();
}

void ConnectionThreads::run() {
  std::unique_lock lock(Mutex);
  for (;;) {
    ++IdleThreads;
    Wakeup.wait(lock, [this] { return Stopping || !Tasks.empty(); });
    --IdleThreads;
    if (Tasks.empty())
      return;
    const std::function<void()> task = std::move(Tasks.front());
    Tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace acaciaroad::standin
