/// \file
/// One connection of an HttpClient.

#ifndef ACACIAROAD_NET_CLIENTCONNECTION_H
#define ACACIAROAD_NET_CLIENTCONNECTION_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include "Net/HttpClient.h"
#include "Net/Timeout.h"

namespace acaciaroad::net {

/// Sends one request at a time and keeps itself alive while it does.
class ClientConnection : public ClientCall,
                         public std::enable_shared_from_this<ClientConnection> {
public:
  /// What has come of a head, a chunk's line or the trailers is held until all
  /// of it is there; twice the usual limit of servers for a head.
  static constexpr std::size_t UnparsedBytes = 16U << 10U;

  explicit ClientConnection(std::shared_ptr<HttpClient> client);
  ~ClientConnection() override;

  /// Connects first if the connection is new.
  void start(HttpRequest request, CallHandler handler, PartHandler onPart,
             SendHook onSend);
  void cancel() override;

  /// Whether it can carry another request: open, young enough, and nothing has
  /// come on it since the last answer.
  bool isUsable(core::TimePoint now);
  /// Whether the answer to \p request could be told from late answers to the
  /// requests that it has carried.
  bool mayCarry(const HttpRequest &request) const;
  void close();

private:
  void connect();
  void onConnected(boost::beast::error_code ec);
  /// Sends the request, unless the hook holds it back.
  void send();
  /// Ends a call of which nothing has been sent; the connection is kept.
  void holdBack();
  void write();
  void onWritten(boost::beast::error_code ec);
  /// Keeps the connection for another request, or closes it.
  void park();
  /// Begins the next answer.
  void read();
  /// Reads on unless the answer is complete.
  void parse();
  void onReceived(boost::beast::error_code ec, std::size_t n);
  void onRead(boost::beast::error_code ec);
  /// Takes an answer without a length, whose connection the server has ended.
  void onEnded();
  void onAnswer();
  bool isOwn(const HttpResponse &response) const;
  void finish();
  void fail(CallEnd end, boost::beast::error_code ec);
  /// The answer has to go so that others have room.
  void giveUpAnswer();
  void breakOff(CallResult result);
  /// Ends the call on this side and returns its handler, if it has not ended.
  CallHandler takeHandler();
  void setSocketOptions();
  void noteKeepAlive();

  std::shared_ptr<HttpClient> Client;
  boost::asio::ip::tcp::socket Socket;
  Timeout ConnectTimer;
  Timeout EndTimer;
  boost::beast::flat_buffer Buffer{UnparsedBytes};
  std::optional<HttpRequest> Request;
  std::optional<http::request_serializer<http::string_body>> Serializer;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::optional<AnswerMemory::Share> Share;
  CallHandler Handler;
  PartHandler OnPart;
  SendHook OnSend;
  core::TimePoint IdleSince{};
  core::Duration IdleLimit{};
  bool Connected = false;
  /// The present request is not the first on the connection.
  bool IsKept = false;
  bool Reusable = true;
  bool ConnectLate = false;
  bool IsWriting = false;
  bool IsFinished = false;
  bool HasWriteFailed = false;
  int Skipped = 0;
  /// Hashes of the names that it has carried.
  std::vector<std::size_t> Names;
  /// Nothing but interim answers has come on it.
  bool IsFresh = true;
  /// Bytes that the present call has read, skipped answers included.
  std::uint64_t Taken = 0;
};

} // namespace acaciaroad::net

#endif
