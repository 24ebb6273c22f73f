/// \file
/// How a field of a settings file is described: one table for each kind of
/// file drives parsing, checking and the reference page.

#ifndef ACACIAROAD_SETTINGS_FIELD_H
#define ACACIAROAD_SETTINGS_FIELD_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "Core/Clock.h"

namespace acaciaroad::settings {

/// What a text may hold.
enum class TextKind : std::uint8_t {
  /// 1 to 64 letters, digits, '.', '_', '-'.
  Name,
  /// "ip:port".
  Endpoint,
  /// One or more, separated by commas.
  EndpointList,
  /// 1 to 4096 characters.
  Line,
  /// 40 characters of Z85.
  Z85Key,
  /// 64 lower-case hexadecimal digits.
  Sha256,
  /// A log level.
  Level,
  /// A role of the administration API.
  Role,
  /// "1500ms" or "2.5s".
  Duration,
};

/// A field that holds a text.
template <typename Target> struct TextField {
  TextKind Kind;
  /// Used where the file says nothing; absent where the field is required,
  /// empty where it may stay unset.
  std::optional<std::string_view> Default;
  /// Receives a text that fits Kind.
  void (*Set)(Target &target, std::string_view text);
};

/// A field that holds a whole number.
template <typename Target> struct NumberField {
  std::int64_t Minimum;
  std::int64_t Maximum;
  std::int64_t Default;
  /// Receives a number in range.
  void (*Set)(Target &target, std::int64_t number);
};

/// A field that holds a real number.
template <typename Target> struct RealField {
  double Minimum;
  double Maximum;
  double Default;
  /// Receives a number in range.
  void (*Set)(Target &target, double number);
};

/// One field of a settings file.
template <typename Target> struct Field {
  /// Name of the table it stands in.
  std::string_view Table;
  std::string_view Name;
  std::string_view Description;
  std::variant<TextField<Target>, NumberField<Target>, RealField<Target>> Value;
};

/// Bounds of a number, both allowed.
template <typename Number> struct Range {
  Number Minimum;
  Number Maximum;
};

/// The rows of a table of fields: where the field stands, what it may hold, its
/// default, who receives it and what it means.
template <typename Target>
constexpr Field<Target> textField(std::string_view table, std::string_view name,
                                  TextKind kind,
                                  std::optional<std::string_view> missing,
                                  void (*set)(Target &, std::string_view),
                                  std::string_view description) {
  return {table, name, description, TextField<Target>{kind, missing, set}};
}

template <typename Target>
constexpr Field<Target>
numberField(std::string_view table, std::string_view name,
            Range<std::int64_t> range, std::int64_t missing,
            void (*set)(Target &, std::int64_t), std::string_view description) {
  return {table, name, description,
          NumberField<Target>{range.Minimum, range.Maximum, missing, set}};
}

template <typename Target>
constexpr Field<Target> realField(std::string_view table, std::string_view name,
                                  Range<double> range, double missing,
                                  void (*set)(Target &, double),
                                  std::string_view description) {
  return {table, name, description,
          RealField<Target>{range.Minimum, range.Maximum, missing, set}};
}

/// Parses "1500ms" or "2.5s"; nothing for any other text.
std::optional<core::Duration> parseDuration(std::string_view text);

/// Whether \p text is of kind \p kind.
bool isValid(TextKind kind, std::string_view text);

/// Returns what a text of \p kind may hold, for errors and the reference.
std::string_view allowedRange(TextKind kind);

} // namespace acaciaroad::settings

#endif
