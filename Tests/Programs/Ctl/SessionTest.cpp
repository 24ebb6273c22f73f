#include "Programs/Ctl/Session.h"

#include <fstream>
#include <iterator>

#include "Administration/AdministrationServer.h"
#include "Administration/FakeNode.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::ctl;
using namespace acaciaroad::tests;

namespace {

/// Runs commands against the API of a FakeNode.
struct Desk {
  std::shared_ptr<FakeNode> Node = FakeNode::create();
  std::shared_ptr<administration::AdministrationApi> Api = Node->api();
  SessionOptions Options;
  std::string Printed;
  std::string Told;
  int Calls = 0;
  /// Whether the node's answers to changes are lost on the way.
  bool LosesAnswers = false;

  core::Result<AdminAnswer> send(const AdminCall &call) {
    ++Calls;
    administration::ApiRequest request;
    request.Method = call.Method;
    request.Body = call.Body;
    request.Bearer = FakeNode::OperateToken;
    cr_assert(administration::readTarget(call.Target, request).has_value());
    const auto response = Api->handle(request);
    if (LosesAnswers && call.Method != "GET")
      return core::fail(core::ErrorKind::OutcomeUnknown);
    return AdminAnswer{response.Status, response.Body};
  }

  ExitCode run(const std::vector<std::string> &words) {
    Printed.clear();
    Told.clear();
    SessionHooks hooks;
    hooks.Send = [this](const AdminCall &it) { return send(it); };
    hooks.Print = [this](std::string_view it) { Printed += it; };
    hooks.Tell = [this](std::string_view it) { (Told += it) += "\n"; };
    hooks.Sleep = [](std::chrono::seconds) {};
    hooks.ReadFile = [](const std::string &path) -> core::Result<std::string> {
      std::ifstream file(ACACIA_SOURCE_DIR "/" + path);
      return std::string(std::istreambuf_iterator<char>(file), {});
    };
    return Session(Options, hooks).run(words);
  }
};

struct CommandStep {
  std::vector<std::string> Words;
  ExitCode Code;
  /// Part of what is printed or told.
  const char *Contains;
  LogMode Mode = LogMode::Works;
};

struct CommandRow {
  const char *Name;
  std::vector<CommandStep> Steps;
  std::size_t Appended;
};

const CommandRow CommandRows[] = {
    {"unknown words",
     {{{}, ExitCode::Usage, "--help"},
      {{"class"}, ExitCode::Usage, "--help"},
      {{"class", "show"}, ExitCode::Usage, "--help"},
      {{"class", "set", "a", "/a"}, ExitCode::Usage, "FIELD=VALUE"},
      {{"wait", "soon"}, ExitCode::Usage, "offset"}},
     0},
    {"class",
     {{{"class", "show", "a"}, ExitCode::NotFound, "not_found"},
      {{"class", "set", "a", "path_prefix=/a", "service=s", "key=header",
        "key_name=id", "deadline_ms=500"},
       ExitCode::Done,
       "in force on 2 of 2"},
      {{"class", "show", "a"}, ExitCode::Done, "/a"},
      {{"class", "set", "a", "path_prefix=/b", "service=s"},
       ExitCode::Done,
       "accepted"},
      {{"class", "set", "a", "path_prefix=b", "service=s"},
       ExitCode::Invalid,
       "path_prefix"},
      {{"class", "remove", "a"}, ExitCode::Done, "accepted"},
      {{"class", "set", "a", "path_prefix=/a", "service=s"},
       ExitCode::Done,
       "accepted"},
      {{"class", "list"}, ExitCode::Done, "path_prefix"}},
     4},
    {"account and key",
     {{{"key", "grant", "x"}, ExitCode::Conflict, "conflict"},
      {{"account", "set", "x", "rate_per_second=2.5", "burst=5"},
       ExitCode::Done,
       "accepted"},
      {{"key", "grant", "x"}, ExitCode::Done, "key_id"},
      {{"key", "list", "x"}, ExitCode::Done, "account"},
      {{"key", "withdraw", "none"}, ExitCode::NotFound, "none"},
      {{"history"}, ExitCode::Done, "omar"}},
     2},
    {"log is down, or loses the answer",
     {{{"account", "set", "x", "rate_per_second=2", "burst=5"},
       ExitCode::Unavailable,
       "log_unavailable",
       LogMode::Down},
      {{"account", "set", "x", "rate_per_second=2", "burst=5"},
       ExitCode::Unknown,
       "repeat with --change_id",
       LogMode::LosesAnswers}},
     1},
    {"fleet",
     {{{"data-centre", "out", "a"}, ExitCode::Done, "accepted"},
      {{"data-centre", "in", "z"}, ExitCode::NotFound, "z"},
      {{"instance", "drain", "q-1"}, ExitCode::Done, "accepted"},
      {{"instance", "declare-lost", "q-1"}, ExitCode::Usage, "two owners"},
      {{"owner", "questionnaires", "17"}, ExitCode::Done, "fair share"},
      {{"owner", "none", "17"}, ExitCode::NotFound, "none"},
      {{"status"}, ExitCode::Done, "q-2"},
      {{"wait", "3"}, ExitCode::Done, "in force on 2 of 2"},
      {{"log-level", "loud"}, ExitCode::Invalid, "level"}},
     2},
};

} // namespace

ACACIA_TABLE_TEST(SessionTest, runsCommands, CommandRows) {
  Desk desk;
  for (const CommandStep &step : row.Steps) {
    desk.Node->Mode = step.Mode;
    const ExitCode code = desk.run(step.Words);
    const std::string said = desk.Printed + desk.Told;
    cr_assert(code == step.Code, "%s: exit %d: %s", row.Name,
              static_cast<int>(code), said.c_str());
    cr_assert(said.find(step.Contains) != std::string::npos, "%s: %s", row.Name,
              said.c_str());
  }
  cr_assert_eq(desk.Node->Log.size(), row.Appended, "%s: %zu", row.Name,
               desk.Node->Log.size());
}

// The answer is lost between node and operator; the repeated command finds it.
Test(SessionTest, sameChangeIdSettlesUnknownOutcome) {
  Desk desk;
  desk.Options.ChangeId = "abc";
  const std::vector<std::string> words = {"account", "set", "x",
                                          "rate_per_second=2", "burst=5"};
  desk.LosesAnswers = true;
  cr_assert(desk.run(words) == ExitCode::Unknown);
  desk.LosesAnswers = false;
  cr_assert(desk.run(words) == ExitCode::Done);
  cr_assert_eq(desk.Node->Log.size(), 1U);
}

Test(SessionTest, dataCentreGoesOutInSteps) {
  Desk desk;
  desk.Options.Steps = 4;
  cr_assert(desk.run({"data-centre", "out", "a"}) == ExitCode::Done);
  std::vector<std::uint32_t> shares;
  for (const codec::LogEntry &it : desk.Node->Log)
    shares.push_back(std::get<ownership::DataCentreShareSet>(
                         std::get<ownership::OwnershipRecord>(it))
                         .SharePermille);
  const std::vector<std::uint32_t> expected = {750, 500, 250, 0};
  cr_assert(shares == expected);
}

Test(SessionTest, dryRunMakesNoChange) {
  Desk desk;
  desk.Options.DryRun = true;
  cr_assert(desk.run({"data-centre", "out", "a"}) == ExitCode::Done);
  cr_assert(desk.run({"apply", "examples/sondagem.toml"}) == ExitCode::Done);
  cr_assert(desk.Node->Log.empty());
}

namespace {

struct ExampleRow {
  const char *Path;
  std::size_t Classes;
};

const ExampleRow ExampleRows[] = {
    {"examples/sondagem.toml", 4},
    {"examples/agency.toml", 3},
};

} // namespace

ACACIA_TABLE_TEST(SessionTest, appliesOnlyDifferences, ExampleRows) {
  constexpr std::size_t Accounts = 8;
  Desk desk;
  cr_assert(desk.run({"apply", row.Path}) == ExitCode::Done, "%s",
            desk.Told.c_str());
  const auto view = desk.Node->hooks().View();
  cr_assert_eq(view->classCount(), row.Classes);
  cr_assert_eq(view->accountCount(), Accounts);
  cr_assert_eq(desk.Node->Log.size(), row.Classes + Accounts);
  desk.run({"account", "set", "extra", "rate_per_second=1", "burst=1"});
  const std::size_t before = desk.Node->Log.size();
  cr_assert(desk.run({"apply", row.Path}) == ExitCode::Done);
  cr_assert_eq(desk.Node->Log.size(), before);
  desk.Options.RemovesOthers = true;
  cr_assert(desk.run({"apply", row.Path}) == ExitCode::Done);
  cr_assert_eq(desk.Node->Log.size(), before + 1);
  cr_assert_eq(desk.Node->hooks().View()->accountCount(), Accounts);
}

namespace {

struct WireRow {
  const char *Name;
  const char *Token;
  std::vector<std::string> Words;
  ExitCode Code;
};

const WireRow WireRows[] = {
    {"answer", FakeNode::ViewToken, {"status"}, ExitCode::Done},
    {"encoded key",
     FakeNode::ViewToken,
     {"owner", "questionnaires", "a/b &c?"},
     ExitCode::Done},
    {"problem",
     FakeNode::ViewToken,
     {"class", "show", "a"},
     ExitCode::NotFound},
    {"unknown token", "nobody", {"status"}, ExitCode::NotAuthorized},
    {"viewer",
     FakeNode::ViewToken,
     {"instance", "drain", "q-1"},
     ExitCode::NotAuthorized},
    {"change",
     FakeNode::OperateToken,
     {"account", "set", "x", "rate_per_second=1", "burst=1"},
     ExitCode::Done},
};

ExitCode runOverHttp(const std::string &address, const WireRow &row) {
  SessionHooks hooks;
  hooks.Send = httpTransport(address, row.Token).value();
  hooks.Print = [](std::string_view) {};
  hooks.Tell = [](std::string_view) {};
  return Session({}, hooks).run(row.Words);
}

} // namespace

ACACIA_TABLE_TEST(SessionTest, worksOverHttp, WireRows) {
  const auto node = FakeNode::create();
  auto server = administration::AdministrationServer::create({"127.0.0.1", 0},
                                                             node->api())
                    .value();
  const std::string address = "127.0.0.1:" + std::to_string(server->port());
  cr_assert(runOverHttp(address, row) == row.Code, "%s", row.Name);
  server->stop();
  cr_assert(runOverHttp(address, row) == ExitCode::Unavailable, "%s", row.Name);
}
