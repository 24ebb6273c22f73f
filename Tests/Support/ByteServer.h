/// \file
/// A server whose answers are bytes that the test chooses.

#ifndef ACACIAROAD_TESTS_SUPPORT_BYTESERVER_H
#define ACACIAROAD_TESTS_SUPPORT_BYTESERVER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "Core/Clock.h"
#include "Net/HttpMessage.h"

namespace acaciaroad::tests {

/// How a connection ends.
enum class ConnectionEnd {
  None,
  Close,
  Reset,
  /// Nothing more is sent, but the rest of the request is read.
  HalfClose,
  /// Nothing more is sent, and the connection is reset ResetDelay later.
  HalfCloseReset,
};

/// Long enough for the client to see the end that comes before a reset.
inline constexpr core::Duration ResetDelay = std::chrono::milliseconds(30);

/// What is written for a request, piece by piece.
struct ByteAnswer {
  struct Piece {
    core::Duration Delay{};
    std::string Bytes;
  };
  std::vector<Piece> Pieces;
  ConnectionEnd End = ConnectionEnd::None;
};

/// When a request is answered.
enum class AnswerAfter { Head, Body };

/// Reads requests one after the other on each connection. \p hook gets each
/// with its number on its connection, from 0.
class ByteServer {
public:
  using Hook = std::function<ByteAnswer(const net::HttpRequest &, std::size_t)>;

  ByteServer(boost::asio::io_context &loop, Hook hook,
             AnswerAfter when = AnswerAfter::Body)
      : Loop(loop),
        Acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}),
        OnRequest(std::move(hook)), When(when) {
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t connections() const { return Accepted; }

private:
  using Tcp = boost::asio::ip::tcp;
  using Error = boost::system::error_code;

  class Session : public std::enable_shared_from_this<Session> {
  public:
    Session(ByteServer &server, Tcp::socket socket)
        : Server(server), Socket(std::move(socket)), Timer(server.Loop) {}

    void read() {
      Parser.emplace();
      Parser->body_limit(64U << 20U);
      auto handler = [self = shared_from_this()](Error ec, std::size_t) {
        if (ec)
          return;
        self->Answer =
            self->Server.OnRequest(self->Parser->get(), self->Count++);
        self->write(0);
      };
      if (Server.When == AnswerAfter::Head)
        net::http::async_read_header(Socket, Buffer, *Parser,
                                     std::move(handler));
      else
        net::http::async_read(Socket, Buffer, *Parser, std::move(handler));
    }

  private:
    void write(std::size_t n) {
      if (n == Answer.Pieces.size()) {
        end();
        return;
      }
      Timer.expires_after(Answer.Pieces[n].Delay);
      Timer.async_wait([self = shared_from_this(), n](Error) {
        Error ignored; // The client may have gone.
        boost::asio::write(self->Socket,
                           boost::asio::buffer(self->Answer.Pieces[n].Bytes),
                           ignored);
        self->write(n + 1);
      });
    }

    void end() {
      Error ignored; // The client may have gone.
      switch (Answer.End) {
      case ConnectionEnd::None:
        readRest();
        break;
      case ConnectionEnd::Close:
        Socket.close(ignored);
        break;
      case ConnectionEnd::Reset:
        reset();
        break;
      case ConnectionEnd::HalfClose:
        Socket.shutdown(Tcp::socket::shutdown_send, ignored);
        readRest();
        break;
      case ConnectionEnd::HalfCloseReset:
        Socket.shutdown(Tcp::socket::shutdown_send, ignored);
        Timer.expires_after(ResetDelay);
        Timer.async_wait([self = shared_from_this()](Error) { self->reset(); });
        break;
      }
    }

    /// Reads what is left of the request, then the next one.
    void readRest() {
      net::http::async_read(Socket, Buffer, *Parser,
                            [self = shared_from_this()](Error ec, std::size_t) {
                              if (!ec)
                                self->read();
                            });
    }

    void reset() {
      Error ignored; // The client may have gone.
      Socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      Socket.close(ignored);
    }

    ByteServer &Server;
    Tcp::socket Socket;
    boost::asio::steady_timer Timer;
    boost::beast::flat_buffer Buffer;
    std::optional<net::http::request_parser<net::http::string_body>> Parser;
    ByteAnswer Answer;
    std::size_t Count = 0;
  };

  void accept() {
    Acceptor.async_accept([this](Error ec, Tcp::socket socket) {
      if (ec)
        return;
      ++Accepted;
      std::make_shared<Session>(*this, std::move(socket))->read();
      accept();
    });
  }

  boost::asio::io_context &Loop;
  Tcp::acceptor Acceptor;
  Hook OnRequest;
  AnswerAfter When;
  std::size_t Accepted = 0;
};

} // namespace acaciaroad::tests

#endif
