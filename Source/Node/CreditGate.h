/// \file
/// Lets traffic threads wait for credit of a client account.

#ifndef ACACIAROAD_NODE_CREDITGATE_H
#define ACACIAROAD_NODE_CREDITGATE_H

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include "Accounts/CreditHolder.h"
#include "Core/Clock.h"
#include "Core/Error.h"

namespace acaciaroad::node {

/// How the gate reaches the owners of accounts; called without a lock held.
struct CreditGateHooks {
  std::function<void(const accounts::CreditAsk &)> Ask;
  std::function<void(const accounts::CreditReturn &)> Return;
  core::NowFunction Now;
};

/// Serialises the calls of an accounts::CreditHolder. A thread of its own
/// repeats asks and returns credit when that is due; it waits on a condition
/// variable.
class CreditGate {
public:
  /// Starts the thread. Fails as accounts::CreditHolder::create does.
  static core::Result<std::shared_ptr<CreditGate>>
  create(core::InstanceId self, CreditGateHooks hooks);

  ~CreditGate();
  CreditGate(const CreditGate &) = delete;
  CreditGate &operator=(const CreditGate &) = delete;

  /// Takes one request of \p account, asking the owner if need be. Errors:
  /// RateExceeded, CreditUnavailable.
  core::Result<void> take(std::string_view account);

  /// An owner answered.
  void granted(const accounts::CreditGrant &grant);

  /// Returns all credit and ends the thread.
  void stop();

private:
  struct Waiter {
    std::condition_variable Wakeup;
    bool IsDone = false;
    std::optional<core::ErrorKind> Refusal;
  };
  using Outgoing = std::vector<std::function<void()>>;

  explicit CreditGate(CreditGateHooks hooks);
  accounts::CreditHooks holderHooks();
  void conclude(accounts::Ticket ticket,
                std::optional<core::ErrorKind> refusal);
  static void send(const Outgoing &messages);
  void run();

  const CreditGateHooks Hooks;
  std::mutex Mutex;
  std::condition_variable Timer;
  std::unique_ptr<accounts::CreditHolder> Holder;
  std::unordered_map<accounts::Ticket, Waiter *> Waiters;
  /// Messages that the holder wanted sent, sent once the lock is released.
  Outgoing Pending;
  accounts::Ticket LastTicket = 0;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace acaciaroad::node

#endif
