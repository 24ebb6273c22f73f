#include "Platform/LogMessages.h"

#include "Platform/Base64.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::platform;

namespace {

struct BodyRow {
  const char *Body;
};

const BodyRow CorruptBatchRows[] = {
    {""},
    {"[]"},
    {R"({"first":0,"next":1})"},
    {R"({"first":-1,"next":1,"records":[]})"},
    {R"({"first":0,"next":1.5,"records":[]})"},
    {R"({"first":0,"next":1,"records":[{"offset":1,"payload":""}]})"},
    {R"({"first":0,"next":9,"records":[{"offset":1,"payload":""},)"
     R"({"offset":1,"payload":""}]})"},
    {R"({"first":0,"next":1,"records":[{"offset":0,"payload":"a"}]})"},
    {R"({"first":0,"next":1,"records":[{"offset":0,"payload":5}]})"},
};

struct Base64Row {
  std::string_view Bytes;
  std::string_view Text;
};

const Base64Row Base64Rows[] = {
    {"", ""},        {"f", "Zg=="},        {"fo", "Zm8="},
    {"foo", "Zm9v"}, {"foob", "Zm9vYg=="}, {{"\0\xff", 2}, "AP8="},
};

const BodyRow CorruptBase64Rows[] = {{"Zg"},    {"Zg="},   {"===="}, {"Z==="},
                                     {"Zm9v "}, {" Zm9v"}, {"Zm9*"}, {"="}};

} // namespace

ACACIA_TABLE_TEST(LogMessagesTest, corruptBatchIsRefused, CorruptBatchRows) {
  const auto batch = decodeBatch(row.Body);
  cr_assert(!batch);
  cr_assert(batch.error().Kind == core::ErrorKind::CorruptMessage);
}

ACACIA_TABLE_TEST(LogMessagesTest, base64LeadsBackToBytes, Base64Rows) {
  cr_assert(encodeBase64(row.Bytes) == row.Text);
  cr_assert(decodeBase64(row.Text).value() == row.Bytes);
}

ACACIA_TABLE_TEST(LogMessagesTest, corruptBase64IsRefused, CorruptBase64Rows) {
  cr_assert(!decodeBase64(row.Body));
}

Test(LogMessagesTest, batchLeadsBackToItself) {
  const LogBatch batch{{{3, "a"}, {4, std::string("\0b", 2)}}, 5, 1};
  cr_assert(decodeBatch(encodeBatch(batch)).value() == batch);
}
