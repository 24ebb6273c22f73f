#include "Proxy/PeerClients.h"

#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/write.hpp>

#include "Net/HttpServer.h"
#include "Support/ByteServer.h"
#include "Support/EndingAnswers.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::proxy;
using net::HttpResponse;
using requests::AttemptOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How the other node answers the request for a permit.
enum class PermitAnswer { Granted, GrantedLate, GrantedTooLate, Refused, None };

struct SendRow {
  const char *Name;
  std::size_t BodyBytes;
  PermitAnswer Answer;
  /// Requests that the other node receives, the permit request included.
  std::size_t Requests;
  AttemptOutcome Outcome;
  bool ReachedUpstream;
  /// Longest time left that the order may state; it starts with 400 ms.
  int MaxLeftMs;
  /// For how long the process stands still while it connects.
  int PauseMs = 0;
};

const SendRow SendRows[] = {
    {"small body is sent without a permit", 100, PermitAnswer::None, 1,
     AttemptOutcome::Answered, true, 400},
    {"large body is sent after a permit", 60'000, PermitAnswer::Granted, 2,
     AttemptOutcome::Answered, true, 400},
    {"time left excludes the wait for a permit", 60'000,
     PermitAnswer::GrantedLate, 2, AttemptOutcome::Answered, true, 300},
    {"large body is not sent if the permit comes after the deadline", 60'000,
     PermitAnswer::GrantedTooLate, 1, AttemptOutcome::NotSent, false, 400},
    {"large body is not sent if the permit is refused", 60'000,
     PermitAnswer::Refused, 1, AttemptOutcome::RefusedNotRun, false, 400},
    {"time left excludes a pause before the connection is there", 100,
     PermitAnswer::None, 1, AttemptOutcome::Answered, true, 250, 150},
    {"not sent if the connection is there after the deadline", 100,
     PermitAnswer::None, 0, AttemptOutcome::NotSent, false, 400, 450},
};

ForwardOutcome makeOutcome(AttemptOutcome outcome, bool reached) {
  ForwardOutcome out;
  out.Outcome = outcome;
  out.Reason = core::ErrorKind::QueueFull;
  out.ReachedUpstream = reached;
  return out;
}

Order makeOrder(std::size_t bytes) {
  Order out;
  out.Request = {net::http::verb::post, "/x", 11};
  out.Request.body() = std::string(bytes, 'x');
  out.Deadline = core::BootClock::now() + milliseconds(400);
  out.Target = out.Deadline;
  return out;
}

HeaderCodec makeHeaderCodec(int &leftMs) {
  HeaderCodec out;
  out.WriteOrder = [&leftMs](net::HttpFields &, const OrderFields &order) {
    leftMs = static_cast<int>(order.TimeLeft / milliseconds(1));
  };
  return out;
}

} // namespace

ACACIA_TABLE_TEST(PeerClients, Sends, SendRows) {
  constexpr std::uint64_t PermitNumber = 7;
  boost::asio::io_context loop;
  boost::asio::steady_timer timer(loop);
  std::size_t requests = 0;
  const auto server = *net::HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 100'000, seconds(1), seconds(5)},
      [&](const std::shared_ptr<net::Exchange> &exchange) {
        ++requests;
        HttpResponse out(net::http::status::ok, 11);
        const bool isPermitRequest =
            readPermitRequest(exchange->request()).has_value();
        if (!isPermitRequest) {
          cr_assert_eq(exchange->request().body().size(), row.BodyBytes);
          cr_assert_eq(readPermit(exchange->request()),
                       row.Answer == PermitAnswer::None ? 0 : PermitNumber);
          writeOutcome(out, makeOutcome(AttemptOutcome::Answered, true));
        } else if (row.Answer == PermitAnswer::Refused) {
          writeOutcome(out, makeOutcome(AttemptOutcome::RefusedNotRun, false));
        } else {
          writePermit(out, PermitNumber);
        }
        int delayMs = 0;
        if (isPermitRequest && row.Answer == PermitAnswer::GrantedLate)
          delayMs = 120;
        else if (isPermitRequest && row.Answer == PermitAnswer::GrantedTooLate)
          delayMs = 450;
        timer.expires_after(milliseconds(delayMs));
        timer.async_wait([exchange, out](boost::system::error_code) {
          exchange->respond(out);
        });
      });
  int leftMs = 0;
  const HeaderCodec codec = makeHeaderCodec(leftMs);
  PeerClients clients(loop, nullptr);
  std::vector<OrderResult> results;
  const auto call =
      clients.send({"127.0.0.1", server->port()}, makeOrder(row.BodyBytes),
                   codec, [&](OrderResult result) {
                     results.push_back(std::move(result));
                     loop.stop();
                   });
  std::this_thread::sleep_for(milliseconds(row.PauseMs));
  loop.run_for(seconds(3));
  cr_assert_eq(results.size(), 1U, "%s", row.Name);
  cr_assert(results[0].Outcome.Outcome == row.Outcome, "%s", row.Name);
  cr_assert_eq(results[0].Outcome.ReachedUpstream, row.ReachedUpstream, "%s",
               row.Name);
  cr_assert_eq(requests, row.Requests, "%s", row.Name);
  cr_assert_leq(leftMs, row.MaxLeftMs, "%s", row.Name);
}

namespace {

struct TruncatedRow {
  const char *Name;
  std::size_t BodyBytes;
  tests::ConnectionEnd End;
  /// Outcome of an incomplete answer.
  AttemptOutcome Outcome;
  bool ReachedUpstream;
};

const TruncatedRow TruncatedRows[] = {
    {"order, connection closed", 100, tests::ConnectionEnd::Close,
     AttemptOutcome::SentNoAnswer, true},
    {"order, connection reset", 100, tests::ConnectionEnd::Reset,
     AttemptOutcome::SentNoAnswer, true},
    {"permit request, connection closed", 60'000, tests::ConnectionEnd::Close,
     AttemptOutcome::NotSent, false},
    {"permit request, connection reset", 60'000, tests::ConnectionEnd::Reset,
     AttemptOutcome::NotSent, false},
};

std::string textOf(const HttpResponse &response) {
  std::ostringstream out;
  out << response;
  return out.str();
}

} // namespace

// Truncates another node's refusal after each of its bytes. Only the complete
// one may count as not run.
ACACIA_TABLE_TEST(PeerClients, RejectsTruncatedRefusals, TruncatedRows) {
  HttpResponse refusal(net::http::status::service_unavailable, 11);
  writeOutcome(refusal, makeOutcome(AttemptOutcome::RefusedNotRun, false));
  refusal.prepare_payload();
  const std::string whole = textOf(refusal);
  int leftMs = 0;
  const HeaderCodec codec = makeHeaderCodec(leftMs);
  for (std::size_t n = 0; n <= whole.size(); ++n) {
    boost::asio::io_context loop;
    const tests::ByteServer server(
        loop, [&](const net::HttpRequest &, std::size_t) {
          return tests::ByteAnswer{{{{}, whole.substr(0, n)}}, row.End};
        });
    PeerClients clients(loop, nullptr);
    std::vector<OrderResult> results;
    const auto call =
        clients.send({"127.0.0.1", server.port()}, makeOrder(row.BodyBytes),
                     codec, [&](OrderResult result) {
                       results.push_back(std::move(result));
                       loop.stop();
                     });
    loop.run_for(seconds(3));
    const bool isWhole = n == whole.size();
    cr_assert_eq(results.size(), 1U, "%s %zu", row.Name, n);
    const ForwardOutcome &outcome = results[0].Outcome;
    cr_assert(outcome.Outcome ==
                  (isWhole ? AttemptOutcome::RefusedNotRun : row.Outcome),
              "%s %zu", row.Name, n);
    cr_assert_eq(outcome.ReachedUpstream, isWhole ? false : row.ReachedUpstream,
                 "%s %zu", row.Name, n);
  }
}

namespace {

const char *const EndingBody = "the whole body";

/// A node that grants each permit, and answers an order with \p row.
tests::ByteAnswer answerOrder(const net::HttpRequest &request,
                              const tests::EndingAnswer &row) {
  if (readPermitRequest(request))
    return {{{{}, "HTTP/1.1 204 No Content\r\nAcacia-Room: 1\r\n\r\n"}},
            tests::ConnectionEnd::None};
  net::HttpFields fields;
  writeOutcome(fields, makeOutcome(AttemptOutcome::Answered, true));
  std::string lines;
  for (const auto &it : fields)
    lines +=
        std::string(it.name_string()) + ": " + std::string(it.value()) + "\r\n";
  return {{{{}, bytesOf(row, lines, EndingBody)}}, row.End};
}

} // namespace

// The other node states that its upstream has answered; that counts only in an
// answer that is whole.
ACACIA_TABLE_TEST(PeerClients, TakesWholeAnswersOnly, tests::EndingAnswers) {
  boost::asio::io_context loop;
  const tests::ByteServer server(
      loop,
      [&](const net::HttpRequest &request, std::size_t) {
        return answerOrder(request, row);
      },
      row.When);
  int leftMs = 0;
  const HeaderCodec codec = makeHeaderCodec(leftMs);
  PeerClients clients(loop, nullptr);
  std::vector<OrderResult> results;
  const auto call =
      clients.send({"127.0.0.1", server.port()}, makeOrder(row.UploadBytes),
                   codec, [&](OrderResult result) {
                     results.push_back(std::move(result));
                     loop.stop();
                   });
  loop.run_for(seconds(2));
  cr_assert_eq(results.size(), 1U, "%s", row.Name);
  const ForwardOutcome &outcome = results[0].Outcome;
  cr_assert(outcome.Outcome == (row.IsWhole ? AttemptOutcome::Answered
                                            : AttemptOutcome::SentNoAnswer),
            "%s: %d", row.Name, static_cast<int>(outcome.Outcome));
  cr_assert(outcome.ReachedUpstream, "%s", row.Name);
  if (row.IsWhole)
    cr_assert_eq(results[0].Answer.body(), EndingBody, "%s", row.Name);
}
