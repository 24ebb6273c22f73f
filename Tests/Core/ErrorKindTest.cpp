#include "Core/ErrorKind.h"

#include "Support/Table.h"

using namespace acaciaroad::core;

namespace {

struct AnswerRow {
  ErrorKind Kind;
  const char *Name;
  int HttpStatus;
  Ran HasRan;
};

const AnswerRow AnswerRows[] = {
    {ErrorKind::KeyMissing, "key_missing", 401, Ran::No},
    {ErrorKind::RateExceeded, "rate_exceeded", 429, Ran::No},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Ran::Unknown},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown},
    {ErrorKind::AnswerTooLarge, "answer_too_large", 502, Ran::Unknown},
};

} // namespace

ACACIA_TABLE_TEST(ErrorKindTest, answerMatchesKind, AnswerRows) {
  const Answer &answer = answerFor(row.Kind);
  cr_assert(answer.Name == row.Name);
  cr_assert_eq(answer.HttpStatus, row.HttpStatus);
  cr_assert(answer.HasRan == row.HasRan);
}

ACACIA_TABLE_TEST(ErrorKindTest, nameLeadsBackToKind, AnswerRows) {
  cr_assert(errorKindFromName(row.Name) == row.Kind);
}
