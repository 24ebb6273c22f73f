#include "Programs/StandinUpstream/UpstreamServer.h"

#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::standinupstream;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

/// A warm upstream in the test, and calls to it.
struct Fixture {
  std::unique_ptr<UpstreamServer> Server;

  explicit Fixture(const UpstreamOptions &options = {}) {
    Server = UpstreamServer::create(options).value();
  }

  httplib::Client client() const {
    httplib::Client out("127.0.0.1", Server->port());
    out.set_tcp_nodelay(true);
    out.set_read_timeout(60);
    return out;
  }

  void awaitLoad(std::uint32_t running, std::uint32_t waiting) const {
    Server->orders().await([&](const OrderCounts &counts) {
      return counts.Running == running && counts.Waiting == waiting;
    });
  }

  Json stats() const {
    return Json::parse(client().Get("/acacia/stats")->body);
  }

  void fault(const Json &body) const {
    const auto answer =
        client().Post("/acacia/faults", body.dump(), "application/json");
    cr_assert_eq(answer->status, 200);
  }
};

UpstreamOptions warm() {
  UpstreamOptions out;
  out.Work = 1ms;
  out.ColdStart = {};
  return out;
}

std::string nsFromNow(core::Duration duration) {
  return std::to_string(core::toNanoseconds(core::BootClock::now() + duration));
}

struct GrantRow {
  bool ChecksGrants;
  const char *Epoch;
  std::chrono::seconds Validity;
  int Status;
  const char *Counter;
};

/// Each after an order under epoch 5.
const GrantRow GrantRows[] = {
    {true, "5", 60s, 200, nullptr},
    {true, "6", 60s, 200, nullptr},
    {true, "4", 60s, 409, nullptr},
    {true, "5", -1s, 409, nullptr},
    {false, "4", 60s, 200, "stale_epoch_executed"},
    {false, "5", -1s, 200, "expired_grant_executed"},
};

struct FaultRow {
  const char *Faults;
  int Status;
  std::uint64_t Started;
};

/// Status 0 is a broken connection.
const FaultRow FaultRows[] = {
    {R"({"shed_permille":1000})", 503, 0},
    {R"({"lose_answers":true})", 0, 1},
    {R"({"drop_connections":true})", 0, 0},
};

httplib::Headers grantHeaders(const char *epoch, core::Duration validity) {
  return {{"X-Acacia-Slice", "s/1"},
          {"X-Acacia-Epoch", epoch},
          {"X-Acacia-Grant-Expiry-Ns", nsFromNow(validity)}};
}

} // namespace

ACACIA_TABLE_TEST(UpstreamServerTest, grantIsFenced, GrantRows) {
  UpstreamOptions options = warm();
  options.ChecksGrants = row.ChecksGrants;
  const Fixture upstream(options);
  httplib::Client client = upstream.client();
  cr_assert_eq(client.Get("/x", grantHeaders("5", 60s))->status, 200);
  const auto answer = client.Get("/x", grantHeaders(row.Epoch, row.Validity));
  cr_assert_eq(answer->status, row.Status);
  const bool isRefused = row.Status != 200;
  cr_assert_eq(answer->get_header_value("X-Acacia-Not-Run") == "stale_grant",
               isRefused);
  const Json stats = upstream.stats();
  cr_assert_eq(stats["started"].get<int>(), isRefused ? 1 : 2);
  if (row.Counter != nullptr)
    cr_assert_eq(stats[row.Counter].get<int>(), 1);
}

ACACIA_TABLE_TEST(UpstreamServerTest, faultsTakeEffect, FaultRows) {
  const Fixture upstream(warm());
  upstream.fault(Json::parse(row.Faults));
  const auto answer = upstream.client().Get("/x");
  cr_assert_eq(answer ? answer->status : 0, row.Status);
  cr_assert_eq(upstream.stats()["started"].get<std::uint64_t>(), row.Started);
}

Test(UpstreamServerTest, passedDeadlineIsNotRun) {
  const Fixture upstream(warm());
  const auto answer =
      upstream.client().Get("/x", {{"X-Acacia-Deadline-Ns", nsFromNow(-1s)}});
  cr_assert_eq(answer->status, 503);
  cr_assert(answer->get_header_value("X-Acacia-Not-Run") == "deadline");
  cr_assert_eq(upstream.stats()["started"].get<int>(), 0);
}

Test(UpstreamServerTest, coldUpstreamFallsOverUnderTwoOrders) {
  UpstreamOptions options = warm();
  options.Work = 1min;
  options.ColdStart = 1h;
  const Fixture upstream(options);
  std::jthread first([&] {
    const auto answer = upstream.client().Get("/x");
    cr_assert(!answer);
  });
  upstream.awaitLoad(1, 0);
  cr_assert(!upstream.client().Get("/x"));
  first.join();
  const Json stats = upstream.stats();
  cr_assert_eq(stats["cold_overloads"].get<int>(), 1);
  cr_assert_eq(stats["failed"].get<int>(), 2);
}

Test(UpstreamServerTest, cancelEndsRunningAndWaitingOrders) {
  UpstreamOptions options = warm();
  options.Work = 1min;
  options.Slots = 1;
  const Fixture upstream(options);
  std::vector<std::jthread> callers;
  for (const char *id : {"a", "b"})
    callers.emplace_back([&upstream, id] {
      const auto answer = upstream.client().Get("/x", {{"X-Request-Id", id}});
      cr_assert(answer->status >= 500);
    });
  upstream.awaitLoad(1, 1);
  httplib::Client client = upstream.client();
  for (const char *id : {"a", "b"}) {
    const auto answer = client.Post(std::string("/acacia/cancel/") + id);
    cr_assert(answer->body == R"({"cancelled":true})");
  }
  callers.clear();
  cr_assert_eq(upstream.stats()["served"].get<int>(), 0);
}

Test(UpstreamServerTest, closedConnectionCancels) {
  UpstreamOptions options = warm();
  options.Work = 1min;
  const Fixture upstream(options);
  httplib::Client caller = upstream.client();
  std::jthread thread([&] { caller.Get("/x"); });
  upstream.awaitLoad(1, 0);
  caller.stop();
  upstream.awaitLoad(0, 0);
  cr_assert_eq(upstream.stats()["started"].get<int>(), 1);
  cr_assert_eq(upstream.stats()["served"].get<int>(), 0);
}

Test(UpstreamServerTest, repeatedKeysAndLeakedKeysAreTold) {
  const Fixture upstream(warm());
  httplib::Client client = upstream.client();
  const httplib::Headers headers = {{"Idempotency-Key", "k"},
                                    {"Authorization", "Bearer x"}};
  for (int n = 0; n < 2; ++n)
    cr_assert_eq(client.Post("/x", headers, "", "text/plain")->status, 200);
  const Json stats = upstream.stats();
  cr_assert_eq(stats["authorization_headers"].get<int>(), 2);
  cr_assert(stats["repeated"] ==
            Json::parse(R"([{"key":"k","executions":2}])"));
}

Test(UpstreamServerTest, bodiesAreDigestedAndStreamed) {
  const Fixture upstream(warm());
  httplib::Client client = upstream.client();
  const auto echo = client.Post("/x", "abc", "text/plain");
  const Json answer = Json::parse(echo->body);
  cr_assert(answer["sha256"] == "ba7816bf8f01cfea414140de5dae2223b00361a396177a"
                                "9cb410ff61f20015ad");
  cr_assert_eq(answer["bytes"].get<int>(), 3);
  const auto large = client.Get("/x?bytes=200000");
  cr_assert_eq(large->body.size(), 200'000U);
  cr_assert_eq(large->body[100'000], 'a' + 100'000 % 26);
}
