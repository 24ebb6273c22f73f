#include "Settings/Field.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include "Core/Endpoint.h"
#include "Logging/Level.h"

namespace acaciaroad::settings {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxLineLength = 4096;
constexpr std::size_t Z85KeyLength = 40;
constexpr std::size_t Sha256Length = 64;
constexpr double NanosecondsPerMillisecond = 1e6;
constexpr double NanosecondsPerSecond = 1e9;
/// A day, in nanoseconds.
constexpr double LongestDuration = 86'400e9;

bool isNameCharacter(unsigned char c) {
  return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

bool isLowerHex(unsigned char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isZ85Character(unsigned char c) {
  constexpr std::string_view Marks = ".-:+=^!/*?&<>()[]{}@%$#";
  return std::isalnum(c) != 0 ||
         Marks.find(static_cast<char>(c)) != std::string_view::npos;
}

bool consistsOf(std::string_view text, bool (*isAllowed)(unsigned char)) {
  return std::all_of(text.begin(), text.end(), isAllowed);
}

bool isEndpointList(std::string_view text) {
  const std::size_t comma = text.find(',');
  if (!core::parseEndpoint(text.substr(0, comma)))
    return false;
  return comma == std::string_view::npos ||
         isEndpointList(text.substr(comma + 1));
}

} // namespace

std::optional<core::Duration> parseDuration(std::string_view text) {
  double unit = 0;
  if (text.ends_with("ms")) {
    unit = NanosecondsPerMillisecond;
    text.remove_suffix(2);
  } else if (text.ends_with("s")) {
    unit = NanosecondsPerSecond;
    text.remove_suffix(1);
  }
  double value = 0;
  const char *end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (unit == 0 || ec != std::errc() || it != end || !(value >= 0) ||
      value * unit > LongestDuration)
    return std::nullopt;
  return core::Duration(std::llround(value * unit));
}

bool isValid(TextKind kind, std::string_view text) {
  switch (kind) {
  case TextKind::Name:
    return !text.empty() && text.size() <= MaxNameLength &&
           consistsOf(text, isNameCharacter);
  case TextKind::Endpoint:
    return core::parseEndpoint(text).has_value();
  case TextKind::EndpointList:
    return isEndpointList(text);
  case TextKind::Line:
    return !text.empty() && text.size() <= MaxLineLength;
  case TextKind::Z85Key:
    return text.size() == Z85KeyLength && consistsOf(text, isZ85Character);
  case TextKind::Sha256:
    return text.size() == Sha256Length && consistsOf(text, isLowerHex);
  case TextKind::Level:
    return logging::levelFromName(text).has_value();
  case TextKind::Role:
    return text == "viewer" || text == "operator";
  case TextKind::Duration:
    return parseDuration(text).has_value();
  }
  return false;
}

std::string_view allowedRange(TextKind kind) {
  switch (kind) {
  case TextKind::Name:
    return "1 to 64 letters, digits, '.', '_' or '-'";
  case TextKind::Endpoint:
    return "ip:port or [ip]:port, port 0 to 65535";
  case TextKind::EndpointList:
    return "ip:port, or several separated by commas";
  case TextKind::Line:
    return "1 to 4096 characters";
  case TextKind::Z85Key:
    return "40 characters of Z85";
  case TextKind::Sha256:
    return "64 lower-case hexadecimal digits";
  case TextKind::Level:
    return "debug, info, warning, error or off";
  case TextKind::Role:
    return "viewer or operator";
  case TextKind::Duration:
    return "a time such as 1500ms or 2.5s";
  }
  return {};
}

} // namespace acaciaroad::settings
