#include "Net/AnswerMemory.h"

#include <array>
#include <optional>

#include "Support/Table.h"

using acaciaroad::net::AnswerMemory;

namespace {

constexpr std::uint64_t MostBytes = 100;
constexpr std::size_t Answers = 3;

struct GrowthRow {
  const char *Name;
  /// What each answer holds, in this order.
  std::array<std::uint64_t, Answers> Bytes;
  /// Which of them are given up.
  std::array<bool, Answers> IsGivenUp;
};

const GrowthRow GrowthRows[] = {
    {"all fit", {40, 40, 20}, {false, false, false}},
    {"the last is the largest", {10, 10, 90}, {false, false, true}},
    {"the largest goes, not the one that grows",
     {80, 10, 20},
     {true, false, false}},
    {"one alone is too large", {101, 10, 20}, {true, false, false}},
};

} // namespace

ACACIA_TABLE_TEST(AnswerMemory, GivesUpTheLargest, GrowthRows) {
  const auto memory = AnswerMemory::create(MostBytes);
  std::array<std::optional<AnswerMemory::Share>, Answers> shares;
  std::array<bool, Answers> isGivenUp{};
  for (std::size_t n = 0; n < Answers; ++n)
    shares[n].emplace(memory, [&isGivenUp, &shares, n] {
      isGivenUp[n] = true;
      shares[n].reset();
    });
  for (std::size_t n = 0; n < Answers; ++n)
    if (shares[n])
      shares[n]->resize(row.Bytes[n]);
  cr_assert(isGivenUp == row.IsGivenUp, "%s", row.Name);
  cr_assert_leq(memory->held(), MostBytes, "%s", row.Name);
  for (auto &it : shares)
    it.reset();
  cr_assert_eq(memory->held(), 0U, "%s", row.Name);
}
