#include "Net/AnswerMemory.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::net {

std::shared_ptr<AnswerMemory> AnswerMemory::create(std::uint64_t mostBytes) {
  return std::shared_ptr<AnswerMemory>(new AnswerMemory(mostBytes));
}

void AnswerMemory::makeRoom() {
  while (Held > MostBytes) {
    Share *largest = *std::max_element(
        Shares.begin(), Shares.end(),
        [](const Share *a, const Share *b) { return a->Bytes < b->Bytes; });
    Held -= std::exchange(largest->Bytes, 0);
    // The share may go in the call.
    const auto giveUp = largest->GiveUp;
    giveUp();
  }
}

AnswerMemory::Share::Share(std::shared_ptr<AnswerMemory> memory,
                           std::function<void()> giveUp)
    : Memory(std::move(memory)), GiveUp(std::move(giveUp)) {
  if (Memory)
    Memory->Shares.insert(this);
}

AnswerMemory::Share::~Share() {
  if (!Memory)
    return;
  Memory->Shares.erase(this);
  Memory->Held -= Bytes;
}

void AnswerMemory::Share::resize(std::uint64_t bytes) {
  if (!Memory)
    return;
  const auto memory = Memory;
  memory->Held += bytes - Bytes;
  Bytes = bytes;
  memory->makeRoom();
}

} // namespace acaciaroad::net
