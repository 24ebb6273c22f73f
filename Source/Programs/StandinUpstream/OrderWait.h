/// \file
/// The wait of one order's thread for time, for its turn, for a cancellation or
/// for its connection to close.

#ifndef ACACIAROAD_STANDINUPSTREAM_ORDERWAIT_H
#define ACACIAROAD_STANDINUPSTREAM_ORDERWAIT_H

#include <cstdint>
#include <memory>

#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::standinupstream {

enum class Wake : std::uint8_t { Timeout, Signal, Closed };

/// Waits in poll on the order's connection and on an event that any thread may
/// signal.
class OrderWait {
public:
  /// Fails with Internal if the system has no descriptor left.
  static core::Result<std::shared_ptr<OrderWait>> create(int connection);

  ~OrderWait();
  OrderWait(const OrderWait &) = delete;
  OrderWait &operator=(const OrderWait &) = delete;

  /// Wakes the waiting thread once.
  void signal();

  /// Blocks until \p until at the latest.
  Wake wait(core::TimePoint until);

private:
  OrderWait(int connection, int event) : Connection(connection), Event(event) {}

  const int Connection;
  const int Event;
};

} // namespace acaciaroad::standinupstream

#endif
