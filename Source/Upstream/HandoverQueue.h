/// \file
/// Orders that wait while their key is on its way to or from the upstream.

#ifndef ACACIAROAD_UPSTREAM_HANDOVERQUEUE_H
#define ACACIAROAD_UPSTREAM_HANDOVERQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Upstream/Offer.h"

namespace acaciaroad::upstream {

/// How a key stands to the upstream beside the node.
enum class KeyOwnership : std::uint8_t {
  /// The upstream holds it.
  Held,
  /// The log names this node, but the upstream holds it not yet or no more.
  InHandover,
  /// Another node's.
  NotOwned,
};

/// Answers the load pattern of keys that move while they are asked for: an
/// order waits for a handover that is mostly over within a heartbeat, rather
/// than send its caller away and have it come back. Pure; the caller serialises
/// all calls.
class HandoverQueue {
public:
  /// Lets an order wait up to \p until; returns false if that has passed or too
  /// many wait.
  bool add(Ticket id, std::uint32_t key, core::TimePoint until,
           core::TimePoint now);

  /// Takes an order out; returns false if it does not wait.
  bool cancel(Ticket id) { return Waiting.erase(id) > 0; }

  /// Takes all orders out, in the order of their coming.
  std::vector<Ticket> takeAll();

  /// An order that waits no more; Awaited if it has waited for too long.
  struct ResolvedOrder {
    Ticket Id = 0;
    KeyOwnership Ownership = KeyOwnership::InHandover;
  };

  /// Returns the orders whose key has arrived or gone, in the order of their
  /// coming, and those that have waited for too long.
  std::vector<ResolvedOrder>
  takeResolved(const std::function<KeyOwnership(std::uint32_t)> &ownershipOf,
               core::TimePoint now);

  bool isEmpty() const { return Waiting.empty(); }

private:
  struct Entry {
    std::uint32_t Key = 0;
    core::TimePoint WaitUntil{};
  };
  std::map<Ticket, Entry> Waiting;
};

} // namespace acaciaroad::upstream

#endif
