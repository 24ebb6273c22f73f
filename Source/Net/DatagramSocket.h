/// \file
/// Datagrams between nodes.

#ifndef ACACIAROAD_NET_DATAGRAMSOCKET_H
#define ACACIAROAD_NET_DATAGRAMSOCKET_H

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "Core/Endpoint.h"
#include "Core/Error.h"

namespace acaciaroad::net {

/// Receives and sends datagrams; one that can't be sent at once is dropped.
class DatagramSocket {
public:
  using Handler = std::function<void(std::string_view bytes)>;

  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<DatagramSocket>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         Handler handler);

  void send(const core::Endpoint &to, std::string_view bytes);

private:
  DatagramSocket(boost::asio::io_context &loop, Handler handler);
  void receive();
  /// What the handler throws doesn't end the receiving.
  void handle(std::string_view bytes);

  /// Larger ones are cut off and then refused as unreadable.
  static constexpr std::size_t LargestDatagram = 1400;

  boost::asio::ip::udp::socket Socket;
  Handler OnDatagram;
  std::array<char, LargestDatagram> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
};

} // namespace acaciaroad::net

#endif
