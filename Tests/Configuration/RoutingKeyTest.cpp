#include "Configuration/RoutingKey.h"

#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::configuration;

namespace {

constexpr auto Missing = core::ErrorKind::RoutingKeyMissing;
constexpr auto Malformed = core::ErrorKind::MalformedRequest;

struct KeyRow {
  KeySource Source;
  const char *Prefix;
  std::string Target;
  /// Null if an error is expected.
  const char *Key;
  core::ErrorKind Error = core::ErrorKind::Internal;
};

const KeyRow KeyRows[] = {
    {KeySource::None, "/q", "/q/17", ""},
    {KeySource::PathSegment, "/q", "/q/17", "17"},
    {KeySource::PathSegment, "/q", "/q/17/next?x=1", "17"},
    {KeySource::PathSegment, "/q", "/%71/17", "17"},
    {KeySource::PathSegment, "/q/v1", "/q/v1/17", "17"},
    {KeySource::PathSegment, "/", "/17/x", "17"},
    {KeySource::PathSegment, "/q", "/q/a%2Fb", "a/b"},
    {KeySource::PathSegment, "/q", "/q/a%2fb%20c+d", "a/b c+d"},
    {KeySource::PathSegment, "/q", "/q/%25%34%31", "%41"},
    {KeySource::PathSegment, "/q", "/q/%C3%A7", "\xc3\xa7"},
    {KeySource::PathSegment, "/q", "/q/A", "A"},
    {KeySource::PathSegment, "/q", "/q", nullptr, Missing},
    {KeySource::PathSegment, "/q", "/q/", nullptr, Missing},
    {KeySource::PathSegment, "/q", "/q//17", nullptr, Missing},
    {KeySource::PathSegment, "/q", "/q?17", nullptr, Missing},
    {KeySource::PathSegment, "/q", "/q/%4", nullptr, Malformed},
    {KeySource::PathSegment, "/q", "/q/%G0", nullptr, Malformed},
    {KeySource::PathSegment, "/q", "/q/a%00", nullptr, Malformed},
    {KeySource::PathSegment, "/q", "/q/%2e%2e", nullptr, Malformed},
    {KeySource::PathSegment, "/q", "/q/" + std::string(600, 'x'), nullptr,
     Malformed},
    {KeySource::QueryParameter, "/q", "/q?id=17", "17"},
    {KeySource::QueryParameter, "/q", "/q?x=1&id=a+b%2B&y", "a b+"},
    {KeySource::QueryParameter, "/q", "/q?%69d=17#id=18", "17"},
    {KeySource::QueryParameter, "/q", "/q?id=a=b", "a=b"},
    {KeySource::QueryParameter, "/q", "/q?ID=17", nullptr, Missing},
    {KeySource::QueryParameter, "/q", "/q?id=", nullptr, Missing},
    {KeySource::QueryParameter, "/q", "/q", nullptr, Missing},
    {KeySource::QueryParameter, "/q", "/q?id=1&id=2", nullptr, Malformed},
    {KeySource::QueryParameter, "/q", "/q?id=1&%=2", nullptr, Malformed},
    {KeySource::Header, "/q", "/q", "h/17"},
    {KeySource::Header, "/none", "/q", nullptr, Missing},
};

} // namespace

ACACIA_TABLE_TEST(RoutingKeyTest, readsKey, KeyRows) {
  WorkClass workClass = tests::sampleClass("c", row.Prefix);
  workClass.Key = row.Source;
  workClass.KeyName = "id";
  const bool hasHeader = workClass.PathPrefix == "/q";
  const HeaderLookup header =
      [&](std::string_view name) -> std::optional<std::string_view> {
    if (name == "id" && hasHeader)
      return "h/17";
    return std::nullopt;
  };
  const auto key = routingKey(workClass, row.Target, header);
  if (row.Key) {
    cr_assert(key.has_value(), "%s", row.Target.c_str());
    cr_assert(*key == row.Key, "%s gave %s", row.Target.c_str(), key->c_str());
  } else {
    cr_assert(!key.has_value(), "%s", row.Target.c_str());
    cr_assert(key.error().Kind == row.Error, "%s", row.Target.c_str());
  }
}
