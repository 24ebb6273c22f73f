#include "Settings/SettingsFile.h"

#include <fstream>
#include <iterator>
#include <string>

#include "Settings/SettingsReference.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::settings;

namespace {

/// Seven lines with every required field.
constexpr std::string_view Required = R"(node.name = "n1"
node.data_centre = "a"
callers.listen = "127.0.0.1:80"
peers.listen = "127.0.0.1:81"
administration.listen = "127.0.0.1:82"
log.address = "127.0.0.1:83"
lease.length_ms = 900
)";

struct ErrorRow {
  const char *Added;
  /// Beginning of the detail.
  const char *Detail;
};

const ErrorRow ErrorRows[] = {
    {"node.colour = 1", "f.toml:8: unknown field node.colour"},
    {"colour.x = 1", "f.toml:8: unknown table colour"},
    {"traffic.workers = 0",
     "f.toml:8: traffic.workers must be a whole number from 1 to 1024"},
    {"traffic.workers = \"8\"", "f.toml:8: traffic.workers must be a whole"},
    {"traffic.workers = 8.5", "f.toml:8: traffic.workers must be a whole"},
    {"lease.renew_ms = 451", "f.toml: lease.renew_ms must be at most half"},
    {"node.rack = \"a b\"", "f.toml:8: node.rack must be a text: 1 to 64"},
    {"peers.advertise = \"host:1\"", "f.toml:8: peers.advertise must be"},
    {"logging.level = \"loud\"",
     "f.toml:8: logging.level must be a text: debug, info"},
    {"callers.certificate_file = \"c\"", "f.toml: callers.certificate_file"},
    {"peers.curve_public_key = \"short\"", "f.toml:8: peers.curve_public_key"},
    {"administration.tokens = 5", "f.toml:8: administration.tokens must be"},
    {"administration.tokens = [{name = \"x\"}]",
     "f.toml:8: administration.tokens.sha256 is missing"},
    {"administration.tokens = [{nome = \"x\"}]",
     "f.toml:8: unknown field administration.tokens.nome"},
    {"node.name = \"again\"", "f.toml:8: "},
    {"node.name", "f.toml:8: "},
};

} // namespace

ACACIA_TABLE_TEST(SettingsFileTest, errorNamesPlaceAndRange, ErrorRows) {
  const std::string text = std::string(Required) + row.Added + "\n";
  const auto settings = parseNodeSettings(text, "f.toml");
  cr_assert(!settings);
  cr_assert(settings.error().Kind == core::ErrorKind::InvalidSettings);
  cr_assert(settings.error().Detail.starts_with(row.Detail), "%s",
            settings.error().Detail.c_str());
}

Test(SettingsFileTest, missingFieldAndMissingFileAreErrors) {
  const auto empty = parseNodeSettings("", "f.toml");
  cr_assert(empty.error().Detail.starts_with("f.toml: node.name is missing"));
  const auto absent = loadNodeSettings("/nonexistent/f.toml");
  cr_assert(absent.error().Kind == core::ErrorKind::InvalidSettings);
}

Test(SettingsFileTest, defaultsAndGivenFieldsAreSet) {
  const std::string text = std::string(Required) + R"(logging.level = "debug"
[[administration.tokens]]
name = "ana"
role = "operator"
sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
)";
  const auto settings = parseNodeSettings(text, "f.toml").value();
  cr_assert(settings.Node.Name == "n1");
  cr_assert(settings.Peers.Advertise == settings.Peers.Listen);
  cr_assert_eq(settings.Lease.Length.count(), 900);
  cr_assert_eq(settings.Lease.Renew.count(), 200);
  cr_assert(settings.Log.Stream == "acaciaroad");
  cr_assert(settings.LogLevel == logging::Level::Debug);
  cr_assert_eq(settings.Administration.Tokens.size(), 1U);
  cr_assert(settings.Administration.Tokens[0].TokenRole == Role::Operator);
}

Test(SettingsFileTest, committedReferenceIsCurrent) {
  std::ifstream page(REFERENCE_PAGE);
  const std::string text{std::istreambuf_iterator<char>(page), {}};
  cr_assert(text == renderReference());
}
