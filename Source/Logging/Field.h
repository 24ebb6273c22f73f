/// \file
/// A named and typed value of a log line.

#ifndef ACACIAROAD_LOGGING_FIELD_H
#define ACACIAROAD_LOGGING_FIELD_H

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

namespace acaciaroad::logging {

/// Types that a field can hold.
using FieldValue =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// One member of a line. It only views its text, so it must not outlive the
/// call that it is passed to.
struct Field {
  std::string_view Name;
  FieldValue Value;

  Field(std::string_view name, std::string_view value)
      : Name(name), Value(value) {}
  Field(std::string_view name, const char *value)
      : Name(name), Value(std::string_view(value)) {}
  Field(std::string_view name, std::same_as<bool> auto value)
      : Name(name), Value(value) {}
  Field(std::string_view name, std::signed_integral auto value)
      : Name(name), Value(static_cast<std::int64_t>(value)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) Field(std::string_view name, T value)
      : Name(name), Value(static_cast<std::uint64_t>(value)) {}
  Field(std::string_view name, std::floating_point auto value)
      : Name(name), Value(static_cast<double>(value)) {}
};

} // namespace acaciaroad::logging

#endif
