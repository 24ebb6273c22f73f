/// \file
/// Admission of orders whose answers fill the instance's network.

#ifndef ACACIAROAD_UPSTREAM_ANSWERBANDWIDTH_H
#define ACACIAROAD_UPSTREAM_ANSWERBANDWIDTH_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Estimates when the network of the instance has sent the answers that other
/// nodes wait for. Answers the load of large answers over a narrow network:
/// upstreams with free slots would accept more than the network can carry, and
/// every message of the instance would wait behind the answers, calls of
/// running orders and heartbeats included. Does no I/O and reads no clock.
class AnswerBandwidth {
public:
  /// Sets the network's rate; 0 means no limit.
  void setRate(double bytesPerSecond) { BytesPerSecond = bytesPerSecond; }

  /// Records that an order of \p workClass is sent to the upstream; its answer
  /// has to be sent to another node.
  void started(std::string_view workClass);

  /// Records that an order that was started got an answer of \p bytes, 0 if it
  /// got none.
  void ended(std::string_view workClass, std::uint64_t bytes,
             core::TimePoint now);

  /// Returns whether the answer to an order of \p workClass, if it came from
  /// the upstream at \p answered, would have been sent by \p target. Small
  /// answers are always admitted, however late the upstream may be.
  bool admits(std::string_view workClass, core::TimePoint answered,
              core::TimePoint target, core::TimePoint now) const;

  /// Returns the time that the answers under way and a further one of
  /// \p workClass need; 0 for small answers.
  core::Duration backlog(std::string_view workClass, core::TimePoint now) const;

private:
  struct ClassState {
    /// Moving average of the size of answers.
    double MeanBytes = 0;
    std::uint32_t Running = 0;
  };

  bool isLarge(const ClassState &state) const;
  core::Duration timeFor(double bytes) const;
  /// Returns the size of the answers that the upstream is still to give.
  double expectedBytes() const;

  double BytesPerSecond = 0;
  std::map<std::string, ClassState, std::less<>> Classes;
  /// When the answers that the upstream has given will have been sent.
  core::TimePoint SentAt{};
};

} // namespace acaciaroad::upstream

#endif
