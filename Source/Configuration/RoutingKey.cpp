#include "Configuration/RoutingKey.h"

#include <algorithm>

#include <fmt/format.h>

#include "Configuration/PercentDecoding.h"

namespace acaciaroad::configuration {

namespace {

using core::ErrorKind;
using core::fail;
using core::Result;

bool isUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

bool isControl(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool hasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::string_view segment = takeUntil(path, '/');
    if (segment == "." || segment == "..")
      return true;
  }
  return false;
}

Result<std::string> checkKey(std::string key) {
  if (key.empty())
    return fail(ErrorKind::RoutingKeyMissing);
  if (key.size() > MaxRoutingKeyBytes)
    return fail(
        ErrorKind::MalformedRequest,
        fmt::format("the routing key has {} bytes, more than the limit of {}",
                    key.size(), MaxRoutingKeyBytes));
  if (std::any_of(key.begin(), key.end(), isControl))
    return fail(ErrorKind::MalformedRequest,
                "the routing key contains a control character");
  return key;
}

Result<std::string> keyFromPath(std::string_view prefix,
                                std::string_view path) {
  // The target may have the prefix percent-encoded, so skip as many segments as
  // the prefix has instead of comparing the text.
  auto skip = std::count(prefix.begin(), prefix.end(), '/');
  if (prefix == "/")
    skip = 0;
  for (auto n = skip + 1; n > 0; --n)
    takeUntil(path, '/');
  auto key = percentDecode(takeUntil(path, '/'), PlusSign::Literal);
  if (key && (*key == "." || *key == ".."))
    return fail(ErrorKind::MalformedRequest,
                "the path contains a '.' or '..' segment");
  return key.and_then(checkKey);
}

Result<std::string> keyFromQuery(std::string_view name,
                                 std::string_view target) {
  takeUntil(target, '?');
  target = target.substr(0, target.find('#'));
  std::optional<std::string> found;
  while (!target.empty()) {
    std::string_view pair = takeUntil(target, '&');
    auto pairName = percentDecode(takeUntil(pair, '='), PlusSign::Space);
    if (!pairName)
      return pairName;
    if (*pairName != name)
      continue;
    auto value = percentDecode(pair, PlusSign::Space);
    if (!value)
      return value;
    if (found)
      return fail(
          ErrorKind::MalformedRequest,
          fmt::format("query parameter '{}' occurs more than once", name));
    found = std::move(*value);
  }
  return checkKey(found.value_or(""));
}

} // namespace

std::string_view pathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

Result<std::string> canonicalPath(std::string_view path) {
  if (path.empty() || path[0] != '/')
    return fail(ErrorKind::MalformedRequest, "the path doesn't start with '/'");
  std::string out;
  while (!path.empty()) {
    if (path[0] != '%') {
      out.push_back(path[0]);
      path.remove_prefix(1);
      continue;
    }
    const auto byte = escapedByte(path);
    if (!byte)
      return fail(ErrorKind::MalformedRequest,
                  "'%' is not followed by two hexadecimal digits");
    if (isUnreserved(*byte))
      out.push_back(*byte);
    else
      out.append(path.substr(0, 3));
    path.remove_prefix(3);
  }
  if (hasDotSegment(out))
    return fail(ErrorKind::MalformedRequest,
                "the path contains a '.' or '..' segment");
  return out;
}

Result<std::string> routingKey(const WorkClass &workClass,
                               std::string_view target,
                               const HeaderLookup &header) {
  switch (workClass.Key) {
  case KeySource::None:
    return std::string();
  case KeySource::PathSegment:
    return keyFromPath(workClass.PathPrefix, pathOf(target));
  case KeySource::QueryParameter:
    return keyFromQuery(workClass.KeyName, target);
  case KeySource::Header:
    return checkKey(std::string(header(workClass.KeyName).value_or("")));
  }
  return fail(ErrorKind::Internal,
              fmt::format("unknown routing key source {}",
                          static_cast<int>(workClass.Key)));
}

} // namespace acaciaroad::configuration
