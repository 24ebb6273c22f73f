/// \file
/// Memory and processor time of credit by the number of client accounts.

#include <cstdint>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>

#include "Accounts/CreditHolder.h"
#include "Accounts/CreditOwner.h"

using namespace acaciaroad;
using std::chrono::seconds;

namespace {

constexpr std::size_t Operations = 2'000'000;
constexpr accounts::AccountRate Rate{1e6, 1e6};
constexpr core::TimePoint Start(seconds(1000));

double processorSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) +
         static_cast<double>(ts.tv_nsec) * 1e-9;
}

std::size_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<std::string> namesOf(std::size_t count) {
  std::vector<std::string> out;
  for (std::size_t n = 0; n < count; ++n)
    out.push_back("account-" + std::to_string(n));
  return out;
}

struct Slope {
  double BytesPerAccount = 0;
  double NanosecondsPerCall = 0;
};

/// Every account is asked for one request and settled at the next ask.
Slope measureOwner(const std::vector<std::string> &names) {
  const std::size_t before = heapBytes();
  accounts::CreditOwner owner;
  for (const std::string &it : names)
    (void)owner.takeOwnership(it, Rate, Start);
  core::TimePoint now = Start + seconds(2);
  accounts::CreditAsk ask;
  ask.Holder = core::InstanceId{7};
  ask.Needed = 1;
  const double from = processorSeconds();
  for (std::size_t n = 0; n < Operations; ++n) {
    ask.Account = names[n % names.size()];
    ask.Id = n + 1;
    ask.Settled.clear();
    if (n >= names.size())
      ask.Settled.push_back({ask.Id - names.size(), 0});
    now += core::Duration(100);
    (void)owner.handleAsk(ask, now);
  }
  const double spent = processorSeconds() - from;
  const std::size_t bytes = heapBytes() - before;
  return {static_cast<double>(bytes) / static_cast<double>(names.size()),
          spent * 1e9 / Operations};
}

/// Takes requests in turn; every ask is granted at once.
Slope measureHolder(const std::vector<std::string> &names) {
  const std::size_t before = heapBytes();
  std::vector<accounts::CreditGrant> grants;
  accounts::CreditHooks hooks;
  hooks.Ask = [&](const accounts::CreditAsk &ask) {
    grants.push_back({ask.Id,
                      ask.Account,
                      accounts::CreditStatus::Granted,
                      ask.Needed + ask.Wanted,
                      std::chrono::milliseconds(500),
                      {}});
  };
  hooks.Return = [](const accounts::CreditReturn &) {};
  hooks.OnTaken = [](accounts::Ticket) {};
  hooks.OnRefused = [](accounts::Ticket, core::ErrorKind) {};
  const auto holder = std::move(
      accounts::CreditHolder::create(core::InstanceId{7}, hooks).value());
  core::TimePoint now = Start;
  const double from = processorSeconds();
  for (std::size_t n = 0; n < Operations; ++n) {
    now += core::Duration(100);
    (void)holder->take(names[n % names.size()], n, now);
    for (const accounts::CreditGrant &it : grants)
      holder->handleGrant(it, now);
    grants.clear();
    holder->expire(now);
  }
  const double spent = processorSeconds() - from;
  const std::size_t bytes = heapBytes() - before;
  return {static_cast<double>(bytes) / static_cast<double>(names.size()),
          spent * 1e9 / Operations};
}

} // namespace

int main() {
  fmt::print("{:>9}{:>14}{:>12}{:>16}{:>12}\n", "accounts", "owner B/acc",
             "owner ns", "holder B/acc", "holder ns");
  for (const std::size_t count : {8U, 1000U, 10'000U, 100'000U}) {
    const std::vector<std::string> names = namesOf(count);
    const Slope owner = measureOwner(names);
    const Slope holder = measureHolder(names);
    fmt::print("{:>9}{:>14.0f}{:>12.0f}{:>16.0f}{:>12.0f}\n", count,
               owner.BytesPerAccount, owner.NanosecondsPerCall,
               holder.BytesPerAccount, holder.NanosecondsPerCall);
  }
  return 0;
}
