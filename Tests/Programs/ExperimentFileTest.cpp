#include "Programs/Load/ExperimentFile.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::load;

namespace {

constexpr std::string_view Head = R"([experiment]
name = "e"
targets = "127.0.0.1:1,127.0.0.1:2"
[[accounts]]
name = "a"
[[classes]]
name = "c"
path = "/c/{key}"
)";

constexpr std::string_view OneFlow = R"([[flows]]
account = "a"
class = "c"
rate = 0.5
)";

struct ErrorRow {
  const char *Added;
  /// Beginning of the detail.
  const char *Detail;
};

const ErrorRow ErrorRows[] = {
    {"[[flows]]\naccount = \"b\"\nclass = \"c\"", "f: 'b' is not defined"},
    {"[[flows]]\naccount = \"a\"\nclass = \"d\"", "f: 'd' is not defined"},
    {"[[phases]]\nname = \"p\"\nclass = \"d\"", "f: 'd' is not defined"},
    {"[[phases]]\nname = \"p\"\nfactor = -1", "f:15: phases.factor must be"},
    {"[[flows]]\nratio = 1", "f:14: unknown field flows.ratio"},
    {"[flow]", "f:13: unknown table flow"},
    {"[actions]", "f:13: actions must be an array of tables"},
};

struct ExpandRow {
  const char *Text;
  /// Null where it fails.
  const char *Expanded;
};

const ExpandRow ExpandRows[] = {
    {"a ${x} b", "a 1 b"}, {"${x}${y}", "12"}, {"no $x {y}", "no $x {y}"},
    {"${z}", nullptr},     {"${x", nullptr},
};

} // namespace

ACACIA_TABLE_TEST(ExperimentFileTest, errorNamesPlace, ErrorRows) {
  const std::string text =
      std::string(Head) + std::string(OneFlow) + row.Added + "\n";
  const auto experiment = parseExperiment(text, "f");
  cr_assert(!experiment);
  cr_assert(experiment.error().Detail.starts_with(row.Detail), "%s",
            experiment.error().Detail.c_str());
}

ACACIA_TABLE_TEST(ExperimentFileTest, definitionsAreReplaced, ExpandRows) {
  const Definition definitions[] = {{"x", "1"}, {"y", "2"}};
  const auto text = expand(row.Text, definitions);
  cr_assert_eq(text.has_value(), row.Expanded != nullptr);
  if (text)
    cr_assert(*text == row.Expanded);
}

Test(ExperimentFileTest, wholeFileIsRead) {
  const std::string text = std::string(Head) + std::string(OneFlow) +
                           "[[phases]]\nname = \"p\"\naccount = \"a\"\n";
  const Experiment experiment = parseExperiment(text, "f").value();
  cr_assert_eq(experiment.Targets.size(), 2U);
  cr_assert_eq(experiment.Flows.size(), 1U);
  cr_assert_eq(experiment.Flows[0].Rate, 0.5);
  cr_assert(experiment.Phases[0].Account == std::optional<std::size_t>(0));
  cr_assert(!experiment.Phases[0].Class);
}
