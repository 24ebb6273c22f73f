/// \file
/// Borrows and lends credit of client accounts between nodes.

#ifndef ACACIAROAD_PROXY_CREDITEXCHANGE_H
#define ACACIAROAD_PROXY_CREDITEXCHANGE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Accounts/AccountShares.h"
#include "Accounts/BorrowPlan.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Logging/Logger.h"
#include "Net/DatagramSocket.h"
#include "Net/Timeout.h"

namespace acaciaroad::proxy {

/// Asks other nodes for credit when this node's share of an account is used up,
/// and lends to nodes that ask. All members are called on the traffic thread.
class CreditExchange {
public:
  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<CreditExchange>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         accounts::AccountShares &shares,
         std::shared_ptr<logging::Logger> logger);

  /// Hosts of nodes by node name; all listen on the same port as this node.
  using HostMap = std::map<std::string, std::string, std::less<>>;

  /// Sets the nodes that may be asked.
  void setPeers(HostMap hosts) { Hosts = std::move(hosts); }

  /// Calls \p done with whether a request of \p account got credit. Calls it
  /// before returning if there is no node to ask or the account is backing off.
  void borrow(const std::string &account, const accounts::AccountRate &rate,
              std::function<void(bool)> done);

  /// Returns the token of a request of \p account that was not executed. A node
  /// without a share sends it to one that has, where others can borrow it.
  void giveBack(const std::string &account);

private:
  /// Requests of one account that wait for credit, and the lenders asked so
  /// far.
  struct BorrowState {
    explicit BorrowState(boost::asio::io_context &loop) : Timer(loop) {}
    accounts::AccountRate Rate;
    std::vector<std::function<void(bool)>> Waiting;
    net::Timeout Timer;
    accounts::BorrowPlan Plan;
    std::uint64_t AskId = 0;
    std::size_t Asked = 0;
    std::size_t Answers = 0;
    /// No lender is asked until then, after all tries failed.
    core::TimePoint BackOffUntil{};
  };

  CreditExchange(boost::asio::io_context &loop, core::Endpoint listen,
                 accounts::AccountShares &shares,
                 std::shared_ptr<logging::Logger> logger);
  /// Asks the next lenders of the plan, or refuses if there are none.
  void askOrRefuse(const std::string &account, BorrowState &state);
  /// Asks the lenders at \p positions. Returns how many of them are known.
  std::size_t ask(const std::string &account, BorrowState &state,
                  std::span<const std::size_t> positions);
  void onDatagram(std::string_view bytes);
  void onAnswer(const std::string &account, std::uint64_t ask,
                std::uint32_t lent);
  void admitWaiting(const std::string &account, BorrowState &state);
  void refuseWaiting(BorrowState &state);

  boost::asio::io_context &Loop;
  core::Endpoint Listen;
  accounts::AccountShares &Shares;
  std::shared_ptr<logging::Logger> Log;
  std::unique_ptr<net::DatagramSocket> Socket;
  HostMap Hosts;
  std::map<std::string, BorrowState> BorrowStates;
  std::uint64_t NextAskId = 1;
};

} // namespace acaciaroad::proxy

#endif
