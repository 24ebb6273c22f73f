#include "Proxy/CreditExchange.h"

#include <utility>

#include "Codec/FleetRecords.h"
#include "Core/Identifiers.h"

namespace acaciaroad::proxy {

using std::chrono::milliseconds;

namespace {

/// Number of an answer that no node has asked for.
constexpr std::uint64_t NoAsk = 0;

/// Nodes are milliseconds apart and share a core with other processes.
constexpr core::Duration AnswerTimeout = milliseconds(15);

/// Time before lenders are asked again after none had credit: the account is
/// then over its rate in the whole fleet.
constexpr core::Duration BackOffTime = milliseconds(100);

} // namespace

core::Result<std::unique_ptr<CreditExchange>> CreditExchange::create(
    boost::asio::io_context &loop, const core::Endpoint &listen,
    accounts::AccountShares &shares, std::shared_ptr<logging::Logger> logger) {
  std::unique_ptr<CreditExchange> out(
      new CreditExchange(loop, listen, shares, std::move(logger)));
  auto socket = net::DatagramSocket::create(
      loop, listen,
      [it = out.get()](std::string_view bytes) { it->onDatagram(bytes); });
  if (!socket)
    return tl::unexpected(socket.error());
  out->Socket = std::move(*socket);
  return out;
}

CreditExchange::CreditExchange(boost::asio::io_context &loop,
                               core::Endpoint listen,
                               accounts::AccountShares &shares,
                               std::shared_ptr<logging::Logger> logger)
    : Loop(loop), Listen(std::move(listen)), Shares(shares),
      Log(std::move(logger)) {}

void CreditExchange::borrow(const std::string &account,
                            const accounts::AccountRate &rate,
                            std::function<void(bool)> done) {
  const auto now = core::BootClock::now();
  BorrowState &state = BorrowStates.try_emplace(account, Loop).first->second;
  if (Hosts.empty() || now < state.BackOffUntil) {
    done(false);
    return;
  }
  state.Rate = rate;
  state.Waiting.push_back(std::move(done));
  if (state.Waiting.size() > 1)
    return;
  state.Plan = accounts::BorrowPlan(Shares.lenders(account).size(),
                                    core::randomId(), Shares.hasShare(account));
  askOrRefuse(account, state);
}

void CreditExchange::giveBack(const std::string &account) {
  const auto lenders = Shares.lenders(account);
  const auto host =
      Shares.hasShare(account) || lenders.empty()
          ? Hosts.end()
          : Hosts.find(lenders[core::randomId() % lenders.size()]);
  if (host == Hosts.end())
    Shares.giveBack(account, core::BootClock::now());
  else
    Socket->send({host->second, Listen.Port},
                 codec::encodeCredit({account, std::nullopt, NoAsk, 1}));
}

void CreditExchange::askOrRefuse(const std::string &account,
                                 BorrowState &state) {
  for (auto it = state.Plan.next(); !it.empty(); it = state.Plan.next())
    if (ask(account, state, it) > 0)
      return;
  refuseWaiting(state);
}

std::size_t CreditExchange::ask(const std::string &account, BorrowState &state,
                                std::span<const std::size_t> positions) {
  state.AskId = NextAskId++;
  state.Answers = 0;
  const auto want = std::max(Shares.wanted(account),
                             static_cast<std::uint32_t>(state.Waiting.size()));
  const std::string bytes =
      codec::encodeCredit({account, Listen, state.AskId, want});
  const auto lenders = Shares.lenders(account);
  state.Asked = 0;
  for (const std::size_t it : positions) {
    // The number of lenders may have changed since the plan was made.
    const auto host =
        it < lenders.size() ? Hosts.find(lenders[it]) : Hosts.end();
    if (host == Hosts.end())
      continue;
    Socket->send({host->second, Listen.Port}, bytes);
    ++state.Asked;
  }
  if (state.Asked > 0) {
    // The reference stays valid: map entries do not move and are never erased.
    state.Timer.start(AnswerTimeout,
                      [this, account, &state] { askOrRefuse(account, state); });
  }
  return state.Asked;
}

void CreditExchange::onDatagram(std::string_view bytes) {
  const auto datagram = codec::decodeCredit(bytes);
  if (!datagram) {
    Log->write(logging::Level::Warning, "credit_unreadable",
               {{"detail", datagram.error().Detail}});
    return;
  }
  if (!datagram->ReplyTo) {
    onAnswer(datagram->Account, datagram->Ask, datagram->Amount);
    return;
  }
  const std::uint32_t lent =
      Shares.lend(datagram->Account, datagram->Amount, core::BootClock::now());
  Socket->send(*datagram->ReplyTo,
               codec::encodeCredit(
                   {datagram->Account, std::nullopt, datagram->Ask, lent}));
}

void CreditExchange::onAnswer(const std::string &account, std::uint64_t ask,
                              std::uint32_t lent) {
  Shares.addBorrowed(account, lent, core::BootClock::now());
  const auto it = BorrowStates.find(account);
  if (it == BorrowStates.end() || it->second.Waiting.empty())
    return;
  BorrowState &state = it->second;
  if (lent > 0)
    admitWaiting(account, state);
  if (state.AskId != ask || state.Waiting.empty())
    return;
  ++state.Answers;
  if (state.Answers >= state.Asked)
    askOrRefuse(account, state);
}

void CreditExchange::admitWaiting(const std::string &account,
                                  BorrowState &state) {
  const auto now = core::BootClock::now();
  std::vector<std::function<void(bool)>> served;
  while (served.size() < state.Waiting.size() &&
         Shares.take(account, state.Rate, now))
    served.push_back(std::move(state.Waiting[served.size()]));
  state.Waiting.erase(state.Waiting.begin(),
                      state.Waiting.begin() +
                          static_cast<std::ptrdiff_t>(served.size()));
  if (state.Waiting.empty())
    state.Timer.cancel();
  for (const auto &it : served)
    it(true);
}

void CreditExchange::refuseWaiting(BorrowState &state) {
  state.BackOffUntil = core::BootClock::now() + BackOffTime;
  state.Timer.cancel();
  for (const auto &it : std::exchange(state.Waiting, {}))
    it(false);
}

} // namespace acaciaroad::proxy
