#include "Administration/AdministrationServer.h"

#include <httplib.h>

#include "FakeNode.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::administration;
using namespace acaciaroad::tests;

namespace {

struct ServedNode {
  std::shared_ptr<FakeNode> Node = FakeNode::create();
  std::unique_ptr<AdministrationServer> Server =
      AdministrationServer::create({"127.0.0.1", 0}, Node->api()).value();

  httplib::Client client(const char *token) const {
    httplib::Client out("127.0.0.1", Server->port());
    out.set_tcp_nodelay(true);
    out.set_keep_alive(true);
    out.set_bearer_token_auth(token);
    return out;
  }
};

struct TargetRow {
  const char *Target;
  bool IsValid;
  const char *Path;
  const char *Key;
};

const TargetRow TargetRows[] = {
    {"/v1/owner?service=q&key=a%2Fb+c", true, "/v1/owner", "a/b c"},
    {"/v1/owner?key=", true, "/v1/owner", ""},
    {"/v1/owner", true, "/v1/owner", ""},
    {"/v1/own%65r?key=%26", true, "/v1/owner", "&"},
    {"/v1/owner?key=%", false, "", ""},
    {"/v1/owner?key=1&key=2", false, "", ""},
};

} // namespace

ACACIA_TABLE_TEST(AdministrationServerTest, readsTargets, TargetRows) {
  ApiRequest out;
  cr_assert_eq(readTarget(row.Target, out).has_value(), row.IsValid);
  if (!row.IsValid)
    return;
  cr_assert(out.Path == row.Path, "%s", row.Target);
  cr_assert(out.parameter("key") == row.Key, "%s", row.Target);
}

Test(AdministrationServerTest, servesOverOneConnection) {
  const ServedNode served;
  httplib::Client client = served.client(FakeNode::OperateToken);
  const char *body = R"({"rate_per_second":5,"burst":5})";
  const auto made = client.Put("/v1/accounts/x", {{"If-Match", "\"0\""}}, body,
                               "application/json");
  cr_assert(made);
  cr_assert_eq(made->status, 200, "%s", made->body.c_str());
  cr_assert(made->get_header_value("ETag") == "\"1\"");
  constexpr int Reads = 20;
  for (int n = 0; n < Reads; ++n) {
    const auto shown = client.Get("/v1/accounts/x");
    cr_assert(shown);
    cr_assert_eq(shown->status, 200);
  }
  const auto stale = client.Put("/v1/accounts/x", {{"If-Match", "\"0\""}}, body,
                                "application/json");
  cr_assert_eq(stale->status, 409);
  cr_assert(stale->get_header_value("Content-Type") ==
            "application/problem+json");
}

Test(AdministrationServerTest, upstreamCallsFromTheLoopback) {
  const ServedNode served;
  httplib::Client client("127.0.0.1", served.Server->port());
  const auto left = client.Post("/v1/upstream/leave", "", "application/json");
  cr_assert(left);
  cr_assert_eq(left->status, 200);
  cr_assert(served.Node->HasLeft);
  cr_assert_eq(client.Get("/v1/status")->status, 401);
}

Test(AdministrationServerTest, tooLargeBodyIsRefused) {
  const ServedNode served;
  httplib::Client client = served.client(FakeNode::OperateToken);
  const std::string body(AdministrationServer::MaxBodyBytes + 1, ' ');
  const auto answer = client.Put("/v1/accounts/x", body, "application/json");
  cr_assert(answer);
  cr_assert_eq(answer->status, 413);
}
