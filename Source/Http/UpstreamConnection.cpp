#include "Http/UpstreamConnection.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "Http/SocketWait.h"

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

/// Bytes handed to a sink at once, and asked of a body source.
constexpr std::size_t PieceBytes = 65536;

std::vector<std::byte> &pieceBuffer() {
  thread_local std::vector<std::byte> buffer(PieceBytes);
  return buffer;
}

} // namespace

core::Result<std::unique_ptr<UpstreamConnection>>
UpstreamConnection::connect(const std::string &host, int port,
                            core::TimePoint deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      deadline - core::BootClock::now());
  if (left.count() <= 0)
    return core::fail(ErrorKind::DeadlineTooShort, "no time to connect");
  constexpr std::int64_t PerSecond = 1'000'000;
  const time_t sec = left.count() / PerSecond;
  const time_t usec = left.count() % PerSecond;
  httplib::Error ec = httplib::Error::Success;
  const socket_t sock = httplib::detail::create_client_socket(
      host, {}, port, AF_UNSPEC, true, nullptr, sec, usec, sec, usec, sec, usec,
      {}, ec);
  if (sock == INVALID_SOCKET)
    return core::fail(ErrorKind::NoUpstream,
                      "connect: " + httplib::to_string(ec));
  return std::unique_ptr<UpstreamConnection>(
      new UpstreamConnection(host, port, sock));
}

UpstreamConnection::UpstreamConnection(const std::string &host, int port,
                                       int descriptor)
    : ClientImpl(host, port), Descriptor(descriptor) {
  set_keep_alive(true);
  set_decompress(false);
  set_url_encode(false);
}

UpstreamConnection::~UpstreamConnection() { ::close(Descriptor); }

bool UpstreamConnection::isFresh() const { return !isReadable(Descriptor); }

core::Result<void> UpstreamConnection::execute(const UpstreamOrder &order,
                                               const UpstreamSinks &sinks,
                                               CancelToken &cancel) {
  if (!cancel.attach(Descriptor))
    return core::fail(ErrorKind::DeadlineTooShort, "cancelled before sending");
  Run run{order, sinks, {Descriptor, order.Method, order.Deadline}};
  run.Stream.setBeforeWait([this, &run] { return giveBody(run); });
  httplib::Request request = makeRequest(run);
  httplib::Response response;
  httplib::Error ec = httplib::Error::Success;
  bool complete = process_request(run.Stream, request, response, false, ec);
  if (!complete && run.Outcome && run.Stream.isAnsweredEarly()) {
    // The rest of the body is not wanted, so only the answer is read.
    run.Stream.dropWrites();
    request.content_provider_ = nullptr;
    request.is_chunked_content_provider_ = false;
    complete = process_request(run.Stream, request, response, false, ec);
  }
  cancel.detach();
  return settle(run, complete);
}

httplib::Request UpstreamConnection::makeRequest(Run &run) {
  httplib::Request out;
  out.method = run.Order.Method;
  out.path = run.Order.Target;
  for (const Header &it : run.Order.Headers)
    out.headers.emplace(it.Name, it.Value);
  if (run.Order.Body) {
    out.content_provider_ = [this, &run](std::size_t, std::size_t,
                                         httplib::DataSink &sink) {
      return provideBody(run, sink);
    };
    out.is_chunked_content_provider_ = !run.Order.BodyLength;
    if (run.Order.BodyLength)
      out.content_length_ = *run.Order.BodyLength;
    else
      out.headers.emplace("Transfer-Encoding", "chunked");
  }
  out.response_handler = [this, &run](const httplib::Response &) {
    return giveHead(run);
  };
  out.content_receiver = [this, &run](const char *data, std::size_t size,
                                      std::uint64_t, std::uint64_t) {
    return takeBody(run, data, size);
  };
  return out;
}

bool UpstreamConnection::provideBody(Run &run, httplib::DataSink &sink) const {
  // What came so far leaves before the source may block; the head leaves with
  // the first piece.
  if (run.BodyStarted && !run.Stream.flush())
    return false;
  run.BodyStarted = true;
  std::vector<std::byte> &buf = pieceBuffer();
  const core::Result<std::size_t> n = run.Order.Body(buf);
  if (!n) {
    run.Outcome = tl::unexpected(n.error());
    return false;
  }
  if (*n > 0)
    return sink.write(reinterpret_cast<const char *>(buf.data()), *n);
  if (run.Order.BodyLength) {
    run.Outcome = core::fail(ErrorKind::BodyIncomplete,
                             "the body is shorter than stated");
    return false;
  }
  sink.done();
  return true;
}

bool UpstreamConnection::giveHead(Run &run) const {
  run.HeadGiven = true;
  if (run.Sinks.OnHead)
    run.Outcome = run.Sinks.OnHead(*run.Stream.head());
  return run.Outcome.has_value();
}

bool UpstreamConnection::takeBody(Run &run, const char *data,
                                  std::size_t size) const {
  const auto bytes = std::as_bytes(std::span(data, size));
  run.Gathered.insert(run.Gathered.end(), bytes.begin(), bytes.end());
  // The library gives 4 KiB at a time; what has arrived goes on together, at
  // the latest before the stream waits for more.
  return run.Gathered.size() < PieceBytes || giveBody(run);
}

bool UpstreamConnection::giveBody(Run &run) const {
  if (!run.Gathered.empty() && run.Sinks.OnBody)
    run.Outcome = run.Sinks.OnBody(run.Gathered);
  run.Gathered.clear();
  return run.Outcome.has_value();
}

core::Result<void> UpstreamConnection::settle(Run &run, bool complete) {
  const auto &head = run.Stream.head();
  if (complete && head && head->Body == Framing::Chunked)
    complete = run.Stream.endsWithEmptyLine();
  if (complete && head && !run.HeadGiven)
    complete = giveHead(run);
  // What came of an answer that broke off is passed on all the same.
  if (run.Outcome && !giveBody(run))
    complete = false;
  Reusable = complete && head->KeepAlive && head->Body != Framing::UntilClose &&
             !run.Stream.isAnsweredEarly() && run.Stream.buffered() == 0;
  if (complete)
    return {};
  if (!run.Outcome)
    return run.Outcome;
  if (head)
    return core::fail(ErrorKind::AnswerIncomplete, "the answer broke off");
  if (run.Stream.hasSent())
    return core::fail(ErrorKind::OutcomeUnknown, "sent, and no answer");
  return core::fail(ErrorKind::NoUpstream, "the connection broke unused");
}

} // namespace acaciaroad::http
