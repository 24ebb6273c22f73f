/// \file
/// A server whose answers never end.

#ifndef ACACIAROAD_TESTS_SUPPORT_ENDLESSSERVER_H
#define ACACIAROAD_TESTS_SUPPORT_ENDLESSSERVER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "Core/Clock.h"

namespace acaciaroad::tests {

/// Answers the first request on each connection with a prefix and then a piece
/// that is repeated until the connection fails or a bound is met.
class EndlessServer {
public:
  EndlessServer(boost::asio::io_context &loop, std::string prefix,
                std::string_view piece, core::Duration pause = {})
      : Loop(loop),
        Acceptor(loop, boost::asio::ip::tcp::endpoint(
                           boost::asio::ip::address_v4::loopback(), 0)),
        Prefix(std::move(prefix)), Pause(pause) {
    // Without pauses, many pieces go out at once.
    do
      Pieces += piece;
    while (pause.count() == 0 && Pieces.size() < BlockBytes);
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t sent() const { return Sent; }
  /// Connections that the client has not closed.
  int open() const { return Open; }
  int accepted() const { return Accepted; }

private:
  /// Far above what the client may take in.
  static constexpr std::size_t MostSent = 256U << 20U;
  static constexpr std::size_t BlockBytes = 16U << 10U;

  struct Peer {
    explicit Peer(boost::asio::io_context &loop) : Socket(loop), Timer(loop) {}
    boost::asio::ip::tcp::socket Socket;
    boost::asio::steady_timer Timer;
    std::array<char, 4096> Buffer{};
    bool IsAsked = false;
  };

  void accept() {
    const auto peer = std::make_shared<Peer>(Loop);
    Acceptor.async_accept(peer->Socket,
                          [this, peer](boost::system::error_code ec) {
                            if (ec)
                              return;
                            ++Open;
                            ++Accepted;
                            read(peer);
                            accept();
                          });
  }

  void read(const std::shared_ptr<Peer> &peer) {
    peer->Socket.async_read_some(
        boost::asio::buffer(peer->Buffer),
        [this, peer](boost::system::error_code ec, std::size_t) {
          if (ec) {
            --Open;
            peer->Socket.close(ec);
            return;
          }
          if (!std::exchange(peer->IsAsked, true))
            write(peer, Prefix);
          read(peer);
        });
  }

  void write(const std::shared_ptr<Peer> &peer, const std::string &bytes) {
    boost::asio::async_write(
        peer->Socket, boost::asio::buffer(bytes),
        [this, peer](boost::system::error_code ec, std::size_t n) {
          Sent += n;
          if (ec || Sent > MostSent)
            peer->Socket.close(ec);
          else
            pause(peer);
        });
  }

  void pause(const std::shared_ptr<Peer> &peer) {
    peer->Timer.expires_after(Pause);
    peer->Timer.async_wait(
        [this, peer](boost::system::error_code) { write(peer, Pieces); });
  }

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Prefix;
  std::string Pieces;
  core::Duration Pause;
  std::size_t Sent = 0;
  int Open = 0;
  int Accepted = 0;
};

} // namespace acaciaroad::tests

#endif
