#include "Wire/CurveAuthenticator.h"

#include <array>
#include <vector>

#include <zmq_addon.hpp>

namespace acaciaroad::wire {

namespace {

constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t KeyBytes = 32;

/// Places of the parts of a request, after the address parts of the REP
/// socket were removed.
enum ZapPart : std::size_t {
  VersionPart = 0,
  RequestIdPart = 1,
  MechanismPart = 5,
  KeyPart = 6,
  PartCount = 7
};

std::string binaryKeyOf(const std::string &z85) {
  std::array<std::uint8_t, KeyBytes> bytes{};
  if (zmq_z85_decode(bytes.data(), z85.c_str()) == nullptr)
    throw zmq::error_t();
  return {bytes.begin(), bytes.end()};
}

} // namespace

CurveAuthenticator::CurveAuthenticator(zmq::context_t &context,
                                       const std::string &publicKey)
    : Socket(context, zmq::socket_type::rep),
      AcceptedKey(binaryKeyOf(publicKey)) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.bind(ZapEndpoint);
}

int CurveAuthenticator::descriptor() const {
  return Socket.get(zmq::sockopt::fd);
}

void CurveAuthenticator::handle() {
  (void)Socket.get(zmq::sockopt::events);
  while (handleOne())
    ;
}

bool CurveAuthenticator::handleOne() {
  std::vector<zmq::message_t> parts;
  if (!zmq::recv_multipart(Socket, std::back_inserter(parts),
                           zmq::recv_flags::dontwait))
    return false;
  const bool accepted = parts.size() >= PartCount &&
                        parts[MechanismPart].to_string_view() == "CURVE" &&
                        parts[KeyPart].to_string_view() == AcceptedKey;
  if (!accepted)
    ++Refused;
  const std::string version = "1.0";
  const std::string requestId = parts.size() > RequestIdPart
                                    ? parts[RequestIdPart].to_string()
                                    : std::string();
  const std::string status = accepted ? "200" : "400";
  const std::string text = accepted ? "OK" : "unknown key";
  const std::array<zmq::const_buffer, 6> reply{
      zmq::buffer(version), zmq::buffer(requestId), zmq::buffer(status),
      zmq::buffer(text),    zmq::const_buffer(),    zmq::const_buffer()};
  zmq::send_multipart(Socket, reply, zmq::send_flags::dontwait);
  return true;
}

} // namespace acaciaroad::wire
