/// \file
/// Threads that run jobs from one bounded queue.

#ifndef ACACIAROAD_CONCURRENCY_WORKERPOOL_H
#define ACACIAROAD_CONCURRENCY_WORKERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "Core/Error.h"

namespace acaciaroad::concurrency {

/// Sizes of a WorkerPool.
struct WorkerPoolOptions {
  std::size_t Threads = 64;
  /// Jobs that wait for a thread; more are refused.
  std::size_t QueueLimit = 1024;
};

/// A fixed number of threads behind a bounded queue. Threads wait on a
/// condition variable.
class WorkerPool {
public:
  using Job = std::function<void()>;

  /// Starts the threads. Fails with InvalidSettings for a size of 0, and with
  /// Internal if the system refuses a thread.
  static core::Result<std::unique_ptr<WorkerPool>>
  create(WorkerPoolOptions options);

  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;
  ~WorkerPool();

  /// Queues \p job. Returns false if the queue is full or the pool stops.
  [[nodiscard]] bool submit(Job job);

  /// Runs what is queued, then joins the threads. Not callable from a job.
  void stop();

private:
  explicit WorkerPool(WorkerPoolOptions options);
  void start();
  void run();

  const WorkerPoolOptions Options;
  std::mutex Mutex;
  std::condition_variable HasWork;
  std::deque<Job> Jobs;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace acaciaroad::concurrency

#endif
