#include "Core/ParseNumber.h"

#include <cstdint>

#include "Support/Table.h"

using namespace acaciaroad;

namespace {

struct NumberRow {
  const char *Text;
  std::optional<std::uint16_t> Number;
};

const NumberRow NumberRows[] = {
    {"0", 0},
    {"65535", 65535},
    {"007", 7},
    {"", std::nullopt},
    {"-1", std::nullopt},
    {"+1", std::nullopt},
    {" 1", std::nullopt},
    {"1 ", std::nullopt},
    {"0x1", std::nullopt},
    {"65536", std::nullopt},
};

} // namespace

ACACIA_TABLE_TEST(ParseNumber, TakesTheWholeText, NumberRows) {
  cr_assert(core::parseNumber<std::uint16_t>(row.Text) == row.Number, "'%s'",
            row.Text);
}
