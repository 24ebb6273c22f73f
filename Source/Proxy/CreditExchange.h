/// \file
/// Borrows shares of client accounts from other nodes.

#ifndef ACACIAROAD_PROXY_CREDITEXCHANGE_H
#define ACACIAROAD_PROXY_CREDITEXCHANGE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Accounts/AccountShares.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Logging/Logger.h"
#include "Net/DatagramSocket.h"
#include "Net/Timeout.h"

namespace acaciaroad::proxy {

/// Asks some nodes for credit when the own share is used up, and answers those
/// that ask. Lives on the traffic thread.
class CreditExchange {
public:
  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<CreditExchange>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         accounts::AccountShares &shares,
         std::shared_ptr<logging::Logger> logger);

  /// Hosts of nodes by their name; all listen on the own port.
  using HostMap = std::map<std::string, std::string, std::less<>>;

  /// Sets the nodes that can be asked.
  void setPeers(HostMap hosts) { Hosts = std::move(hosts); }

  /// Calls \p done with whether a request of \p account may go on; at once if
  /// nobody is to be asked.
  void borrow(const std::string &account, const accounts::AccountRate &rate,
              std::function<void(bool)> done);

private:
  /// The asks of one account that are under way.
  struct BorrowState {
    explicit BorrowState(boost::asio::io_context &loop) : Timer(loop) {}
    accounts::AccountRate Rate;
    std::vector<std::function<void(bool)>> Waiting;
    net::Timeout Timer;
    std::uint64_t AskId = 0;
    std::size_t Asked = 0;
    std::size_t Answers = 0;
    int Tries = 0;
    /// After a round without success.
    core::TimePoint BackOffUntil{};
  };

  CreditExchange(boost::asio::io_context &loop, core::Endpoint listen,
                 accounts::AccountShares &shares,
                 std::shared_ptr<logging::Logger> logger);
  void ask(const std::string &account, BorrowState &state);
  void onDatagram(std::string_view bytes);
  void onAnswer(const std::string &account, std::uint64_t ask,
                std::uint32_t lent);
  void admitWaiting(const std::string &account, BorrowState &state);
  void retryOrRefuse(const std::string &account, BorrowState &state);

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
