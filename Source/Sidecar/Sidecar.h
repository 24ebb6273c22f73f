/// \file
/// The proxy process of one upstream, with a control and a traffic thread.

#ifndef ACACIAROAD_SIDECAR_SIDECAR_H
#define ACACIAROAD_SIDECAR_SIDECAR_H

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Logging/Logger.h"
#include "Proxy/EntryService.h"
#include "Proxy/PeerService.h"
#include "Settings/SidecarSettings.h"
#include "Sidecar/Control.h"
#include "Sidecar/DrainPlan.h"

namespace acaciaroad::sidecar {

/// Creates clients for the platform's logs on the control thread's loop.
using LogsFactory = std::function<ControlLogs(boost::asio::io_context &,
                                              const core::Endpoint &)>;
/// Reads the settings file again.
using SettingsSource = std::function<core::Result<settings::SidecarSettings>()>;

/// Codecs and factories that depend on the platform.
struct SidecarDependencies {
  proxy::HeaderCodec HeaderCodec;
  ControlCodec Codec;
  LogsFactory MakeLogs;
  SettingsSource ReadSettings;
};

/// Owns the servers, services and event loops of one node.
class Sidecar {
public:
  /// Binds all addresses. Fails with InvalidArgument if an address cannot be
  /// bound or the drain time is not positive.
  static core::Result<std::unique_ptr<Sidecar>>
  create(const settings::SidecarSettings &settings,
         SidecarDependencies dependencies);
  ~Sidecar();

  /// Runs both threads until SIGTERM, SIGINT or a failure of the control
  /// thread. Returns when all requests have ended or the drain time is over.
  void run();

private:
  Sidecar(const settings::SidecarSettings &settings, DrainPlan drain,
          SidecarDependencies dependencies,
          std::shared_ptr<logging::Logger> logger);
  core::Result<void> bind();
  core::Result<std::unique_ptr<net::HttpServer>>
  listen(const core::Endpoint &address, net::ExchangeHandler handler);
  /// Logs and counts each request on \p server whose response is not sent.
  void logUnansweredRequests(net::HttpServer &server, std::string_view name);
  ControlHooks controlHooks();
  void onView(std::shared_ptr<const proxy::TrafficView> view);
  void answerHealth(const std::shared_ptr<net::Exchange> &exchange);
  void waitForSignals();
  /// Reads the settings file again, on SIGHUP.
  void reloadSettings();
  void applySettings(const settings::SidecarSettings &next,
                     std::string_view cause);
  void pollSettings();
  void beginDrain();
  void continueDrain(core::TimePoint started);
  /// Passes the counts of answers by version to the control thread, regularly.
  void passVersionCounts();
  void refuseNewRequests();
  void refuseConnections();
  DrainLoad drainLoad() const;
  void failRemainingRequests();
  void stop();
  /// Logs \p event with the numbers of open requests and connections.
  void logOpenWork(std::string_view event);
  void logHandlerFailure(std::string_view thread, std::string_view what);

  /// Modified only by the control thread once it runs. The traffic thread reads
  /// only members that never change.
  settings::SidecarSettings Settings;
  /// As at the start; for the traffic thread.
  const settings::SidecarLimits Limits;
  DrainPlan Drain;
  SidecarDependencies Dependencies;
  std::shared_ptr<logging::Logger> Log;
  /// Declared before all members that use the loops, so they are destroyed
  /// last.
  boost::asio::io_context TrafficLoop{1};
  boost::asio::io_context ControlLoop{1};
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  boost::asio::steady_timer SettingsTimer;
  boost::asio::steady_timer VersionTimer;
  proxy::TrafficCounters Counters;
  /// As reported by the control thread.
  StoreCallCounts StoreCalls{};
  std::unique_ptr<proxy::UpstreamService> Upstream;
  std::unique_ptr<proxy::EntryService> Entry;
  std::unique_ptr<proxy::PeerService> Peers;
  std::unique_ptr<net::HttpServer> CallerServer;
  std::unique_ptr<net::HttpServer> PeerServer;
  std::unique_ptr<net::HttpServer> HealthServer;
  std::unique_ptr<Control> ControlPlane;
  bool HasConfiguration = false;
  bool Draining = false;
};

} // namespace acaciaroad::sidecar

#endif
