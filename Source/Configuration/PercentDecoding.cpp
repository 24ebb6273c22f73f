#include "Configuration/PercentDecoding.h"

namespace acaciaroad::configuration {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

std::optional<unsigned> hexDigit(char c) {
  if (c >= '0' && c <= '9')
    return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f')
    return static_cast<unsigned>(c - 'a') + 10U;
  if (c >= 'A' && c <= 'F')
    return static_cast<unsigned>(c - 'A') + 10U;
  return std::nullopt;
}

} // namespace

std::optional<char> escapedByte(std::string_view text) {
  constexpr std::size_t EscapeLength = 3;
  if (text.size() < EscapeLength)
    return std::nullopt;
  const auto high = hexDigit(text[1]);
  const auto low = hexDigit(text[2]);
  if (!high || !low)
    return std::nullopt;
  return static_cast<char>(*high * 16U + *low);
}

Result<std::string> percentDecode(std::string_view text, PlusSign plus) {
  std::string out;
  while (!text.empty()) {
    if (text[0] == '%') {
      const auto byte = escapedByte(text);
      if (!byte)
        return fail(ErrorKind::MalformedRequest,
                    "'%' is not followed by two hexadecimal digits");
      out.push_back(*byte);
      text.remove_prefix(3);
      continue;
    }
    const bool isSpace = text[0] == '+' && plus == PlusSign::Space;
    out.push_back(isSpace ? ' ' : text[0]);
    text.remove_prefix(1);
  }
  return out;
}

std::string_view takeUntil(std::string_view &rest, char separator) {
  const std::size_t n = rest.find(separator);
  const std::string_view part = rest.substr(0, n);
  rest.remove_prefix(n == std::string_view::npos ? rest.size() : n + 1);
  return part;
}

} // namespace acaciaroad::configuration
