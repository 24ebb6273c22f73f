#include "Administration/AdministrationApi.h"

#include <fstream>
#include <set>

#include <fmt/format.h>

#include "FakeNode.h"
#include "Support/Mutation.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::administration;
using namespace acaciaroad::tests;
using nlohmann::json;

namespace {

const char *const ClassBody =
    R"({"path_prefix":"/q","service":"questionnaires","key":"path_segment",)"
    R"("deadline_ms":800,"latency_target_ms":50,"basis":0})";

/// One request of a conversation and what it is answered.
struct Step {
  const char *Method;
  const char *Path;
  std::string Body;
  int Status;
  /// Part of the answer; an error kind, where there is one.
  const char *Contains;
  LogMode Mode = LogMode::Works;
};

struct Conversation {
  const char *Name;
  std::vector<Step> Steps;
  /// Records in the log at the end.
  std::size_t Appended;
};

const Conversation Conversations[] = {
    {"class is created, read, replaced and removed",
     {{"GET", "/v1/classes/next", "", 404, "\"version\":0"},
      {"PUT", "/v1/classes/next", ClassBody, 200, "\"version\":1"},
      {"GET", "/v1/classes/next", "", 200, "\"path_prefix\":\"/q\""},
      {"PUT", "/v1/classes/next", ClassBody, 409, "\"version\":1"},
      {"DELETE", "/v1/classes/next?basis=1", "", 200, "accepted"},
      {"GET", "/v1/classes/next", "", 404, "\"version\":2"},
      {"GET", "/v1/history", "", 200, "\"action\":\"removed\""}},
     2},
    {"dry run changes nothing",
     {{"PUT", "/v1/classes/next?dry_run=true", ClassBody, 200, "\"valid\""},
      {"GET", "/v1/classes", "", 200, "\"classes\":[]"}},
     0},
    {"invalid change is not appended",
     {{"PUT", "/v1/accounts/x", R"({"rate_per_second":-1,"burst":1,"basis":0})",
       422, "rate_per_second"},
      {"PUT", "/v1/accounts/x", R"({"rate_per_second":1,"burst":1})", 422,
       "basis"},
      {"PUT", "/v1/accounts/x",
       R"({"rate_per_second":"1","burst":1,"basis":0})", 422,
       "rate_per_second"},
      {"PUT", "/v1/accounts/x",
       R"({"rate_per_second":1,"burst":1,"basis":0,"weight":3})", 422,
       "weight"},
      {"PUT", "/v1/accounts/x", "[]", 400, "malformed_request"},
      {"PUT", "/v1/accounts/X", R"({"rate_per_second":1,"burst":1,"basis":0})",
       422, "name"}},
     0},
    {"log is down",
     {{"PUT", "/v1/classes/next", ClassBody, 503, "\"ran\":\"no\"",
       LogMode::Down},
      {"PUT", "/v1/classes/next", ClassBody, 200, "accepted"}},
     1},
    {"lost answer is settled by the same request",
     {{"PUT", "/v1/classes/next?change_id=7", ClassBody, 504,
       "\"change_id\":\"0000000000000007\"", LogMode::LosesAnswers},
      {"PUT", "/v1/classes/next?change_id=7", ClassBody, 200,
       "\"repeated\":true"},
      {"PUT", "/v1/classes/next?change_id=8", ClassBody, 409, "conflict"}},
     1},
    // The repetition is appended before the node has folded the first copy.
    {"lost answer and a fold that lags",
     {{"PUT", "/v1/classes/next?change_id=7", ClassBody, 504,
       "log_outcome_unknown", LogMode::LosesAnswersAndLags},
      {"PUT", "/v1/classes/next?change_id=7", ClassBody, 200,
       "\"repeated\":true"}},
     2},
    {"key is granted once and withdrawn",
     {{"POST", "/v1/keys", R"({"account":"x"})", 409, "conflict"},
      {"PUT", "/v1/accounts/x", R"({"rate_per_second":1,"burst":1,"basis":0})",
       200, "accepted"},
      {"POST", "/v1/keys", R"({"account":"x","change_id":"9"})", 200,
       "\"key\":\""},
      {"POST", "/v1/keys", R"({"account":"x","change_id":"9"})", 200,
       "\"repeated\":true"},
      {"GET", "/v1/keys?account=x", "", 200, "\"account\":\"x\""},
      {"DELETE", "/v1/keys/nosuch", "", 404, "not_found"}},
     2},
    {"data centre goes out and in",
     {{"POST", "/v1/data-centres/a/out", "{}", 422, "basis"},
      {"POST", "/v1/data-centres/a/out", R"({"basis":0})", 200, "accepted"},
      {"POST", "/v1/data-centres/a/out", R"({"basis":0})", 200,
       "\"repeated\":true"},
      {"POST", "/v1/data-centres/a/in", R"({"basis":0})", 409, "\"version\":1"},
      {"PUT", "/v1/data-centres/a", R"({"basis":1,"share_permille":500})", 200,
       "accepted"},
      {"PUT", "/v1/data-centres/a", R"({"basis":2,"share_permille":1001})", 422,
       "share_permille"},
      {"POST", "/v1/data-centres/z/out", R"({"basis":0})", 404, "not_found"}},
     2},
    {"instances",
     {{"POST", "/v1/instances/q-1/drain", "", 200, "accepted"},
      {"POST", "/v1/instances/q-2/drain", "", 200, "\"repeated\":true"},
      {"POST", "/v1/instances/q-9/drain", "", 404, "not_found"},
      {"POST", "/v1/instances/q-2/declare-lost", "{}", 422, "confirm_id"},
      {"POST", "/v1/instances/q-2/declare-lost",
       R"({"confirm_id":"0000000000000001"})", 422, "confirm_id"},
      {"POST", "/v1/instances/q-2/declare-lost",
       R"({"confirm_id":"0000000000000002"})", 200, "accepted"}},
     2},
    {"questions",
     {{"GET", "/v1/owner?service=questionnaires&key=17", "", 200,
       "\"slice\":7"},
      {"GET", "/v1/owner?service=none&key=17", "", 404, "not_found"},
      {"GET", "/v1/status", "", 200, "\"instances\":["},
      {"GET", "/v1/in-force?offset=3", "", 200, "\"everywhere\":true"},
      {"GET", "/v1/in-force", "", 422, "offset"},
      {"GET", "/v1/totals?day=2026-02-30", "", 422, "day"},
      {"GET", "/v1/totals?day=2026-02-28&format=csv", "", 200, "day,account"},
      {"PUT", "/v1/log-level", R"({"level":"debug"})", 200, "accepted"},
      {"PUT", "/v1/log-level", R"({"level":"loud"})", 422, "level"},
      {"GET", "/metrics", "", 200, "acacia_up 1"},
      {"GET", "/v1/nothing", "", 404, "not_found"},
      {"GET", "/v1/classes/", "", 404, "not_found"},
      {"POST", "/v1/status", "", 400, "malformed_request"}},
     0},
};

} // namespace

ACACIA_TABLE_TEST(AdministrationApiTest, answers, Conversations) {
  const auto node = FakeNode::create();
  const auto api = node->api();
  for (const Step &step : row.Steps) {
    node->Mode = step.Mode;
    const auto response =
        api->handle(request(step.Method, step.Path, step.Body));
    cr_assert_eq(response.Status, step.Status, "%s: %s %s: %s", row.Name,
                 step.Method, step.Path, response.Body.c_str());
    cr_assert(response.Body.find(step.Contains) != std::string::npos,
              "%s: %s %s: %s", row.Name, step.Method, step.Path,
              response.Body.c_str());
  }
  cr_assert_eq(node->Log.size(), row.Appended, "%s", row.Name);
}

namespace {

struct AccessRow {
  const char *Bearer;
  const char *Address;
  const char *Method;
  const char *Path;
  int Status;
};

const AccessRow AccessRows[] = {
    {"", "127.0.0.1", "GET", "/v1/status", 401},
    {"wrong", "10.9.9.9", "GET", "/v1/status", 401},
    {"view-token ", "10.9.9.9", "GET", "/v1/status", 401},
    {FakeNode::ViewToken, "10.9.9.9", "GET", "/v1/status", 200},
    {FakeNode::ViewToken, "10.9.9.9", "GET", "/metrics", 200},
    {"", "10.9.9.9", "GET", "/metrics", 401},
    {FakeNode::ViewToken, "10.9.9.9", "PUT", "/v1/classes/next", 403},
    {FakeNode::ViewToken, "10.9.9.9", "POST", "/v1/instances/q-1/drain", 403},
    {FakeNode::OperateToken, "10.9.9.9", "GET", "/v1/status", 200},
    {"", "127.0.0.1", "POST", "/v1/upstream/leave", 200},
    {"", "::ffff:127.0.0.1", "POST", "/v1/upstream/leave", 200},
    {"", "10.0.0.1", "POST", "/v1/upstream/leave", 200},
    {FakeNode::OperateToken, "10.9.9.9", "POST", "/v1/upstream/leave", 403},
    {"", "10.0.0.10", "POST", "/v1/upstream/announce", 403},
};

} // namespace

ACACIA_TABLE_TEST(AdministrationApiTest, authorizes, AccessRows) {
  ApiRequest call = request(row.Method, row.Path);
  call.Bearer = row.Bearer;
  call.RemoteAddress = row.Address;
  const auto node = FakeNode::create();
  const auto response = node->api()->handle(call);
  cr_assert_eq(response.Status, row.Status, "%s %s: %s", row.Method, row.Path,
               response.Body.c_str());
  cr_assert(node->Log.empty());
}

Test(AdministrationApiTest, announcementReachesTheNode) {
  const auto node = FakeNode::create();
  ApiRequest call = request(
      "POST", "/v1/upstream/announce",
      R"({"service":"questionnaires","address":"127.0.0.1:9000","name":"u",)"
      R"("boot_id":18446744073709551615,"slots":12,"connections":120,)"
      R"("checks_grants":true,"honours_deadlines":false,"cold":true})");
  call.RemoteAddress = "127.0.0.1";
  cr_assert_eq(node->api()->handle(call).Status, 200);
  const upstream::UpstreamAnnouncement expected{
      "questionnaires", "127.0.0.1:9000", ~0ULL, 12, 120, true, false, true};
  cr_assert(node->Announcements.at(0) == expected);
}

Test(AdministrationApiTest, grantedKeyWorksAndIsNeverShownAgain) {
  const auto node = FakeNode::create();
  const auto api = node->api();
  api->handle(request("PUT", "/v1/accounts/x",
                      R"({"rate_per_second":1,"burst":1,"basis":0})"));
  const auto granted =
      api->handle(request("POST", "/v1/keys", R"({"account":"x"})"));
  const auto key = json::parse(granted.Body)["key"].get<std::string>();
  const std::string secret = key.substr(key.find('.') + 1);
  const auto view = node->hooks().View();
  cr_assert(view->authenticate(key).has_value());
  for (const char *path : {"/v1/keys", "/v1/history", "/v1/status"}) {
    const auto response = api->handle(request("GET", path));
    cr_assert(response.Body.find(secret) == std::string::npos, "%s", path);
  }
}

Test(AdministrationApiTest, changesAreReported) {
  const auto node = FakeNode::create();
  const auto api = node->api();
  api->handle(request("PUT", "/v1/classes/next", ClassBody));
  node->Mode = LogMode::Down;
  api->handle(request("POST", "/v1/instances/q-1/drain"));
  cr_assert_eq(node->Events.size(), 2U);
  cr_assert(node->Events[0].Operator == "omar");
  cr_assert(node->Events[0].Outcome == "accepted");
  cr_assert(node->Events[1].Outcome == "log_unavailable");
}

// Each call waits for a further one, as operators' calls do when the log hangs.
Test(AdministrationApiTest, heartbeatsPassWhenOperatorsWait) {
  const auto node = FakeNode::create();
  AdministrationHooks hooks = node->hooks();
  std::shared_ptr<AdministrationApi> api;
  int innermost = 0;
  int waiting = 0;
  hooks.InForce = [&](core::Offset, std::chrono::milliseconds) {
    ++waiting;
    const auto response = api->handle(request("GET", "/v1/in-force?offset=1"));
    if (response.Status != 200) {
      innermost = response.Status;
      ApiRequest heartbeat = request("POST", "/v1/upstream/leave");
      heartbeat.RemoteAddress = "127.0.0.1";
      cr_assert_eq(api->handle(heartbeat).Status, 200);
    }
    return InForceReport{};
  };
  const TokenSetting setting{"omar", "operator",
                             hashText(FakeNode::OperateToken)};
  auto tokens = OperatorTokens::create({&setting, 1}).value();
  api = AdministrationApi::create(hooks, std::move(tokens), {}).value();
  api->handle(request("GET", "/v1/in-force?offset=1"));
  cr_assert_eq(innermost, 503);
  cr_assert_eq(waiting, AdministrationApi::MaxOperatorCalls);
  cr_assert_eq(api->handle(request("GET", "/v1/status")).Status, 200);
}

namespace {

struct FuzzRow {
  const char *Method;
  const char *Path;
  std::string Body;
};

const FuzzRow FuzzRows[] = {
    {"PUT", "/v1/classes/next", ClassBody},
    {"PUT", "/v1/accounts/x",
     R"({"rate_per_second":12.5e3,"burst":1,"basis":0,"change_id":"1f"})"},
    {"POST", "/v1/keys", R"({"account":"x","change_id":"1f"})"},
    {"PUT", "/v1/data-centres/a", R"({"basis":0,"share_permille":500})"},
    {"POST", "/v1/instances/q-2/declare-lost",
     R"({"confirm_id":"0000000000000002"})"},
    {"POST", "/v1/upstream/announce",
     R"({"service":"q","address":"127.0.0.1:9000","boot_id":1,"slots":12,)"
     R"("connections":120,"cold":true})"},
    {"PUT", "/v1/log-level", R"({"level":"debug"})"},
};

} // namespace

// Whatever the body is, the answer is a success or a problem of the caller's.
ACACIA_TABLE_TEST(AdministrationApiTest, survivesMutatedBodies, FuzzRows) {
  constexpr int Rounds = 2000;
  std::mt19937_64 random(core::hashOf(row.Path));
  const auto node = FakeNode::create();
  const auto api = node->api();
  for (int n = 0; n < Rounds; ++n) {
    ApiRequest call = request(row.Method, row.Path, mutate(row.Body, random));
    call.RemoteAddress = "127.0.0.1";
    const auto response = api->handle(call);
    cr_assert(response.Status < 500, "%s", call.Body.c_str());
    const bool isJson = json::accept(response.Body);
    cr_assert(isJson, "%s", response.Body.c_str());
  }
}

Test(AdministrationApiTest, descriptionListsExactlyTheRoutes) {
  std::ifstream file(ACACIA_SOURCE_DIR "/docs/openapi.json");
  const json description = json::parse(file);
  std::set<std::string> described;
  for (const auto &[path, operations] : description["paths"].items())
    for (const auto &[method, operation] : operations.items())
      described.insert(fmt::format("{} {} {}", method, path,
                                   operation["x-access"].get<std::string>()));
  std::set<std::string> served;
  const auto api = FakeNode::create()->api();
  for (const Route &it : api->routes()) {
    std::string method = it.Method;
    for (char &c : method)
      c = static_cast<char>(std::tolower(c));
    const char *access = it.Needs == Access::Viewer     ? "viewer"
                         : it.Needs == Access::Operator ? "operator"
                                                        : "upstream";
    served.insert(method + " " + it.Pattern + " " + access);
  }
  cr_assert(described == served);
}
