/// \file
/// The calls that are under way at one node.

#ifndef ACACIAROAD_WIRE_CALLTABLE_H
#define ACACIAROAD_WIRE_CALLTABLE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Identifiers.h"
#include "Wire/ForwardCall.h"

namespace acaciaroad::wire {

/// Names a call: its opener's incarnation and the number that it chose.
struct CallKey {
  core::InstanceId Opener;
  std::uint64_t Call = 0;
  bool operator==(const CallKey &) const = default;
};

/// Finds calls by key. Does not keep them alive: a call lives as long as the
/// threads that work on it. All members are callable from any thread.
class CallTable {
public:
  explicit CallTable(std::size_t limit) : Limit(limit) {}

  /// Returns false if the key is taken or the table is full.
  [[nodiscard]] bool add(const CallKey &key,
                         const std::shared_ptr<ForwardCall> &call);

  /// Returns the call, or null.
  std::shared_ptr<ForwardCall> find(const CallKey &key) const;

  void remove(const CallKey &key);

  /// Returns the calls whose other end is at \p address.
  std::vector<std::shared_ptr<ForwardCall>>
  withPeer(std::string_view address) const;

  std::size_t size() const;

private:
  struct KeyHash {
    std::size_t operator()(const CallKey &key) const noexcept {
      return static_cast<std::size_t>(key.Opener.Value ^ key.Call);
    }
  };

  const std::size_t Limit;
  mutable std::mutex Mutex;
  std::unordered_map<CallKey, std::weak_ptr<ForwardCall>, KeyHash> Calls;
};

} // namespace acaciaroad::wire

#endif
