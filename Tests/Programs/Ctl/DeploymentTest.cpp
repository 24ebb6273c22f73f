#include "Programs/Ctl/Deployment.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ctl;

namespace {

struct ParseRow {
  const char *Text;
  /// Part of the error; null where the file is valid.
  const char *Error;
};

const ParseRow ParseRows[] = {
    {"", nullptr},
    {"[accounts.x]\nrate_per_second = 5\nburst = 5.5\n", nullptr},
    {"[classes.a]\npath_prefix = \"/a\"\nservice = \"s\"\n", nullptr},
    {"[classes.a]\npath_prefix = \"/a\"\n", "classes.a: service"},
    {"[classes.a]\npath_prefix = 1\nservice = \"s\"\n",
     "classes.a: path_prefix"},
    {"[classes.A]\npath_prefix = \"/a\"\nservice = \"s\"\n", "classes.A: name"},
    {"[accounts.x]\nrate_per_second = -5\nburst = 5\n",
     "accounts.x: rate_per_second"},
    {"[accounts.x]\nrate_per_second = 5\nburst = [5]\n", "accounts.x: burst"},
    {"[accounts.x]\nrate_per_second = 5\nburst = 5\nweight = 1\n",
     "accounts.x: weight"},
    {"accounts = 5\n", "accounts"},
    {"[accounts]\nx = 5\n", "accounts.x"},
    {"[keys.x]\n", "keys"},
    {"[accounts.x\n", ""},
};

} // namespace

ACACIA_TABLE_TEST(DeploymentTest, parses, ParseRows) {
  const auto file = Deployment::parse(row.Text);
  cr_assert_eq(file.has_value(), row.Error == nullptr, "%s", row.Text);
  if (!row.Error)
    return;
  cr_assert(file.error().Kind == core::ErrorKind::InvalidArgument);
  cr_assert(file.error().Detail.find(row.Error) != std::string::npos, "%s: %s",
            row.Text, file.error().Detail.c_str());
}
