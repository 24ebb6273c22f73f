#include "Concurrency/WorkerPool.h"

#include <system_error>
#include <utility>

namespace acaciaroad::concurrency {

core::Result<std::unique_ptr<WorkerPool>>
WorkerPool::create(WorkerPoolOptions options) {
  if (options.Threads == 0 || options.QueueLimit == 0)
    return core::fail(core::ErrorKind::InvalidSettings,
                      "a worker pool needs a thread and a queue");
  std::unique_ptr<WorkerPool> pool(new WorkerPool(options));
  try {
    pool->start();
  } catch (const std::system_error &ec) {
    return core::fail(core::ErrorKind::Internal, ec.what());
  }
  return pool;
}

WorkerPool::WorkerPool(WorkerPoolOptions options) : Options(options) {}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::start() {
  for (std::size_t n = 0; n < Options.Threads; ++n)
    Threads.emplace_back([this] { run(); });
}

bool WorkerPool::submit(Job job) {
  {
    const std::lock_guard lock(Mutex);
    if (Stopping || Jobs.size() >= Options.QueueLimit)
      return false;
    Jobs.push_back(std::move(job));
  }
  HasWork.notify_one();
  return true;
}

void WorkerPool::stop() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  HasWork.notify_all();
  for (std::thread &it : Threads)
    if (it.joinable())
      it.join();
}

void WorkerPool::run() {
  std::unique_lock lock(Mutex);
  while (true) {
    HasWork.wait(lock, [this] { return Stopping || !Jobs.empty(); });
    if (Jobs.empty())
      return;
    Job job = std::move(Jobs.front());
    Jobs.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
}

} // namespace acaciaroad::concurrency
