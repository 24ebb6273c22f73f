#include "Settings/FieldReader.h"

namespace acaciaroad::settings {

namespace {

Place placeOf(std::string_view file, const toml::source_region &region) {
  return {file, static_cast<std::size_t>(region.begin.line)};
}

} // namespace

Place placeOf(std::string_view file, const toml::node &node) {
  return placeOf(file, node.source());
}

Place placeOf(std::string_view file, const toml::key &key) {
  return placeOf(file, key.source());
}

Place placeOf(std::string_view file, const toml::parse_error &ec) {
  return placeOf(file, ec.source());
}

tl::unexpected<core::Error> failAt(const Place &place, std::string_view what) {
  std::string where(place.File);
  if (place.Line != 0)
    where += fmt::format(":{}", place.Line);
  return core::fail(core::ErrorKind::InvalidSettings,
                    fmt::format("{}: {}", where, what));
}

} // namespace acaciaroad::settings
