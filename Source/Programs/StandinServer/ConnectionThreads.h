/// \file
/// One thread for each open connection, kept for later ones.

#ifndef ACACIAROAD_STANDINSERVER_CONNECTIONTHREADS_H
#define ACACIAROAD_STANDINSERVER_CONNECTIONTHREADS_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace acaciaroad::standin {

/// Task queue of the HTTP library that starts threads only as connections
/// come. Connections beyond the limit wait.
class ConnectionThreads : public httplib::TaskQueue {
public:
  explicit ConnectionThreads(std::size_t limit) : Limit(limit) {}

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

private:
  void run();

  const std::size_t Limit;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::deque<std::function<void()>> Tasks;
  std::vector<std::thread> Threads;
  std::size_t IdleThreads = 0;
  bool Stopping = false;
};

} // namespace acaciaroad::standin

#endif
