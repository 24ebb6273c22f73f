#include <condition_variable>
#include <future>
#include <mutex>
#include <random>
#include <vector>

#include <sys/resource.h>
#include <zmq.hpp>

#include "Support/Table.h"
#include "Wire/Envelope.h"
#include "Wire/PeerEndpoint.h"

using namespace acaciaroad;
using namespace acaciaroad::wire;

namespace {

/// Longest wait of a test; reached only by a fault.
constexpr std::chrono::seconds Patience{30};
constexpr std::size_t MiB = 1U << 20U;

core::TimePoint soon() { return core::BootClock::now() + Patience; }

std::shared_ptr<PeerEndpoint>
start(CallHandler onCall, concurrency::WorkerPoolOptions pool = {4, 16}) {
  PeerEndpointOptions options;
  options.Transport.Self.Value = core::randomId();
  options.Pool = pool;
  PeerEndpointHooks hooks;
  hooks.OnCall = std::move(onCall);
  auto out = PeerEndpoint::create(std::move(options), std::move(hooks));
  cr_assert(out.has_value());
  return *out;
}

ForwardHead headOf(std::string requestId) {
  ForwardHead head;
  head.RequestId = std::move(requestId);
  head.Method = "POST";
  head.Target = "/interviews?wave=2";
  head.Headers = {{"X-One", "a%20b"}, {"X-One", "\xff"}};
  head.WorkClass = "interview";
  head.Account = "polls";
  head.Service = "interviews";
  head.KeyHash = 42;
  head.SliceIndex = 7;
  head.IdempotencyKey = "booking-1";
  head.DeadlineRemaining = Patience;
  head.Body = BodyMode::Chunked;
  return head;
}

/// A body that differs in every position.
std::vector<std::byte> bodyOf(std::size_t size) {
  std::vector<std::byte> out(size);
  std::uint32_t state = 1;
  for (std::byte &it : out) {
    state = state * 1664525U + 1013904223U;
    it = static_cast<std::byte>(state >> 24U);
  }
  return out;
}

std::vector<std::byte> readAll(ForwardCall &call) {
  std::vector<std::byte> out;
  std::vector<std::byte> buf(ChunkLimitBytes);
  auto n = call.read(buf, soon());
  for (; n && *n > 0; n = call.read(buf, soon()))
    out.insert(out.end(), buf.begin(),
               buf.begin() + static_cast<std::ptrdiff_t>(*n));
  return out;
}

/// Answers with the headers and the body of the request.
void echo(const std::shared_ptr<ForwardCall> &call) {
  const auto body = readAll(*call);
  const auto first =
      std::span(body).first(std::min(body.size(), ChunkLimitBytes));
  const AnswerHead head{201, call->head().Headers, BodyMode::Chunked, 0};
  if (!call->answerHead(head, first, false))
    return;
  if (call->write(std::span(body).subspan(first.size()), soon()))
    (void)call->finishBody();
}

/// Reads a body away and answers with one as long.
void answerInKind(const std::shared_ptr<ForwardCall> &call) {
  std::vector<std::byte> buf(ChunkLimitBytes);
  std::size_t total = 0;
  while (const std::size_t n = call->read(buf, soon()).value_or(0))
    total += n;
  const AnswerHead head{200, {}, BodyMode::Sized, total};
  (void)call->answerHead(head, {}, false);
  for (; total > 0; total -= std::min(total, buf.size()))
    (void)call->write(std::span(buf).first(std::min(total, buf.size())),
                      soon());
  (void)call->finishBody();
}

/// Answers without a look at the body.
void answerAtOnce(const std::shared_ptr<ForwardCall> &call) {
  (void)call->answerHead({200, {}, BodyMode::None, 0}, {}, true);
}

struct BodyRow {
  std::size_t Size;
  /// The whole body goes in the first message.
  bool InFirst;
};

const BodyRow BodyRows[] = {{0, true},
                            {1, true},
                            {ChunkLimitBytes, true},
                            {0, false},
                            {ChunkLimitBytes + 1, false},
                            {WindowBytes, false},
                            {3 * MiB + 17, false}};

/// What goes wrong at the owner.
enum class Fault {
  Refuses,
  DropsTheCall,
  CancelsWithinTheAnswer,
  StaysSilent,
  StopsUnanswered,
  StopsWithinTheAnswer,
};

struct FaultRow {
  Fault What;
  core::ErrorKind AtHead;
  core::ErrorKind AtBody;
};

using Kind = core::ErrorKind;

const FaultRow FaultRows[] = {
    {Fault::Refuses, Kind::UpstreamShedding, Kind::UpstreamShedding},
    {Fault::DropsTheCall, Kind::Internal, Kind::Internal},
    {Fault::StaysSilent, Kind::OutcomeUnknown, Kind::OutcomeUnknown},
    {Fault::CancelsWithinTheAnswer, Kind::Internal, Kind::AnswerIncomplete},
    {Fault::StopsUnanswered, Kind::OutcomeUnknown, Kind::OutcomeUnknown},
    {Fault::StopsWithinTheAnswer, Kind::Internal, Kind::AnswerIncomplete},
};

void applyFault(Fault fault, const std::shared_ptr<ForwardCall> &call) {
  const AnswerHead head{200, {}, BodyMode::Sized, 100};
  switch (fault) {
  case Fault::Refuses:
    return call->refuse({Kind::UpstreamShedding, "busy"});
  case Fault::CancelsWithinTheAnswer:
    (void)call->answerHead(head, bodyOf(10), false);
    return call->cancel();
  case Fault::StopsWithinTheAnswer:
    (void)call->answerHead(head, bodyOf(10), false);
    return;
  default:
    return;
  }
}

/// Keeps calls alive, and lets a test wait for the first.
struct Holder {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::shared_ptr<ForwardCall>> Calls;

  void keep(std::shared_ptr<ForwardCall> call) {
    const std::lock_guard lock(Mutex);
    Calls.push_back(std::move(call));
    Changed.notify_all();
  }
  std::shared_ptr<ForwardCall> first() {
    std::unique_lock lock(Mutex);
    cr_assert(Changed.wait_for(lock, Patience, [&] { return !Calls.empty(); }));
    return Calls.front();
  }
};

/// Changes an answer that would be accepted into one that must not be.
struct CrossedRow {
  const char *Name;
  void (*Change)(ForwardFrame &frame, PeerMessageView &message);
  bool Accepted;
};

const CrossedRow CrossedRows[] = {
    {"the answer itself", [](ForwardFrame &, PeerMessageView &) {}, true},
    {"another call's number",
     [](ForwardFrame &frame, PeerMessageView &) { ++frame.Call; }, false},
    {"another request's check",
     [](ForwardFrame &frame, PeerMessageView &) { ++frame.RequestCheck; },
     false},
    {"another request's id",
     [](ForwardFrame &frame, PeerMessageView &) {
       std::get<AnswerFrame>(frame.Kind).RequestId = "other";
     },
     false},
    {"towards the owner",
     [](ForwardFrame &frame, PeerMessageView &) { frame.ToOwner = true; },
     false},
    {"another instance",
     [](ForwardFrame &, PeerMessageView &message) { ++message.From.Value; },
     false},
    {"a payload over the limit",
     [](ForwardFrame &, PeerMessageView &message) {
       static const std::string tooLong(ChunkLimitBytes + 1, 'x');
       message.Payload = tooLong;
     },
     false},
};

/// Mutates a message in a way that depends on \p random alone.
void mutate(std::string &bytes, std::mt19937 &random) {
  const auto edits = random() % 8;
  for (std::uint32_t n = 0; n < edits && !bytes.empty(); ++n)
    bytes[random() % bytes.size()] = static_cast<char>(random());
  if (random() % 4 == 0)
    bytes.resize(random() % (bytes.size() + 1));
}

const unsigned FuzzSeeds[] = {1, 2, 3, 4};

} // namespace

ACACIA_TABLE_TEST(ForwardTest, bodyAndHeadGoBothWays, BodyRows) {
  std::promise<ForwardHead> seen;
  const auto owner = start([&](const std::shared_ptr<ForwardCall> &call) {
    seen.set_value(call->head());
    echo(call);
  });
  const auto entry = start(nullptr);
  const auto body = bodyOf(row.Size);
  const ForwardHead head = headOf("r-1");
  const auto first = row.InFirst ? std::span(body) : std::span(body).first(0);
  const auto call = entry->open(owner->address(), head, first, row.InFirst);
  cr_assert(call.has_value());
  if (!row.InFirst) {
    cr_assert((*call)->write(body, soon()).has_value());
    cr_assert((*call)->finishBody().has_value());
  }
  const auto answer = (*call)->awaitHead(soon());
  cr_assert(answer.has_value());
  cr_assert_eq(std::get<AnswerHead>(*answer).Status, 201);
  cr_assert(std::get<AnswerHead>(*answer).Headers == head.Headers);
  cr_assert(readAll(**call) == body);
  cr_assert(seen.get_future().get() == head);
}

Test(ForwardTest, largeBodiesAreNeverHeldWhole) {
  constexpr std::size_t Total = 64 * MiB;
  constexpr long GrowthLimitKiB = 24576;
  const auto owner = start(answerInKind);
  const auto entry = start(nullptr);
  const auto part = bodyOf(MiB);
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  const auto call = entry->open(owner->address(), headOf("r-1"), {}, false);
  cr_assert(call.has_value());
  for (std::size_t n = 0; n < Total; n += part.size())
    cr_assert((*call)->write(part, soon()).has_value());
  cr_assert((*call)->finishBody().has_value());
  cr_assert((*call)->awaitHead(soon()).has_value());
  std::vector<std::byte> buf(ChunkLimitBytes);
  std::size_t total = 0;
  while (const std::size_t n = (*call)->read(buf, soon()).value())
    total += n;
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  cr_assert_eq(total, Total);
  cr_assert_lt(after.ru_maxrss - before.ru_maxrss, GrowthLimitKiB);
}

ACACIA_TABLE_TEST(ForwardTest, faultsOfTheOwnerAreToldTruly, FaultRows) {
  Holder kept;
  auto owner = start([&](const std::shared_ptr<ForwardCall> &call) {
    applyFault(row.What, call);
    if (row.What != Fault::DropsTheCall)
      kept.keep(call);
  });
  const auto entry = start(nullptr);
  const auto call = entry->open(owner->address(), headOf("r-1"));
  cr_assert(call.has_value());
  if (row.What == Fault::StopsUnanswered ||
      row.What == Fault::StopsWithinTheAnswer) {
    (void)kept.first();
    if (row.What == Fault::StopsWithinTheAnswer)
      cr_assert((*call)->awaitHead(soon()).has_value());
    owner->stop();
  }
  const bool silent = row.What == Fault::StaysSilent;
  const auto deadline = silent ? core::BootClock::now() : soon();
  const auto answer = (*call)->awaitHead(deadline);
  if (answer && std::holds_alternative<core::Error>(*answer))
    cr_assert(std::get<core::Error>(*answer).Kind == row.AtHead);
  else if (!answer)
    cr_assert(answer.error().Kind == row.AtHead);
  std::vector<std::byte> buf(ChunkLimitBytes);
  auto n = (*call)->read(buf, deadline);
  while (n && *n > 0)
    n = (*call)->read(buf, deadline);
  cr_assert(!n.has_value());
  cr_assert(n.error().Kind == row.AtBody);
}

Test(ForwardTest, requestThatNeverLeftIsUnreachable) {
  const auto entry = start(nullptr);
  const std::string gone = start(nullptr)->address();
  const auto call = entry->open(gone, headOf("r-1"));
  cr_assert(call.has_value());
  const auto answer = (*call)->awaitHead(soon());
  cr_assert(!answer.has_value());
  cr_assert(answer.error().Kind == Kind::PeerUnreachable);
  cr_assert_eq(entry->clientCounters().Running, 0);
}

Test(ForwardTest, cancellationReachesTheOwner) {
  std::promise<void> cancelled;
  Holder kept;
  const auto owner = start([&](std::shared_ptr<ForwardCall> call) {
    call->setOnCancelled([&] { cancelled.set_value(); });
    kept.keep(std::move(call));
  });
  const auto entry = start(nullptr);
  const auto call = entry->open(owner->address(), headOf("r-1"), {}, false);
  const auto held = kept.first();
  (*call)->cancel();
  cr_assert(cancelled.get_future().wait_for(Patience) ==
            std::future_status::ready);
  std::vector<std::byte> buf(1);
  cr_assert(held->read(buf, soon()).error().Kind == Kind::BodyIncomplete);
}

Test(ForwardTest, replacedHookIsOver) {
  std::promise<void> entered;
  std::promise<void> release;
  std::atomic<bool> isOver{false};
  Holder kept;
  const auto owner = start([&](std::shared_ptr<ForwardCall> call) {
    call->setOnCancelled([&] {
      entered.set_value();
      release.get_future().wait();
      isOver = true;
    });
    kept.keep(std::move(call));
  });
  const auto entry = start(nullptr);
  const auto call = entry->open(owner->address(), headOf("r-1"), {}, false);
  const auto held = kept.first();
  (*call)->cancel();
  entered.get_future().wait();
  auto replaced = std::async(std::launch::async, [&] {
    held->setOnCancelled(nullptr);
    return isOver.load();
  });
  release.set_value();
  cr_assert(replaced.get());
}

Test(ForwardTest, fullPoolRefusesAsNotRun) {
  std::promise<void> release;
  const auto gate = release.get_future().share();
  const auto owner = start(
      [gate](const std::shared_ptr<ForwardCall> &call) {
        gate.wait();
        echo(call);
      },
      {1, 1});
  const auto entry = start(nullptr);
  std::vector<std::shared_ptr<ForwardCall>> calls;
  calls.reserve(4);
  for (int n = 0; n < 4; ++n)
    calls.push_back(*entry->open(owner->address(), headOf(std::to_string(n))));
  const auto place = ForwardCall::waitAny(calls, soon());
  cr_assert(place.has_value());
  const auto refused = calls[*place]->awaitHead(soon());
  cr_assert(std::get<core::Error>(*refused).Kind == Kind::QueueFull);
  release.set_value();
  int served = 0;
  for (const auto &it : calls)
    if (std::holds_alternative<AnswerHead>(it->awaitHead(soon()).value()))
      ++served;
  cr_assert(served == 1 || served == 2);
}

ACACIA_TABLE_TEST(ForwardTest, lateAndCrossedAnswersAreDropped, CrossedRows) {
  std::vector<PeerMessage> sent;
  ForwardClient client(
      [&](std::string_view, PeerMessage message) -> core::Result<void> {
        sent.push_back(std::move(message));
        return {};
      },
      8);
  const auto call = *client.open("127.0.0.1:1", headOf("r-1"), {}, false);
  const ForwardFrame opened = *decodeFrame(sent.front().Header);
  // A grant names the instance that serves the call.
  PeerMessageView message{{77}, "127.0.0.1:1", Channel::Forward, "", ""};
  ForwardFrame credit = opened;
  credit.ToOwner = false;
  credit.Kind = CreditFrame{0};
  client.receive(message, credit);
  ForwardFrame answer = credit;
  answer.Kind = AnswerFrame{"r-1", {200, {}, BodyMode::None, 0}, true};
  row.Change(answer, message);
  client.receive(message, answer);
  cr_assert_eq(call->hasAnswer(), row.Accepted, "%s", row.Name);
  // The same answer again is late.
  client.receive(message, answer);
  cr_assert_eq(client.counters().LateOrCrossed, row.Accepted ? 1 : 2, "%s",
               row.Name);
}

ACACIA_TABLE_TEST(ForwardTest, corruptMessagesNeverCrash, FuzzSeeds) {
  constexpr int Messages = 3000;
  const auto owner = start(answerAtOnce);
  std::mt19937 random(row);
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, -1);
  socket.connect("tcp://" + owner->address());
  ForwardFrame frame{1, core::hashOf("r-1"), true,
                     OpenFrame{headOf("r-1"), true}};
  for (int n = 0; n < Messages; ++n) {
    frame.Call = random() % 64;
    std::string header = encodeFrame(frame);
    mutate(header, random);
    std::string envelope =
        encodeEnvelope({random() % 3}, "127.0.0.1:1", Channel::Forward, header);
    if (random() % 2 == 0)
      mutate(envelope, random);
    const bool more = random() % 4 == 0;
    socket.send(zmq::buffer(envelope),
                more ? zmq::send_flags::sndmore : zmq::send_flags::none);
    if (more)
      socket.send(zmq::buffer(header), zmq::send_flags::none);
  }
  const auto entry = start(nullptr);
  // The pool may be full of calls that the corpus opened.
  for (bool answered = false; !answered;) {
    const auto call = *entry->open(owner->address(), headOf("r-2"));
    const auto answer = call->awaitHead(soon());
    cr_assert(answer.has_value());
    answered = std::holds_alternative<AnswerHead>(*answer);
  }
  cr_assert_gt(owner->corruptFrames() + owner->transportCounters().Corrupt, 0);
}
