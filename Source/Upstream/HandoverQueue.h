/// \file
/// Queue for orders whose key is being handed over to or from the upstream.

#ifndef ACACIAROAD_UPSTREAM_HANDOVERQUEUE_H
#define ACACIAROAD_UPSTREAM_HANDOVERQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "Core/Clock.h"
#include "Upstream/Offer.h"

namespace acaciaroad::upstream {

/// Whether the node's upstream owns a key.
enum class KeyOwnership : std::uint8_t {
  /// The upstream holds the key.
  Held,
  /// The log names this node as owner, but the upstream doesn't hold the key
  /// yet,
  /// or no longer.
  InHandover,
  /// The log doesn't name this node as owner.
  NotOwned,
};

/// Lets orders wait for the end of a key handover, which mostly takes less than
/// a heartbeat interval, instead of refusing them and having the caller retry.
/// Meant for keys that move while they receive requests. Does no I/O and reads
/// no clock; the caller serialises all calls.
class HandoverQueue {
public:
  /// Adds an order that waits until \p until at the latest. Returns false if
  /// that time has passed or the queue is full.
  bool add(Ticket id, std::uint32_t key, core::TimePoint until,
           core::TimePoint now);

  /// Removes an order. Returns false if it isn't in the queue.
  bool cancel(Ticket id) { return Waiting.erase(id) > 0; }

  /// Removes and returns all orders by ascending ticket.
  std::vector<Ticket> takeAll();

  /// An order that was removed from the queue. InHandover means that its wait
  /// timed out.
  struct ResolvedOrder {
    Ticket Id = 0;
    KeyOwnership Ownership = KeyOwnership::InHandover;
  };

  /// Removes and returns, by ascending ticket, the orders whose key is no
  /// longer in handover and those whose wait timed out.
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
