#include "Wire/CurveKeys.h"

#include <array>

#include <zmq.h>

namespace acaciaroad::wire {

namespace {

/// Characters of a key in Z85, without the terminating zero.
constexpr std::size_t KeyLength = 40;

using KeyBuffer = std::array<char, KeyLength + 1>;

} // namespace

core::Result<CurveKeys> generateCurveKeys() {
  KeyBuffer publicKey{};
  KeyBuffer secretKey{};
  if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
    return core::fail(core::ErrorKind::Internal, "libzmq was built without "
                                                 "CURVE");
  return CurveKeys{publicKey.data(), secretKey.data()};
}

core::Result<CurveKeys> curveKeysOf(std::string secretKey) {
  KeyBuffer publicKey{};
  if (secretKey.size() != KeyLength ||
      zmq_curve_public(publicKey.data(), secretKey.c_str()) != 0)
    return core::fail(core::ErrorKind::InvalidSettings,
                      "the fleet's secret key is not a Z85 key");
  return CurveKeys{publicKey.data(), std::move(secretKey)};
}

} // namespace acaciaroad::wire
