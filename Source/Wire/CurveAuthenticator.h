/// \file
/// Answers libzmq's authentication requests (ZAP, RFC 27 of ZeroMQ).

#ifndef ACACIAROAD_WIRE_CURVEAUTHENTICATOR_H
#define ACACIAROAD_WIRE_CURVEAUTHENTICATOR_H

#include <cstdint>
#include <string>

#include <zmq.hpp>

namespace acaciaroad::wire {

/// Accepts peers that hold the fleet's key pair and no others. Belongs to the
/// transport thread.
class CurveAuthenticator {
public:
  /// Binds the handler in \p context; \p publicKey is in Z85. Throws
  /// zmq::error_t if another handler is bound.
  CurveAuthenticator(zmq::context_t &context, const std::string &publicKey);

  /// The descriptor that becomes readable when handle() has work.
  int descriptor() const;

  /// Answers all waiting requests.
  void handle();

  /// Peers refused so far.
  std::uint64_t refused() const { return Refused; }

private:
  bool handleOne();

  zmq::socket_t Socket;
  /// The fleet's key, 32 bytes.
  std::string AcceptedKey;
  std::uint64_t Refused = 0;
};

} // namespace acaciaroad::wire

#endif
