/// \file
/// The bound on the answers that a process holds at once.

#ifndef ACACIAROAD_NET_ANSWERMEMORY_H
#define ACACIAROAD_NET_ANSWERMEMORY_H

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace acaciaroad::net {

/// Counts the bytes of the answers that several clients hold. When they exceed
/// the bound, the largest answers are given up first, so that one without end
/// does not take the room of usual ones. For one thread.
class AnswerMemory {
public:
  class Share;

  static std::shared_ptr<AnswerMemory> create(std::uint64_t mostBytes);

  std::uint64_t held() const { return Held; }

private:
  explicit AnswerMemory(std::uint64_t mostBytes) : MostBytes(mostBytes) {}
  void makeRoom();

  const std::uint64_t MostBytes;
  std::uint64_t Held = 0;
  std::unordered_set<Share *> Shares;
};

/// What one answer holds.
class AnswerMemory::Share {
public:
  /// \p giveUp is called when the answer has to go; its bytes don't count any
  /// more by then. \p memory may be null: nothing is bounded.
  Share(std::shared_ptr<AnswerMemory> memory, std::function<void()> giveUp);
  ~Share();
  Share(const Share &) = delete;
  Share &operator=(const Share &) = delete;

  /// Sets the bytes held; may give up answers, this one included.
  void resize(std::uint64_t bytes);

private:
  friend class AnswerMemory;

  std::shared_ptr<AnswerMemory> Memory;
  std::function<void()> GiveUp;
  std::uint64_t Bytes = 0;
};

} // namespace acaciaroad::net

#endif
