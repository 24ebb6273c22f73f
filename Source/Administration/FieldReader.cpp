#include "Administration/FieldReader.h"

#include <algorithm>
#include <limits>

namespace acaciaroad::administration {

using core::ErrorKind;
using core::fail;
using core::Result;

Result<FieldReader> FieldReader::parse(std::string_view body) {
  auto object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object())
    return fail(ErrorKind::MalformedRequest, "the body is not a JSON object");
  return FieldReader(std::move(object));
}

const nlohmann::json *FieldReader::take(std::string_view field,
                                        Presence presence) {
  Taken.emplace_back(field);
  const auto it = Object.find(std::string(field));
  if (it != Object.end())
    return &*it;
  if (presence == Presence::Required)
    refuse(field);
  return nullptr;
}

void FieldReader::refuse(std::string_view field) {
  if (!BadField)
    BadField = std::string(field);
}

FieldReader &FieldReader::text(std::string_view field, std::string &out,
                               Presence presence) {
  const auto *value = take(field, presence);
  if (!value)
    return *this;
  if (value->is_string())
    out = value->get<std::string>();
  else
    refuse(field);
  return *this;
}

FieldReader &FieldReader::number(std::string_view field, std::uint64_t &out,
                                 Presence presence) {
  const auto *value = take(field, presence);
  if (!value)
    return *this;
  if (value->is_number_unsigned())
    out = value->get<std::uint64_t>();
  else
    refuse(field);
  return *this;
}

FieldReader &FieldReader::number(std::string_view field, std::uint32_t &out,
                                 Presence presence) {
  std::uint64_t wide = out;
  number(field, wide, presence);
  if (wide > std::numeric_limits<std::uint32_t>::max())
    refuse(field);
  else
    out = static_cast<std::uint32_t>(wide);
  return *this;
}

FieldReader &FieldReader::milliseconds(std::string_view field,
                                       std::chrono::milliseconds &out,
                                       Presence presence) {
  auto wide = static_cast<std::uint64_t>(out.count());
  number(field, wide, presence);
  if (wide > std::numeric_limits<std::uint32_t>::max())
    refuse(field);
  else
    out = std::chrono::milliseconds(wide);
  return *this;
}

FieldReader &FieldReader::real(std::string_view field, double &out,
                               Presence presence) {
  const auto *value = take(field, presence);
  if (!value)
    return *this;
  if (value->is_number())
    out = value->get<double>();
  else
    refuse(field);
  return *this;
}

FieldReader &FieldReader::flag(std::string_view field, bool &out,
                               Presence presence) {
  const auto *value = take(field, presence);
  if (!value)
    return *this;
  if (value->is_boolean())
    out = value->get<bool>();
  else
    refuse(field);
  return *this;
}

Result<void> FieldReader::finish() {
  for (const auto &[field, value] : Object.items()) {
    if (std::find(Taken.begin(), Taken.end(), field) == Taken.end())
      refuse(field);
  }
  if (BadField)
    return fail(ErrorKind::InvalidArgument, *BadField);
  return {};
}

} // namespace acaciaroad::administration
