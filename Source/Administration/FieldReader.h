/// \file
/// Reads the fields of a JSON object strictly.

#ifndef ACACIAROAD_ADMINISTRATION_FIELDREADER_H
#define ACACIAROAD_ADMINISTRATION_FIELDREADER_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Core/Error.h"

namespace acaciaroad::administration {

/// Whether a field may be left out, which keeps the default.
enum class Presence : std::uint8_t { Required, Optional };

/// An enumerator and its name in JSON.
template <typename E> struct EnumName {
  E Value;
  std::string_view Name;
};

/// Takes fields out of an object. The first field that is missing, unknown or
/// of a wrong type makes finish() fail with InvalidArgument and its name.
class FieldReader {
public:
  /// Parses \p body, which must be one object. MalformedRequest otherwise.
  static core::Result<FieldReader> parse(std::string_view body);

  explicit FieldReader(nlohmann::json object) : Object(std::move(object)) {}

  FieldReader &text(std::string_view field, std::string &out,
                    Presence presence = Presence::Required);
  FieldReader &number(std::string_view field, std::uint64_t &out,
                      Presence presence = Presence::Required);
  FieldReader &number(std::string_view field, std::uint32_t &out,
                      Presence presence = Presence::Required);
  FieldReader &milliseconds(std::string_view field,
                            std::chrono::milliseconds &out,
                            Presence presence = Presence::Required);
  FieldReader &real(std::string_view field, double &out,
                    Presence presence = Presence::Required);
  FieldReader &flag(std::string_view field, bool &out,
                    Presence presence = Presence::Required);

  template <typename E>
  FieldReader &enumeration(std::string_view field, E &out,
                           std::span<const EnumName<E>> names,
                           Presence presence = Presence::Required) {
    std::string name;
    text(field, name, presence);
    if (!Object.contains(std::string(field)))
      return *this;
    for (const EnumName<E> &it : names) {
      if (it.Name != name)
        continue;
      out = it.Value;
      return *this;
    }
    refuse(field);
    return *this;
  }

  /// Fails for the first bad field, or for a field that nobody asked for.
  core::Result<void> finish();

private:
  const nlohmann::json *take(std::string_view field, Presence presence);
  void refuse(std::string_view field);

  nlohmann::json Object;
  std::vector<std::string> Taken;
  std::optional<std::string> BadField;
};

/// Returns the name of \p value.
template <typename E>
std::string_view nameOf(E value, std::span<const EnumName<E>> names) {
  for (const EnumName<E> &it : names)
    if (it.Value == value)
      return it.Name;
  return "";
}

} // namespace acaciaroad::administration

#endif
