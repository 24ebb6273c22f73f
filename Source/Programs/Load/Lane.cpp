#include "Programs/Load/Lane.h"

#include <utility>

#include "Programs/Load/Sender.h"

namespace acaciaroad::load {

Lane::Lane(const Experiment &experiment, std::size_t target,
           core::TimePoint start, EndHandler onEnd, AnswerHandler onAnswer)
    : Plan(experiment), Target(target), Start(start), OnEnd(std::move(onEnd)),
      OnAnswer(std::move(onAnswer)) {
  for (std::uint32_t n = 0; n < Plan.ConnectionsPerTarget; ++n)
    Threads.emplace_back([this] { run(); });
}

Lane::~Lane() { stop(); }

void Lane::submit(const Shot &shot) {
  {
    const std::lock_guard lock(Mutex);
    Queue.push_back(shot);
  }
  Wakeup.notify_one();
}

void Lane::stop() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_all();
  for (std::thread &it : Threads)
    it.join();
  Threads.clear();
}

void Lane::run() {
  Sender sender(Plan, Plan.Targets[Target], OnAnswer);
  std::unique_lock lock(Mutex);
  for (;;) {
    Wakeup.wait(lock, [this] { return Stopping || !Queue.empty(); });
    if (Stopping)
      return;
    const Shot shot = Queue.front();
    Queue.pop_front();
    lock.unlock();
    process(shot, sender);
    lock.lock();
  }
}

void Lane::process(const Shot &shot, Sender &sender) {
  const core::TimePoint intended = Start + shot.Time;
  const core::Duration lateness = core::BootClock::now() - intended;
  const Ending ending = sender.send(shot);
  const core::Duration latency = core::BootClock::now() - intended;
  OnEnd({shot, ending, latency, lateness});
}

} // namespace acaciaroad::load
