#include "Sidecar/Sidecar.h"

#include <algorithm>
#include <climits>
#include <csignal>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/core.h>
#include <unistd.h>

#include "Core/Milliseconds.h"
#include "Net/RunLoop.h"

namespace acaciaroad::sidecar {

using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Interval at which a drain checks whether its next step is due.
constexpr core::Duration DrainInterval = milliseconds(50);

/// Interval at which the settings file is checked for changes, so that none
/// needs a signal.
constexpr core::Duration SettingsInterval = std::chrono::seconds(1);

constexpr double BytesPerMegabit = 125'000;

/// Part of the memory that holds the bodies of requests. Requests that are sent
/// on to another node are copied, which takes as much again at most; the rest
/// is for answers and the process itself.
constexpr std::uint64_t BodyShare = 4;

/// Interval at which the control thread gets the counts of answers by version.
constexpr core::Duration VersionCountInterval = milliseconds(250);

net::ServerLimits limitsOf(const routing::ClientLimits &from,
                           const settings::SidecarLimits &settings) {
  return {from.HeaderBytes, from.BodyBytes, from.HeaderTimeout,
          from.IdleTimeout, settings.MemoryBytes / BodyShare};
}

/// Bytes of the header fields that a node adds to a request that it forwards:
/// names of classes, accounts and upstreams of a few hundred bytes each.
constexpr std::uint32_t ForwardedHeaderBytes = 4096;

/// Limits for connections from other nodes. A node must accept every request
/// that another node accepted from a caller. Timeouts keep their defaults.
net::ServerLimits peerLimitsOf(const routing::ClientLimits &from,
                               const settings::SidecarLimits &settings) {
  net::ServerLimits out = limitsOf(routing::ClientLimits(), settings);
  out.HeaderBytes =
      std::max(out.HeaderBytes, from.HeaderBytes) + ForwardedHeaderBytes;
  out.BodyBytes = std::max(out.BodyBytes, from.BodyBytes);
  return out;
}

proxy::EntryLimits entryLimitsOf(const settings::SidecarSettings &from) {
  const settings::SidecarLimits &limits = from.Limits;
  return {limits.KeyFreshness,
          limits.KeyFreshness.value_or(limits.Configuration),
          limits.AccountWindow, limits.RetryRatio, limits.RetryAllowance};
}

std::optional<rollouts::Bounds>
rolloutBoundsOf(const settings::RolloutSettings &from) {
  if (from.Share <= 0)
    return std::nullopt;
  return rollouts::Bounds{from.Share, from.Slack, from.RollBack};
}

/// Time for which log lines are collected. What a process that is killed wrote
/// last within it is lost.
constexpr milliseconds LogPause{200};

void writeLines(std::string_view lines) {
  // Errors are ignored: a closed standard output must not end the process.
  static_cast<void>(::write(STDOUT_FILENO, lines.data(), lines.size()));
}

} // namespace

core::Result<std::unique_ptr<Sidecar>>
Sidecar::create(const settings::SidecarSettings &settings,
                SidecarDependencies dependencies) {
  logging::LoggerOptions options;
  options.Instance = settings.Node.Name;
  options.Threshold = settings.LogLevel;
  options.Pause = LogPause;
  options.JoinedBytes = PIPE_BUF;
  options.Sink = writeLines;
  auto logger = logging::Logger::create(std::move(options));
  if (!logger)
    return tl::unexpected(logger.error());
  const auto drain = DrainPlan::create(settings.Limits.Drain);
  if (!drain)
    return tl::unexpected(drain.error());
  std::unique_ptr<Sidecar> out(new Sidecar(
      settings, *drain, std::move(dependencies), std::move(*logger)));
  if (auto done = out->bind(); !done)
    return tl::unexpected(done.error());
  return out;
}

Sidecar::Sidecar(const settings::SidecarSettings &settings, DrainPlan drain,
                 SidecarDependencies dependencies,
                 std::shared_ptr<logging::Logger> logger)
    : Settings(settings), Limits(settings.Limits), Drain(drain),
      Dependencies(std::move(dependencies)), Log(std::move(logger)),
      Signals(ControlLoop, SIGTERM, SIGINT, SIGHUP), DrainTimer(TrafficLoop),
      SettingsTimer(ControlLoop), VersionTimer(TrafficLoop) {}

Sidecar::~Sidecar() = default;

core::Result<std::unique_ptr<net::HttpServer>>
Sidecar::listen(const core::Endpoint &address, net::ExchangeHandler handler) {
  // Default limits apply until a configuration is known.
  return net::HttpServer::create(TrafficLoop, address,
                                 limitsOf(routing::ClientLimits(), Limits),
                                 std::move(handler));
}

core::Result<void> Sidecar::bind() {
  Upstream = std::make_unique<proxy::UpstreamService>(
      TrafficLoop, Settings.Upstream.Address, Dependencies.HeaderCodec, Log,
      Counters,
      proxy::UpstreamHooks{[this] {
                             boost::asio::post(ControlLoop, [this] {
                               ControlPlane->upstreamRefused();
                             });
                           },
                           [this](holdings::KeyedLoad load) {
                             boost::asio::post(
                                 ControlLoop,
                                 [this, load = std::move(load)]() mutable {
                                   ControlPlane->setLoad(std::move(load));
                                 });
                           }});
  Upstream->setNetworkRate(Settings.Node.NetworkMegabits * BytesPerMegabit);
  Entry = std::make_unique<proxy::EntryService>(
      TrafficLoop,
      proxy::EntryIdentity{Settings.Node.Name, Settings.Node.DataCentre,
                           Settings.Node.Service},
      entryLimitsOf(Settings), Dependencies.HeaderCodec, Log, Counters,
      *Upstream);
  if (auto done = Entry->openCreditExchange(Settings.Credit.Listen); !done)
    return done;
  Peers = std::make_unique<proxy::PeerService>(
      TrafficLoop, Dependencies.HeaderCodec, *Upstream, Log);
  auto callers = listen(Settings.Callers.Listen,
                        [this](const auto &it) { Entry->handle(it); });
  auto peers = listen(Settings.Peers.Listen,
                      [this](const auto &it) { Peers->handle(it); });
  auto health = listen(Settings.Health.Listen,
                       [this](const auto &it) { answerHealth(it); });
  for (const auto *it : {&callers, &peers, &health})
    if (!*it)
      return tl::unexpected(it->error());
  CallerServer = std::move(*callers);
  PeerServer = std::move(*peers);
  const auto bodies = std::make_shared<net::BodyMemory>();
  CallerServer->shareMemory(bodies);
  PeerServer->shareMemory(bodies);
  HealthServer = std::move(*health);
  logUnansweredRequests(*CallerServer, "callers");
  logUnansweredRequests(*PeerServer, "peers");
  holdings::AgentIdentity agent{Settings.Node.Name, Settings.Node.DataCentre,
                                Settings.Node.Service, Settings.Peers.Listen,
                                core::randomId()};
  ControlPlane = std::make_unique<Control>(
      ControlLoop,
      ControlOptions{
          std::move(agent),
          {Settings.Upstream.Heartbeat, Settings.Upstream.LongestGrant},
          Settings.Control.Listen,
          Settings.Gossip.Listen,
          Settings.Relay.Listen,
          // Keys are honoured only while the configuration is that recent.
          feed::RelayTiming::forBound(std::min(
              Settings.Limits.Configuration,
              Settings.Limits.KeyFreshness.value_or(core::Duration::max()))),
          rolloutBoundsOf(Settings.Rollout)},
      Dependencies.Codec,
      Dependencies.MakeLogs(ControlLoop, Settings.Store.Address), Log,
      controlHooks());
  return ControlPlane->start();
}

void Sidecar::logUnansweredRequests(net::HttpServer &server,
                                    std::string_view name) {
  server.setOnUnanswered([this, name](const net::UnansweredRequest &it) {
    ++Counters.Unanswered[static_cast<std::size_t>(it.Cause)];
    const std::string_view id =
        it.Request == nullptr
            ? ""
            : Dependencies.HeaderCodec.ReadCaller(*it.Request).RequestId;
    Log->write(logging::Level::Info, "request_unanswered",
               {{"request_id", id},
                {"server", name},
                {"cause", net::toString(it.Cause)},
                {"ms", core::toMilliseconds(it.Age)}});
  });
}

ControlHooks Sidecar::controlHooks() {
  return {[this](std::shared_ptr<const proxy::TrafficView> view) {
            boost::asio::post(TrafficLoop,
                              [this, view = std::move(view)]() mutable {
                                onView(std::move(view));
                              });
          },
          [this](core::TimePoint requestedAt) {
            boost::asio::post(TrafficLoop, [this, requestedAt] {
              Entry->configurationConfirmed(requestedAt);
            });
          },
          [this](const StoreCallCounts &counts) {
            boost::asio::post(TrafficLoop,
                              [this, counts] { StoreCalls = counts; });
          }};
}

void Sidecar::onView(std::shared_ptr<const proxy::TrafficView> view) {
  if (view->Routes) {
    HasConfiguration = true;
    const auto &limits = view->Routes->configuration().Limits;
    CallerServer->setLimits(limitsOf(limits, Limits));
    PeerServer->setLimits(peerLimitsOf(limits, Limits));
  }
  const routing::Service *service =
      view->Routes ? view->Routes->findService(Settings.Node.Service) : nullptr;
  Entry->setView(view);
  Upstream->setView(std::move(view), service);
}

void Sidecar::answerHealth(const std::shared_ptr<net::Exchange> &exchange) {
  const std::string_view target = net::toView(exchange->request().target());
  if (target == Settings.Health.MetricsPath) {
    net::HttpResponse out(net::http::status::ok, 11);
    out.set(net::http::field::content_type, "text/plain; version=0.0.4");
    out.body() = proxy::render(Counters) + proxy::render(Entry->versions()) +
                 render(StoreCalls);
    exchange->respond(std::move(out));
    return;
  }
  const bool isReady = HasConfiguration && !Draining;
  exchange->respond(net::HttpResponse(
      isReady ? net::http::status::ok : net::http::status::service_unavailable,
      11));
}

void Sidecar::waitForSignals() {
  Signals.async_wait([this](error_code ec, int number) {
    if (ec)
      return;
    if (number == SIGHUP) {
      reloadSettings();
      waitForSignals();
      return;
    }
    Log->write(logging::Level::Info, "stop_requested", {{"signal", number}});
    ControlPlane->beginDrain();
    boost::asio::post(TrafficLoop, [this] { beginDrain(); });
  });
}

void Sidecar::reloadSettings() {
  const auto next = Dependencies.ReadSettings();
  if (next)
    applySettings(*next, "signal");
  else
    Log->write(logging::Level::Error, "settings_unreadable",
               {{"cause", "signal"}, {"detail", next.error().Detail}});
}

void Sidecar::applySettings(const settings::SidecarSettings &next,
                            std::string_view cause) {
  Log->write(logging::Level::Info, "settings_reloaded", {{"cause", cause}});
  Log->setThreshold(next.LogLevel);
  boost::asio::post(TrafficLoop, [this, limits = entryLimitsOf(next)] {
    Entry->setLimits(limits);
  });
  Settings.LogLevel = next.LogLevel;
  Settings.Limits = next.Limits;
}

void Sidecar::pollSettings() {
  SettingsTimer.expires_after(SettingsInterval);
  SettingsTimer.async_wait([this](error_code ec) {
    if (ec)
      return;
    const auto next = Dependencies.ReadSettings();
    if (next && (next->LogLevel != Settings.LogLevel ||
                 !(next->Limits == Settings.Limits)))
      applySettings(*next, "file changed");
    pollSettings();
  });
}

void Sidecar::beginDrain() {
  if (Draining)
    return;
  const auto now = core::BootClock::now();
  Draining = true;
  const core::TimePoint end = now + Drain.requestDeadline();
  Entry->stopAt(end);
  Upstream->stopAt(end);
  // Makes other nodes close their connections, so that none of them sends a
  // request just as this node exits.
  PeerServer->beginDrain();
  continueDrain(now);
}

void Sidecar::refuseNewRequests() {
  if (CallerServer->isDraining())
    return;
  logOpenWork("drain_refuses");
  CallerServer->beginDrain();
  Entry->beginDrain();
  Upstream->beginDrain();
}

void Sidecar::failRemainingRequests() {
  logOpenWork("drain_concluded");
  // A request on a new connection could not be answered before the exit.
  CallerServer->stopAccepting();
  Entry->failOpenRequests();
  Peers->refuseWaiting();
  Upstream->refuseWaiting();
}

void Sidecar::refuseConnections() {
  CallerServer->stopAccepting();
  PeerServer->stopAccepting();
}

DrainLoad Sidecar::drainLoad() const {
  if (!CallerServer->isIdle() || !PeerServer->isIdle())
    return DrainLoad::Requests;
  return PeerServer->connections() > 0 ? DrainLoad::Connections
                                       : DrainLoad::Nothing;
}

void Sidecar::logOpenWork(std::string_view event) {
  Log->write(logging::Level::Info, event,
             {{"requests", Counters.Requests},
              {"in_flight", CallerServer->inFlight()},
              {"orders", PeerServer->inFlight()},
              {"callers", CallerServer->connections()},
              {"peers", PeerServer->connections()}});
}

void Sidecar::continueDrain(core::TimePoint started) {
  // Armed first, so that the drain continues if a handler below throws.
  DrainTimer.expires_after(DrainInterval);
  DrainTimer.async_wait([this, started](error_code ec) {
    if (!ec)
      continueDrain(started);
  });
  switch (Drain.next(core::BootClock::now() - started, drainLoad())) {
  case DrainStep::Serve:
    break;
  case DrainStep::Refuse:
    refuseNewRequests();
    break;
  case DrainStep::FailRequests:
    refuseNewRequests();
    failRemainingRequests();
    break;
  case DrainStep::Close:
    refuseNewRequests();
    refuseConnections();
    break;
  case DrainStep::Stop:
    stop();
    break;
  }
}

void Sidecar::stop() {
  logOpenWork("stopped");
  ControlLoop.stop();
  TrafficLoop.stop();
}

void Sidecar::run() {
  Log->write(logging::Level::Info, "started",
             {{"service", Settings.Node.Service},
              {"data_centre", Settings.Node.DataCentre},
              {"callers", core::toString(Settings.Callers.Listen)}});
  waitForSignals();
  pollSettings();
  if (Settings.Rollout.Share > 0)
    passVersionCounts();
  std::thread control([this] {
    net::runLoop(ControlLoop, [this](std::string_view what) {
      // Control state may be inconsistent. A new process rebuilds it.
      logHandlerFailure("control", what);
      boost::asio::post(TrafficLoop, [this] { beginDrain(); });
      return net::AfterFailure::Stop;
    });
  });
  net::runLoop(TrafficLoop, [this](std::string_view what) {
    // Requests are independent of each other, and each has a deadline.
    logHandlerFailure("traffic", what);
    return net::AfterFailure::Continue;
  });
  control.join();
}

void Sidecar::passVersionCounts() {
  VersionTimer.expires_after(VersionCountInterval);
  VersionTimer.async_wait([this](error_code ec) {
    if (ec)
      return;
    passVersionCounts();
    boost::asio::post(ControlLoop,
                      [this, counts = Entry->versions().reports()]() mutable {
                        ControlPlane->setVersionCounts(std::move(counts));
                      });
  });
}

void Sidecar::logHandlerFailure(std::string_view thread,
                                std::string_view what) {
  Log->write(logging::Level::Error, "handler_failed",
             {{"thread", thread}, {"detail", what}});
}

} // namespace acaciaroad::sidecar
