#include "Net/Timeout.h"

#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "Support/Table.h"

using namespace acaciaroad;
using net::Timeout;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What happens to a timeout in the same turn of the loop in which it is due.
enum class Step { None, Cancel, StartAnew, Destroy };

struct DueRow {
  const char *Name;
  Step What;
  int First;
  int Second;
};

const DueRow DueRows[] = {
    {"nothing", Step::None, 1, 0},
    {"cancelled", Step::Cancel, 0, 0},
    {"set anew", Step::StartAnew, 0, 1},
    {"destroyed", Step::Destroy, 0, 0},
};

} // namespace

// Two timers are due in one turn; the first one's handler acts on the second.
ACACIA_TABLE_TEST(Timeout, RunsNoHandlerThatWasCancelled, DueRows) {
  constexpr auto Length = milliseconds(10);
  boost::asio::io_context loop;
  Timeout earlier(loop);
  std::optional<Timeout> later;
  later.emplace(loop);
  int first = 0;
  int second = 0;
  earlier.start(Length, [&] {
    if (row.What == Step::Cancel)
      later->cancel();
    else if (row.What == Step::StartAnew)
      later->start(Length, [&] { ++second; });
    else if (row.What == Step::Destroy)
      later.reset();
  });
  later->start(2 * Length, [&] { ++first; });
  std::this_thread::sleep_for(3 * Length);
  loop.run_for(seconds(1));
  cr_assert_eq(first, row.First, "%s: %d", row.Name, first);
  cr_assert_eq(second, row.Second, "%s: %d", row.Name, second);
}

// A handler may hold what owns the timeout.
Test(Timeout, LeavesNothingBehind) {
  struct Owner {
    explicit Owner(boost::asio::io_context &loop) : Guard(loop) {}
    Timeout Guard;
  };
  std::weak_ptr<Owner> watched;
  {
    boost::asio::io_context loop;
    const auto owner = std::make_shared<Owner>(loop);
    watched = owner;
    owner->Guard.start(seconds(5), [owner] {});
  }
  cr_assert(watched.expired());
}

namespace {

struct LastOwnerRow {
  const char *Name;
  bool IsStartedAnew;
};

const LastOwnerRow LastOwnerRows[] = {
    {"cancelled", false},
    {"set anew", true},
};

} // namespace

// The pending handler is the last to hold what owns the timeout. What is used
// after its end shows with the preset asan.
ACACIA_TABLE_TEST(Timeout, IsCancelledByItsLastOwner, LastOwnerRows) {
  struct Owner {
    explicit Owner(boost::asio::io_context &loop) : Guard(loop) {}
    Timeout Guard;
  };
  boost::asio::io_context loop;
  auto owner = std::make_shared<Owner>(loop);
  Timeout &guard = owner->Guard;
  guard.start(seconds(5), [held = std::exchange(owner, nullptr)] {});
  if (row.IsStartedAnew)
    guard.start(seconds(5), [] {});
  else
    guard.cancel();
  loop.run_for(milliseconds(10));
}
