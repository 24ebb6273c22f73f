#include "Programs/Load/Sample.h"

#include <array>

namespace acaciaroad::load {

namespace {

constexpr std::array<std::string_view, OutcomeCount> Names = {
    "served",  "refused", "unknown", "unreachable",
    "timeout", "broken",  "crossed", "bad_status"};

} // namespace

std::string_view toString(Outcome outcome) {
  return Names[static_cast<std::size_t>(outcome)];
}

} // namespace acaciaroad::load
