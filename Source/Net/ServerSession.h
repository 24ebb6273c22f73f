/// \file
/// One client's connection to an HttpServer.

#ifndef ACACIAROAD_NET_SERVERSESSION_H
#define ACACIAROAD_NET_SERVERSESSION_H

#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include "Net/HttpServer.h"

namespace acaciaroad::net {

/// Reads requests one after the other and writes their answers. One readiness
/// wait is pending at a time: between requests it tells that the next one
/// starts, during a request that the client has left.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(HttpServer &server, boost::asio::ip::tcp::socket socket);
  ~ServerSession();

  void start();
  void respond(HttpResponse response);

  /// Closes the connection if it is idle or slow for longer than allowed, or if
  /// its client has left behind bytes that are not read yet.
  void closeIfLate(core::TimePoint now);

  /// Whether bytes of a request have come that is still to be read.
  bool hasUnread() const;

  /// Returns whether the client has ended its half of the connection, whatever
  /// it sent before.
  bool hasClientClosed();

  /// The server goes away; the session outlives it without using it.
  void detach();

private:
  enum class Phase { Idle, Reading, Handling, Writing, Lingering, Closed };
  /// Whether a request may be handled before the call returns.
  enum class Wanted { Now, Later };

  void enter(Phase phase);
  /// Whether a request has no whole answer yet.
  bool hasRequest() const;
  /// Whether more has come than the present request.
  bool hasMoreBytes() const;
  /// Adds the session to what the server counts by phase, or takes it out.
  void count(bool isAdded);
  void waitReadable();
  void onReadable();
  void checkAbandoned();
  /// Closes the connection and cancels the request that is handled.
  void abandon();
  void read(Wanted when);
  void onHeader(boost::beast::error_code ec);
  void readBody();
  void readChunks();
  /// Takes room for a body of known length; returns the status of the refusal
  /// if there is none.
  std::optional<http::status> reserveBody();
  /// Takes room for the next bytes of a body in chunks; returns false if there
  /// is none.
  bool reserveChunk();
  /// Gives back what a body in chunks has not filled.
  void returnSpareRoom();
  void answerAndClose(http::status status);
  void onRead(boost::beast::error_code ec);
  void refuse(boost::beast::error_code ec);
  /// Writes on; \p close tells what follows the answer.
  void write(bool close);
  void onWritten(boost::beast::error_code ec, bool close);
  /// Ends the sending half and drops what comes until the client closes too.
  void linger();
  void discard();
  /// Tells the server if the connection ends with a request unanswered.
  void reportUnanswered(UnansweredCause cause);
  void close(UnansweredCause cause = UnansweredCause::ClientLeft);

  HttpServer *Server;
  boost::asio::ip::tcp::socket Socket;
  MessageBuffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<HttpResponse> Response;
  std::optional<http::response_serializer<http::string_body>> Serializer;
  std::weak_ptr<Exchange> Current;
  Phase State = Phase::Idle;
  /// When the phase began, or an answer last went forward.
  core::TimePoint Since;
  bool KeepAlive = true;
  bool IsHead = false;
  bool WaitPending = false;
  /// Taken for the request that is read.
  BodyMemory::Room RequestRoom;
};

} // namespace acaciaroad::net

#endif
