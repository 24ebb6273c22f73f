#include "Http/Exchange.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <iterator>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "Http/Problem.h"

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

constexpr int NoContent = 204;
constexpr int NotModified = 304;

std::span<const std::byte> bytesOf(std::string_view text) {
  return std::as_bytes(std::span(text.data(), text.size()));
}

} // namespace

std::shared_ptr<Exchange>
Exchange::create(std::shared_ptr<CallerConnection> connection, RequestHead head,
                 ExchangeOptions options, const std::atomic<bool> &stopping) {
  return std::shared_ptr<Exchange>(
      new Exchange(std::move(connection), std::move(head), options, stopping));
}

Exchange::Exchange(std::shared_ptr<CallerConnection> connection,
                   RequestHead head, ExchangeOptions options,
                   const std::atomic<bool> &stopping)
    : Connection(std::move(connection)), Head(std::move(head)),
      Options(options), Stopping(stopping),
      Reader(*Connection, Head.Body, Head.BodyLength),
      ContinueDue(Head.ExpectsContinue), KeepAlive(Head.KeepAlive) {}

std::optional<std::uint64_t> Exchange::contentLength() const {
  if (Head.Body != Framing::Sized)
    return std::nullopt;
  return Head.BodyLength;
}

Exchange::Bytes Exchange::prefetched() const {
  return bytesOf(std::string_view(Prefetched).substr(PrefetchedUsed));
}

core::Result<void> Exchange::prefetch() {
  // A caller that waits for leave to send has not sent a body yet.
  if (ContinueDue || Reader.isDone())
    return {};
  // One deadline for all of it: slow callers must not hold threads for long.
  const auto deadline = core::BootClock::now() + Options.BodyTimeout;
  while (Prefetched.size() < Options.PrefetchBytes && !Reader.isDone()) {
    const std::size_t held = Prefetched.size();
    Prefetched.resize(std::min(held + prefetchStep(), Options.PrefetchBytes));
    const auto room =
        std::as_writable_bytes(std::span(Prefetched).subspan(held));
    const auto n = Reader.read(room, deadline);
    if (!n)
      return tl::unexpected(n.error());
    Prefetched.resize(held + *n);
  }
  return {};
}

std::size_t Exchange::prefetchStep() const {
  constexpr std::uint64_t StepBytes = 4096;
  if (Head.Body == Framing::Sized)
    return std::min<std::uint64_t>(Head.BodyLength, Options.PrefetchBytes);
  return StepBytes;
}

core::Result<std::size_t> Exchange::readBody(std::span<std::byte> out) {
  if (!Attached)
    return core::fail(ErrorKind::BodyIncomplete, "the exchange is over");
  const Bytes ahead = prefetched();
  if (!ahead.empty()) {
    const std::size_t n = std::min(out.size(), ahead.size());
    std::memcpy(out.data(), ahead.data(), n);
    PrefetchedUsed += n;
    return n;
  }
  if (core::Result<void> sent = sendContinue(); !sent)
    return tl::unexpected(sent.error());
  return Reader.read(out, core::BootClock::now() + Options.BodyTimeout);
}

core::Result<void> Exchange::sendContinue() {
  if (!std::exchange(ContinueDue, false) || State != Stage::Waiting)
    return {};
  return Connection->write("HTTP/1.1 100 Continue\r\n\r\n", {},
                           core::BootClock::now() + Options.WriteTimeout);
}

core::Result<void>
Exchange::respond(int status, std::span<const Header> headers, Bytes body) {
  if (core::Result<void> begun = begin(status, headers, body.size()); !begun)
    return begun;
  if (!body.empty() && AnswerFraming != Framing::None)
    if (core::Result<void> written = write(body); !written)
      return written;
  return end();
}

bool Exchange::isBodiless(int status) const {
  return Head.Method == "HEAD" || status == NoContent || status == NotModified;
}

core::Result<void> Exchange::begin(int status, std::span<const Header> headers,
                                   std::optional<std::uint64_t> length) {
  if (!Attached || State != Stage::Waiting)
    return core::fail(ErrorKind::Internal, "the answer has begun");
  State = Stage::Begun;
  if (isBodiless(status))
    AnswerFraming = Framing::None;
  else if (length)
    AnswerFraming = Framing::Sized;
  else
    AnswerFraming = Head.IsVersion11 ? Framing::Chunked : Framing::UntilClose;
  AnswerLeft = AnswerFraming == Framing::Sized ? *length : 0;
  // What is left of the body would be read as the next request.
  KeepAlive = KeepAlive && !Stopping && Reader.isDone() &&
              AnswerFraming != Framing::UntilClose;
  formatHead(status, headers, length);
  return {};
}

void Exchange::formatHead(int status, std::span<const Header> headers,
                          std::optional<std::uint64_t> length) {
  std::vector<Header> kept(headers.begin(), headers.end());
  stripHopByHop(kept);
  // To HEAD, the upstream's length is that of the body it left out.
  const bool statesLength =
      AnswerFraming == Framing::Sized ||
      (Head.Method == "HEAD" && length && !findHeader(kept, "Content-Length"));
  auto out = std::back_inserter(Pending);
  fmt::format_to(out, "HTTP/1.1 {} \r\n", status);
  for (const Header &it : kept) {
    const bool isLength = isSame(it.Name, "Content-Length");
    if (!isLength || (AnswerFraming == Framing::None && !statesLength))
      fmt::format_to(out, "{}: {}\r\n", it.Name, it.Value);
  }
  if (statesLength)
    fmt::format_to(out, "Content-Length: {}\r\n", *length);
  if (AnswerFraming == Framing::Chunked)
    Pending += "Transfer-Encoding: chunked\r\n";
  if (!KeepAlive)
    Pending += "Connection: close\r\n";
  else if (!Head.IsVersion11)
    Pending += "Connection: keep-alive\r\n";
  Pending += "\r\n";
}

core::Result<void> Exchange::send(Bytes body) {
  core::Result<void> sent = Connection->write(
      Pending, body, core::BootClock::now() + Options.WriteTimeout);
  Pending.clear();
  if (!sent)
    abort();
  return sent;
}

core::Result<void> Exchange::write(Bytes body) {
  if (!Attached || State != Stage::Begun)
    return core::fail(ErrorKind::AnswerIncomplete, "no answer is open");
  if (body.empty() || AnswerFraming == Framing::None)
    return {};
  if (AnswerFraming == Framing::Sized) {
    if (body.size() > AnswerLeft) {
      abort();
      return core::fail(ErrorKind::Internal, "the answer exceeds its length");
    }
    AnswerLeft -= body.size();
  }
  if (AnswerFraming != Framing::Chunked)
    return send(body);
  fmt::format_to(std::back_inserter(Pending), "{:x}\r\n", body.size());
  core::Result<void> sent = send(body);
  // The end of this chunk leaves with what follows it.
  Pending = "\r\n";
  return sent;
}

core::Result<void> Exchange::end() {
  if (!Attached || State != Stage::Begun)
    return core::fail(ErrorKind::AnswerIncomplete, "no answer is open");
  if (AnswerLeft > 0) {
    abort();
    return core::fail(ErrorKind::AnswerIncomplete, "the answer is too short");
  }
  if (AnswerFraming == Framing::Chunked)
    Pending += "0\r\n\r\n";
  core::Result<void> sent = send({});
  if (sent)
    State = Stage::Answered;
  return sent;
}

void Exchange::abort() {
  if (!Attached || State == Stage::Answered)
    return;
  State = Stage::Aborted;
  KeepAlive = false;
  Connection->resetOnClose();
}

void Exchange::refuse(const core::Error &error, std::string_view requestId,
                      std::optional<int> retryAfterSeconds) {
  if (State != Stage::Waiting)
    return abort();
  const core::Answer &answer = core::answerFor(error.Kind);
  const int retryAfter = retryAfterSeconds.value_or(answer.RetryAfterSeconds);
  std::vector<Header> headers{
      {"Content-Type", std::string(ProblemContentType)}};
  if (retryAfter > 0)
    headers.push_back({"Retry-After", std::to_string(retryAfter)});
  const std::string document = problemDocument(error, requestId);
  (void)respond(answer.HttpStatus, headers, bytesOf(document));
}

bool Exchange::isCallerGone() const {
  return !Attached || Connection->isPeerGone();
}

bool Exchange::isReusable() const {
  return State == Stage::Answered && KeepAlive;
}

} // namespace acaciaroad::http
