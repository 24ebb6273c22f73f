#include "Wire/SendQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace acaciaroad::wire {

SendQueue::SendQueue(std::size_t limit)
    : Limit(limit), Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

SendQueue::~SendQueue() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

bool SendQueue::push(OutgoingMessage message) {
  bool wasEmpty = false;
  {
    const std::lock_guard lock(Mutex);
    auto &lane = Waiting[static_cast<std::size_t>(message.Message.On)];
    if (Closed || lane.size() >= Limit)
      return false;
    wasEmpty = std::all_of(Waiting.begin(), Waiting.end(),
                           [](const auto &it) { return it.empty(); });
    lane.push_back(std::move(message));
  }
  if (wasEmpty)
    wake();
  return true;
}

std::vector<OutgoingMessage> SendQueue::takeAll() {
  eventfd_t count = 0;
  eventfd_read(Descriptor, &count);
  std::array<std::vector<OutgoingMessage>, ChannelCount> taken;
  {
    const std::lock_guard lock(Mutex);
    taken.swap(Waiting);
  }
  std::vector<OutgoingMessage> all = std::move(taken[0]);
  std::move(taken[1].begin(), taken[1].end(), std::back_inserter(all));
  return all;
}

void SendQueue::close() {
  {
    const std::lock_guard lock(Mutex);
    Closed = true;
  }
  wake();
}

bool SendQueue::isClosed() {
  const std::lock_guard lock(Mutex);
  return Closed;
}

void SendQueue::wake() const { eventfd_write(Descriptor, 1); }

} // namespace acaciaroad::wire
