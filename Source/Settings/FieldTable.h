/// \file
/// The one table that parsing, checking and the reference page come from.

#ifndef ACACIAROAD_SETTINGS_FIELDTABLE_H
#define ACACIAROAD_SETTINGS_FIELDTABLE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Settings/NodeSettings.h"

namespace acaciaroad::settings {

/// What a text may hold.
enum class TextKind : std::uint8_t {
  /// 1 to 64 letters, digits, '.', '_', '-'.
  Name,
  /// "ip:port".
  Endpoint,
  /// 1 to 4096 characters.
  Path,
  /// 40 characters of Z85.
  Z85Key,
  /// 64 lower-case hexadecimal digits.
  Sha256,
  /// A log level.
  Level,
  /// A role of the administration API.
  Role,
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

/// One field of a settings file. Exactly one of Text and Number is there.
template <typename Target> struct Field {
  /// Table and name within it.
  std::string_view Table;
  std::string_view Name;
  std::string_view Description;
  std::optional<TextField<Target>> Text;
  std::optional<NumberField<Target>> Number;
};

/// Fields of a node's settings, ordered by table.
std::span<const Field<NodeSettings>> nodeFields();

/// Fields of one element of `administration.tokens`.
std::span<const Field<AccessToken>> tokenFields();

/// Whether \p text is of kind \p kind.
bool isValid(TextKind kind, std::string_view text);

/// Returns what a text of \p kind may hold, for errors and the reference.
std::string_view allowedRange(TextKind kind);

} // namespace acaciaroad::settings

#endif
