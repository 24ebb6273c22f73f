/// \file
/// The connections of callers, and the wait for the next request.

#ifndef ACACIAROAD_HTTP_CONNECTIONTABLE_H
#define ACACIAROAD_HTTP_CONNECTIONTABLE_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "Core/Clock.h"
#include "Http/CallerConnection.h"

namespace acaciaroad::http {

/// Bounds of a ConnectionTable.
struct ConnectionTableOptions {
  std::size_t Limit = 4096;
  /// A connection is closed after this time without a request.
  std::chrono::milliseconds IdleTimeout{60'000};
  /// Longest time from the first byte of a head to its end.
  std::chrono::milliseconds HeadTimeout{10'000};
  /// Longest time to read off what a refused caller still sends.
  std::chrono::milliseconds DrainTimeout{2'000};
  /// Bytes of that; the connection is reset beyond.
  std::size_t DrainBytes = std::size_t{1} << 20U;
};

/// Parks idle connections in one epoll. Traffic threads wait here; each takes
/// one connection that has become readable. An idle server does not wake but
/// for the earliest deadline.
class ConnectionTable {
public:
  using Id = std::uint64_t;

  explicit ConnectionTable(ConnectionTableOptions options);
  ConnectionTable(const ConnectionTable &) = delete;
  ConnectionTable &operator=(const ConnectionTable &) = delete;
  ~ConnectionTable();

  /// Whether the system granted the descriptors.
  bool isOpen() const;

  /// Takes over an accepted socket; closes it beyond the bound or while
  /// stopping.
  void adopt(int descriptor);

  /// Waits for a connection that is readable, or returns nothing when the
  /// threads shall end.
  std::optional<Id> wait();

  /// Takes a parked connection, or returns null if it was closed. Reads off
  /// what a refused caller sends by itself.
  std::shared_ptr<CallerConnection> claim(Id id);

  /// Gives a claimed connection back until it is readable; closes an idle one
  /// while stopping.
  void park(Id id);

  /// Gives a claimed connection back to be read off and closed.
  void drain(Id id);

  /// Closes a claimed connection.
  void close(Id id);

  /// Closes idle connections, also from now on, and waits until none is left
  /// or \p deadline.
  void closeIdle(core::TimePoint deadline);

  /// Makes wait() return nothing.
  void endWaits();

  std::size_t size() const;
  std::uint64_t refused() const;

private:
  enum class State : std::uint8_t { Parked, Claimed, Draining };

  struct Entry {
    std::shared_ptr<CallerConnection> Connection;
    State Now = State::Parked;
    core::TimePoint Deadline;
    /// When the head that is being received must be whole.
    std::optional<core::TimePoint> HeadDeadline;
    std::size_t Drained = 0;
  };

  void watch(Id id, int descriptor, int operation) const;
  void rest(Id id, Entry &entry, State state, core::TimePoint deadline);
  void armTimer(core::TimePoint time);
  void sweep();
  void readOff(Id id, Entry &entry);
  void eraseLocked(Id id);

  const ConnectionTableOptions Options;
  int Epoll;
  int Timer;
  int EndSignal;
  mutable std::mutex Mutex;
  std::condition_variable Emptied;
  std::unordered_map<Id, Entry> Entries;
  Id LastId;
  core::TimePoint NextSweep = core::TimePoint::max();
  bool Stopping = false;
  std::uint64_t Refused = 0;
};

} // namespace acaciaroad::http

#endif
