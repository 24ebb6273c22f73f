#include "Programs/Load/Runner.h"

#include "Programs/Load/Report.h"
#include "Programs/LoadPlan.h"
#include "Programs/StandinUpstream/UpstreamServer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::load;
using namespace std::chrono_literals;
using acaciaroad::tests::twoAccounts;

namespace {

struct OutcomeRow {
  const char *Faults;
  Outcome Expected;
};

const OutcomeRow OutcomeRows[] = {
    {"{}", Outcome::Served},
    {R"({"lose_answers":true})", Outcome::Broken},
    // The stand-in sends no problem document.
    {R"({"shed_permille":1000})", Outcome::BadStatus},
};

std::unique_ptr<standinupstream::UpstreamServer> warmUpstream() {
  standinupstream::UpstreamOptions options;
  options.Work = 1ms;
  options.ColdStart = {};
  return standinupstream::UpstreamServer::create(options).value();
}

/// Half a second against \p port, of which the first target takes none.
Experiment planFor(std::uint16_t port) {
  Experiment out = twoAccounts();
  out.Length = 500ms;
  out.Targets[1].Port = port;
  return out;
}

} // namespace

ACACIA_TABLE_TEST(RunnerTest, everyRequestEndsAsItShould, OutcomeRows) {
  const auto upstream = warmUpstream();
  httplib::Client control("127.0.0.1", upstream->port());
  const auto set =
      control.Post("/acacia/faults", row.Faults, "application/json");
  cr_assert_eq(set->status, 200);
  const Experiment experiment = planFor(upstream->port());
  const RunResult result = Runner(experiment).run();
  cr_assert(result.Samples.size() > 50);
  for (const Sample &it : result.Samples)
    cr_assert(it.End.Result == row.Expected, "%s",
              std::string(toString(it.End.Result)).c_str());
}

Test(RunnerTest, bodiesAreChecked) {
  const auto upstream = warmUpstream();
  Experiment experiment = planFor(upstream->port());
  experiment.Classes[0].AnswerBytes = 100'000;
  experiment.Classes.push_back(experiment.Classes[0]);
  experiment.Classes[1].Method = "PUT";
  experiment.Classes[1].AnswerBytes = 0;
  experiment.Classes[1].BodyBytes = 100'000;
  experiment.Flows[1].Class = 1;
  const RunResult result = Runner(experiment).run();
  const Report report = analyse(experiment, result.Samples);
  cr_assert_eq(report.All.count(Outcome::Served), report.All.Offered);
}

Test(RunnerTest, actionsAreCarriedOutToTheEnd) {
  const auto upstream = warmUpstream();
  Experiment experiment = planFor(upstream->port());
  // Far more than the experiment's length between two requests.
  experiment.Flows = {{0, 0, 1e-6}};
  Action last;
  last.Label = "last";
  last.Start = 400ms;
  last.Target = experiment.Targets[1];
  last.Path = "/acacia/faults";
  last.Body = "{}";
  Action first = last;
  first.Label = "first";
  first.Start = 0ms;
  experiment.Actions = {last, first};
  const RunResult result = Runner(experiment).run();
  cr_assert_eq(result.Actions.size(), 2U);
  cr_assert(result.Actions[0].Label == "first");
  cr_assert_eq(result.Actions[1].Status, 200);
}
