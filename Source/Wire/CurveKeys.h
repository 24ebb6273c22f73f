/// \file
/// The key pair that all nodes of a fleet share.

#ifndef ACACIAROAD_WIRE_CURVEKEYS_H
#define ACACIAROAD_WIRE_CURVEKEYS_H

#include <string>

#include "Core/Error.h"

namespace acaciaroad::wire {

/// A CurveZMQ key pair in Z85, 40 characters each.
struct CurveKeys {
  std::string PublicKey;
  std::string SecretKey;
};

/// Returns a new random pair; fails with Internal if libzmq lacks CURVE.
core::Result<CurveKeys> generateCurveKeys();

/// Returns the pair of \p secretKey; fails with InvalidSettings if that is not
/// a key in Z85.
core::Result<CurveKeys> curveKeysOf(std::string secretKey);

} // namespace acaciaroad::wire

#endif
