/// \file
/// What the conversions between records and protobuf messages share.

#ifndef ACACIAROAD_CODEC_CONVERSION_H
#define ACACIAROAD_CODEC_CONVERSION_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::codec {

/// Longest name, address or other string of a record, in bytes.
inline constexpr std::size_t MaxStringBytes = 512;

/// Copies a name, address or other text if it is short, printable ASCII.
inline bool readString(const std::string &from, std::string &to) {
  const auto isPrintable = [](char c) { return c >= ' ' && c <= '~'; };
  if (from.size() > MaxStringBytes ||
      !std::all_of(from.begin(), from.end(), isPrintable))
    return false;
  to = from;
  return true;
}

/// Copies bytes if they are few.
inline bool readBytes(const std::string &from, std::string &to) {
  if (from.size() > MaxStringBytes)
    return false;
  to = from;
  return true;
}

/// Converts a number to an enumerator of at most \p last.
template <typename E> bool readEnum(std::uint32_t from, E last, E &to) {
  if (from > static_cast<std::uint32_t>(last))
    return false;
  to = static_cast<E>(from);
  return true;
}

/// Converts an enumerator to the number that travels.
template <typename E> std::uint32_t enumNumber(E value) {
  return static_cast<std::uint32_t>(value);
}

/// Reads every message of a repeated field by \p read(message, element).
template <typename T, typename Field, typename Read>
bool readAll(const Field &from, std::vector<T> &to, Read read) {
  to.clear();
  to.reserve(static_cast<std::size_t>(from.size()));
  for (const auto &it : from) {
    if (!read(it, to.emplace_back()))
      return false;
  }
  return true;
}

} // namespace acaciaroad::codec

#endif
