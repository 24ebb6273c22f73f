/// \file
/// The stand-in for one upstream instance of a service.

#ifndef ACACIAROAD_STANDINUPSTREAM_UPSTREAMSERVER_H
#define ACACIAROAD_STANDINUPSTREAM_UPSTREAMSERVER_H

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Programs/StandinServer/StandinServer.h"
#include "Programs/StandinUpstream/BodyDigest.h"
#include "Programs/StandinUpstream/LoadHistory.h"
#include "Programs/StandinUpstream/OrderBook.h"
#include "Programs/StandinUpstream/OrderHeaders.h"
#include "Programs/StandinUpstream/OrderLog.h"
#include "Programs/StandinUpstream/UpstreamFaults.h"
#include "Programs/StandinUpstream/UpstreamStats.h"

namespace acaciaroad::standinupstream {

/// Told of each step of an order, on the order's thread.
struct OrderHooks {
  std::function<void(const OrderHeaders &, const OrderLoad &)> OnOrder;
  std::function<void(const OrderHeaders &, Refusal)> OnRefuse;
  /// With the HTTP status; 0 for a dropped connection.
  std::function<void(const OrderHeaders &, int)> OnEnd;
};

/// Returns hooks that write one line for each step.
OrderHooks hooksFor(const OrderLog &log);

/// How an upstream behaves.
struct UpstreamOptions {
  /// "ip:port"; port 0 lets the system choose.
  std::string Listen = "127.0.0.1:0";
  std::string Service;
  std::string Name;
  std::uint32_t Slots = 12;
  std::uint32_t Connections = 120;
  /// Mean of the service time.
  core::Duration Work = std::chrono::milliseconds(5);
  /// Zero starts warm and stays so.
  core::Duration ColdStart = std::chrono::seconds(2);
  bool ChecksGrants = true;
  bool HonoursDeadlines = true;
  /// Of service times and shedding.
  std::uint64_t Seed = 1;
  /// Any may be empty.
  OrderHooks Hooks;
};

/// Serves orders on every path but those below `/acacia/`.
class UpstreamServer {
public:
  /// Fails with InvalidArgument.
  static core::Result<std::unique_ptr<UpstreamServer>>
  create(const UpstreamOptions &options);

  /// Ends a freeze and waits for running orders.
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer &) = delete;
  UpstreamServer &operator=(const UpstreamServer &) = delete;

  const UpstreamOptions &options() const { return Options; }
  std::uint16_t port() const { return Server->port(); }

  OrderBook &orders() { return Book; }

  /// Whether the upstream says that it is cold; it does not after the fault.
  bool announcesCold();

  /// Blocks while a freeze lasts.
  void awaitThaw();

  /// Waits until no order has come for a moment.
  void awaitQuiet();

private:
  /// What became of an order's work.
  enum class Ending : std::uint8_t { Completed, Cancelled, Failed };

  explicit UpstreamServer(const UpstreamOptions &options);
  void addRoutes(httplib::Server &server);
  void addOrderRoutes(httplib::Server &server);
  void onOrder(const httplib::Request &request, httplib::Response &response,
               const httplib::ContentReader *reader);
  void runOrder(const httplib::Request &request, httplib::Response &response,
                const OrderHeaders &headers, BodyDigest &digest);
  void onFaults(const httplib::Request &request, httplib::Response &response);
  void onLoad(httplib::Response &response);
  void onStats(httplib::Response &response);
  /// How often the work of each Idempotency-Key was begun.
  void onKeys(httplib::Response &response);
  void onCancel(const httplib::Request &request, httplib::Response &response);

  std::optional<Refusal> refusalOf(const OrderHeaders &headers);
  bool isShed();
  void refuse(const OrderHeaders &headers, httplib::Response &response,
              Refusal refusal);
  void recordStart(const Order &order, const OrderHeaders &headers);
  void tellOrder(const Order &order, const OrderHeaders &headers) const;
  void tellEnd(const OrderHeaders &headers, int status) const;
  bool awaitTurn(const Order &order, const OrderHeaders &headers,
                 httplib::Response &response);
  void countFailure();
  Ending work(const Order &order);
  void answerEnding(Ending ending, const httplib::Request &request,
                    httplib::Response &response, const OrderHeaders &headers,
                    BodyDigest &digest);
  core::Duration drawServiceTime();
  void sampleLoad();
  UpstreamFaults faults() const;

  const UpstreamOptions Options;
  OrderBook Book;
  LoadHistory History;
  mutable std::mutex Mutex;
  std::condition_variable Thawed;
  core::TimePoint FrozenUntil{};
  bool Stopping = false;
  bool IsSilentlyCold = false;
  UpstreamFaults Faults;
  UpstreamStats Stats;
  GrantLedger Grants;
  std::mt19937_64 Random;
  std::unique_ptr<standin::StandinServer> Server;
};

} // namespace acaciaroad::standinupstream

#endif
