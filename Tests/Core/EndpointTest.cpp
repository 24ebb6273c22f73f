#include "Core/Endpoint.h"

#include "Support/Table.h"

using namespace acaciaroad::core;

namespace {

struct EndpointRow {
  const char *Text;
  bool IsValid;
};

const EndpointRow EndpointRows[] = {
    {"127.0.0.1:80", true},  {"[::1]:65535", true}, {"10.0.0.1:0", true},
    {"localhost:80", false}, {"127.0.0.1", false},  {"127.0.0.1:65536", false},
    {"127.0.0.1:", false},   {"::1:80", false},     {"127.0.0.1:8x", false},
};

} // namespace

ACACIA_TABLE_TEST(EndpointTest, textLeadsBackToItself, EndpointRows) {
  const auto endpoint = parseEndpoint(row.Text);
  cr_assert_eq(endpoint.has_value(), row.IsValid);
  if (endpoint)
    cr_assert(toString(*endpoint) == row.Text);
}
