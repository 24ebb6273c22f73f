/// \file
/// A header field of an HTTP message.

#ifndef ACACIAROAD_CORE_HEADER_H
#define ACACIAROAD_CORE_HEADER_H

#include <string>

namespace acaciaroad::core {

/// One header field; the value is kept as it came.
struct Header {
  std::string Name;
  std::string Value;
  bool operator==(const Header &) const = default;
};

} // namespace acaciaroad::core

#endif
