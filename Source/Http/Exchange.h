/// \file
/// One request of a caller and the answer to it.

#ifndef ACACIAROAD_HTTP_EXCHANGE_H
#define ACACIAROAD_HTTP_EXCHANGE_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Http/BodyReader.h"
#include "Http/CallerConnection.h"
#include "Http/HeadCheck.h"

namespace acaciaroad::http {

/// Waits of an Exchange.
struct ExchangeOptions {
  /// Longest wait for the next bytes of a body.
  std::chrono::milliseconds BodyTimeout{10'000};
  /// Longest wait for the caller to take bytes of the answer.
  std::chrono::milliseconds WriteTimeout{10'000};
  /// Bytes of a body read before the handler runs; a body up to this size is
  /// whole by then.
  std::size_t PrefetchBytes = 65536;
};

/// A request whose head was checked. Used by one thread at a time, that of the
/// handler; after the handler has returned all members fail. At most one answer
/// is given; hop-by-hop headers are left out of it.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using Bytes = std::span<const std::byte>;

  /// \p stopping says that the server takes no further request.
  static std::shared_ptr<Exchange>
  create(std::shared_ptr<CallerConnection> connection, RequestHead head,
         ExchangeOptions options, const std::atomic<bool> &stopping);

  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  std::string_view method() const { return Head.Method; }
  /// In origin form, or "*".
  std::string_view target() const { return Head.Target; }
  std::span<const Header> headers() const { return Head.Headers; }
  /// Numeric address of the caller, or "".
  std::string remoteAddress() const { return Connection->remoteAddress(); }
  Framing bodyFraming() const { return Head.Body; }
  /// Bytes of the body, if the caller stated it.
  std::optional<std::uint64_t> contentLength() const;

  /// The start of the body, which was read ahead; readBody() gives it again.
  Bytes prefetched() const;
  /// Whether prefetched() is the whole body.
  bool isBodyWhole() const { return Reader.isDone(); }

  /// Reads the body into \p out; returns 0 at its end. Fails with
  /// BodyIncomplete or MalformedRequest.
  core::Result<std::size_t> readBody(std::span<std::byte> out);

  /// Gives a whole answer. Fails with AnswerIncomplete if the caller is gone.
  core::Result<void> respond(int status, std::span<const Header> headers,
                             Bytes body);

  /// Starts an answer. \p length is the bytes of its body, if known. The head
  /// leaves with the first bytes of the body.
  core::Result<void> begin(int status, std::span<const Header> headers,
                           std::optional<std::uint64_t> length);
  core::Result<void> write(Bytes body);
  /// Ends the answer; one that is shorter than its length is aborted.
  core::Result<void> end();

  /// Cuts the connection, so that the caller never takes a part of the answer
  /// for the whole.
  void abort();

  /// Answers with a problem document; once an answer has begun, aborts it.
  /// \p retryAfterSeconds replaces what the kind's answer has.
  void refuse(const core::Error &error, std::string_view requestId,
              std::optional<int> retryAfterSeconds = std::nullopt);

  /// Whether the caller has closed its end.
  bool isCallerGone() const;
  bool hasBegun() const { return State != Stage::Waiting; }

  // What follows is for CallerServer.

  /// Reads the start of the body.
  core::Result<void> prefetch();
  bool isAnswered() const { return State == Stage::Answered; }
  /// Whether the connection can take another request.
  bool isReusable() const;
  bool isAborted() const { return State == Stage::Aborted; }
  /// Makes all members fail from now on.
  void detach() { Attached = false; }

private:
  enum class Stage : std::uint8_t { Waiting, Begun, Answered, Aborted };

  Exchange(std::shared_ptr<CallerConnection> connection, RequestHead head,
           ExchangeOptions options, const std::atomic<bool> &stopping);

  std::size_t prefetchStep() const;
  bool isBodiless(int status) const;
  void formatHead(int status, std::span<const Header> headers,
                  std::optional<std::uint64_t> length);
  core::Result<void> send(Bytes body);
  core::Result<void> sendContinue();

  const std::shared_ptr<CallerConnection> Connection;
  const RequestHead Head;
  const ExchangeOptions Options;
  const std::atomic<bool> &Stopping;
  BodyReader Reader;
  std::string Prefetched;
  std::size_t PrefetchedUsed = 0;
  bool ContinueDue;
  bool KeepAlive;
  bool Attached = true;
  Stage State = Stage::Waiting;
  /// How the end of the answer is told.
  Framing AnswerFraming = Framing::None;
  /// Bytes left of an answer with a length.
  std::uint64_t AnswerLeft = 0;
  /// Bytes that go before the next bytes of the answer's body.
  std::string Pending;
};

} // namespace acaciaroad::http

#endif
