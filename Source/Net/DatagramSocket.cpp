#include "Net/DatagramSocket.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace acaciaroad::net {

using boost::asio::ip::udp;
using boost::system::error_code;

core::Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(boost::asio::io_context &loop,
                       const core::Endpoint &listen, Handler handler) {
  std::unique_ptr<DatagramSocket> out(
      new DatagramSocket(loop, std::move(handler)));
  const udp::endpoint address(boost::asio::ip::make_address(listen.Host),
                              listen.Port);
  error_code ec;
  out->Socket.open(address.protocol(), ec);
  if (!ec)
    out->Socket.bind(address, ec);
  if (!ec)
    out->Socket.non_blocking(true, ec);
  if (ec)
    return core::fail(core::ErrorKind::InvalidArgument,
                      core::toString(listen) + ": " + ec.message());
  out->receive();
  return out;
}

DatagramSocket::DatagramSocket(boost::asio::io_context &loop, Handler handler)
    : Socket(loop), OnDatagram(std::move(handler)) {}

void DatagramSocket::receive() {
  Socket.async_receive_from(boost::asio::buffer(Buffer), Sender,
                            [this](error_code ec, std::size_t n) {
                              if (ec == boost::asio::error::operation_aborted)
                                return;
                              if (!ec)
                                handle({Buffer.data(), n});
                              receive();
                            });
}

void DatagramSocket::handle(std::string_view bytes) {
  try {
    OnDatagram(bytes);
  } catch (...) {
    receive();
    throw;
  }
}

void DatagramSocket::send(const core::Endpoint &to, std::string_view bytes) {
  error_code ignored; // The next datagram replaces one that is lost.
  Socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                 {boost::asio::ip::make_address(to.Host), to.Port}, 0, ignored);
}

} // namespace acaciaroad::net
