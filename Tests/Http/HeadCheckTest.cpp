#include "Http/HeadCheck.h"

#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::http;

namespace {

struct StripRow {
  const char *Connection;
  std::size_t Left;
};

const StripRow StripRows[] = {
    {"close", 2},
    {"x-one", 1},
    {"keep-alive , X-ONE,x-two", 0},
    {"content-length", 2},
};

struct ResponseRow {
  const char *Head;
  const char *Method;
  bool Valid;
  Framing Body;
  bool KeepAlive;
};

const ResponseRow ResponseRows[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET", true,
     Framing::Sized, true},
    {"HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n", "GET", true,
     Framing::Chunked, true},
    {"HTTP/1.1 200 OK\r\n\r\n", "GET", true, Framing::UntilClose, true},
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", true,
     Framing::None, true},
    {"HTTP/1.1 304 -\r\nContent-Length: 3\r\n\r\n", "GET", true, Framing::None,
     true},
    {"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", "GET", true,
     Framing::Sized, false},
    {"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n", "GET", true,
     Framing::UntilClose, false},
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", "GET",
     false, Framing::None, false},
    {"HTTP/1.1 2x0 OK\r\n\r\n", "GET", false, Framing::None, false},
    {"SMTP 200 OK\r\n\r\n", "GET", false, Framing::None, false},
    {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "GET", false, Framing::None, false},
};

} // namespace

ACACIA_TABLE_TEST(HeadCheckTest, connectionNamesWhatIsNotPassedOn, StripRows) {
  std::vector<Header> headers{
      {"Connection", row.Connection}, {"X-One", "1"}, {"X-Two", "2"}};
  stripHopByHop(headers);
  cr_assert_eq(headers.size(), row.Left, "%s", row.Connection);
}

ACACIA_TABLE_TEST(HeadCheckTest, answersAreFramed, ResponseRows) {
  const auto head = checkResponseHead(row.Head, row.Method, {});
  cr_assert_eq(head.has_value(), row.Valid, "%s", row.Head);
  if (!head)
    return;
  cr_assert(head->Body == row.Body, "%s", row.Head);
  cr_assert_eq(head->KeepAlive, row.KeepAlive, "%s", row.Head);
}
