#include "Wire/PeerTransport.h"

#include <condition_variable>
#include <cstring>
#include <mutex>
#include <thread>
#include <vector>

#include <zmq.hpp>

#include "Support/Table.h"
#include "Wire/PeerConnection.h"

using namespace acaciaroad;
using namespace acaciaroad::wire;

namespace {

/// Longest wait of a test; reached only by a fault.
constexpr std::chrono::seconds Patience{20};

/// Collects what a transport reports.
struct Inbox {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Received;
  std::string ReplyAddress;
  int Undelivered = 0;
  int Lost = 0;

  PeerTransportHooks hooks() {
    PeerTransportHooks out;
    out.OnMessage = [this](const PeerMessageView &it) {
      change([&] {
        Received.push_back(std::string(it.Header) + "|" +
                           std::string(it.Payload));
        ReplyAddress = it.ReplyAddress;
      });
    };
    out.OnUndelivered = [this](std::string_view, const PeerMessage &) {
      change([&] { ++Undelivered; });
    };
    out.OnPeerLost = [this](std::string_view, Channel) {
      change([&] { ++Lost; });
    };
    return out;
  }

  template <typename Change> void change(Change apply) {
    const std::lock_guard lock(Mutex);
    apply();
    Changed.notify_all();
  }

  template <typename Condition> bool waitFor(Condition holds) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, Patience, holds);
  }
};

std::shared_ptr<PeerTransport> start(Inbox &inbox,
                                     std::optional<CurveKeys> keys = {}) {
  PeerTransportOptions options;
  options.Self.Value = core::randomId();
  options.Connection.Curve = std::move(keys);
  auto out = PeerTransport::create(options, inbox.hooks());
  cr_assert(out.has_value());
  return *out;
}

struct SecurityRow {
  const char *Name;
  bool SenderHasKey;
  bool ReceiverHasKey;
  bool SameKey;
  bool Arrives;
};

const SecurityRow SecurityRows[] = {
    {"no keys", false, false, true, true},
    {"the fleet's key", true, true, true, true},
    {"another fleet's key", true, true, false, false},
    {"no key towards a fleet with one", false, true, true, false},
    {"a key towards a fleet without", true, false, true, false},
};

struct BurstRow {
  int Count;
  /// The burst is within the bound on messages that wait for a connection.
  bool AllArrive;
};

const BurstRow BurstRows[] = {{1, true}, {1000, true}, {8000, false}};

using State = PeerConnection::State;

/// What stands at the address of a peer whose connect deadline has passed.
struct OverdueRow {
  const char *Name;
  zmq::socket_type Peer;
  State End;
};

const OverdueRow OverdueRows[] = {
    {"a peer", zmq::socket_type::router, State::Connected},
    {"a listener that never answers", zmq::socket_type::stream, State::Lost},
};

} // namespace

ACACIA_TABLE_TEST(PeerTransportTest, keysDecideWhoIsHeard, SecurityRows) {
  const CurveKeys fleet = *generateCurveKeys();
  const CurveKeys other = row.SameKey ? fleet : *generateCurveKeys();
  Inbox here;
  Inbox there;
  const auto receiver =
      start(there, row.ReceiverHasKey ? std::optional(fleet) : std::nullopt);
  const auto sender =
      start(here, row.SenderHasKey ? std::optional(other) : std::nullopt);
  cr_assert(sender->send(receiver->boundAddress(),
                         {Channel::Control, "header", "payload"}));
  if (row.Arrives) {
    cr_assert(there.waitFor([&] { return !there.Received.empty(); }), "%s",
              row.Name);
    cr_assert(there.Received.front() == "header|payload");
    cr_assert(there.ReplyAddress == sender->boundAddress());
    return;
  }
  cr_assert(here.waitFor([&] { return here.Undelivered == 1; }), "%s",
            row.Name);
  cr_assert(there.Received.empty(), "%s", row.Name);
}

ACACIA_TABLE_TEST(PeerTransportTest, everyMessageArrivesInOrderOrIsReported,
                  BurstRows) {
  Inbox here;
  Inbox there;
  const auto receiver = start(there);
  const auto sender = start(here);
  for (int n = 0; n < row.Count; ++n) {
    const PeerMessage message{Channel::Forward, std::to_string(n), "x"};
    cr_assert(sender->send(receiver->boundAddress(), message));
  }
  std::size_t received = 0;
  cr_assert(there.waitFor([&] {
    const std::lock_guard lock(here.Mutex);
    received = there.Received.size();
    return static_cast<int>(received) + here.Undelivered == row.Count;
  }));
  cr_assert(!row.AllArrive || static_cast<int>(received) == row.Count);
  int last = -1;
  for (const std::string &it : there.Received) {
    const int n = std::stoi(it);
    cr_assert_gt(n, last);
    last = n;
  }
}

// After a pause of the process, the handshake and its deadline are due at once.
ACACIA_TABLE_TEST(PeerConnectionTest, pauseWithinTheHandshakeLosesNoPeer,
                  OverdueRows) {
  zmq::context_t context(1);
  zmq::socket_t peer(context, row.Peer);
  peer.set(zmq::sockopt::linger, 0);
  peer.bind("tcp://127.0.0.1:*");
  const std::string address =
      peer.get(zmq::sockopt::last_endpoint).substr(std::strlen("tcp://"));
  const auto start = core::BootClock::now();
  PeerConnection connection(context, address, Channel::Forward, {}, start);
  const auto overdue = connection.connectDeadline();
  cr_assert(connection.check(overdue) != State::Lost, "%s", row.Name);
  if (row.End == State::Lost) {
    cr_assert(connection.check(connection.connectDeadline()) == State::Lost);
    return;
  }
  while (connection.check(overdue) != State::Connected) {
    cr_assert(core::BootClock::now() - start < Patience);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

Test(PeerTransportTest, unreachablePeerIsReportedWithTheMessage) {
  Inbox here;
  const auto sender = start(here);
  std::string gone;
  {
    Inbox there;
    gone = start(there)->boundAddress();
  }
  cr_assert(sender->send(gone, {Channel::Control, "a", ""}));
  cr_assert(here.waitFor([&] { return here.Undelivered == 1; }));
  cr_assert_eq(here.Lost, 0);
}

Test(PeerTransportTest, lossOfAPeerIsReported) {
  Inbox here;
  Inbox there;
  const auto sender = start(here);
  auto receiver = start(there);
  cr_assert(
      sender->send(receiver->boundAddress(), {Channel::Forward, "a", ""}));
  cr_assert(there.waitFor([&] { return !there.Received.empty(); }));
  receiver->stop();
  cr_assert(here.waitFor([&] { return here.Lost == 1; }));
}
