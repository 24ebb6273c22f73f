#include "Administration/OperatorTokens.h"

#include "FakeNode.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::administration;

namespace {

struct SettingsRow {
  std::vector<TokenSetting> Settings;
  bool IsValid;
};

const std::string Hash(64, 'a');

const SettingsRow SettingsRows[] = {
    {{}, true},
    {{{"omar", "operator", Hash}, {"vera", "viewer", Hash}}, true},
    {{{"omar", "operator", Hash}, {"omar", "viewer", Hash}}, false},
    {{{"", "operator", Hash}}, false},
    {{{"omar", "root", Hash}}, false},
    {{{"omar", "operator", "plain text"}}, false},
    {{{"omar", "operator", std::string(64, 'g')}}, false},
};

} // namespace

ACACIA_TABLE_TEST(OperatorTokensTest, checksSettings, SettingsRows) {
  const auto tokens = OperatorTokens::create(row.Settings);
  cr_assert_eq(tokens.has_value(), row.IsValid);
  if (!tokens)
    cr_assert(tokens.error().Kind == core::ErrorKind::InvalidSettings);
}
