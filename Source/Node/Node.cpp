#include "Node/Node.h"

#include <array>
#include <utility>

#include "Core/WallClock.h"
#include "Node/ForwardAdapter.h"

namespace acaciaroad::node {

using logging::Level;

namespace {

/// Queue bounds of requests that wait for the upstream.
const upstream::FairQueueLimits QueueLimits{};

core::TimePoint bootNow() { return core::BootClock::now(); }

} // namespace

core::Result<std::shared_ptr<Node>>
Node::create(const settings::NodeSettings &settings) {
  std::shared_ptr<Node> node(new Node(settings));
  if (auto started = node->start(); !started)
    return tl::unexpected(started.error());
  return node;
}

Node::Node(const settings::NodeSettings &settings)
    : Settings(settings), Self{core::randomId()},
      View(std::make_shared<PublishedView>()),
      ViewChanges(std::make_shared<ViewWaiter>()),
      Traffic(std::make_shared<TrafficState>(settings.Node.DataCentre)),
      Totals(Self, core::unixMilliseconds()) {}

core::Result<void> Node::start() {
  // Serving plain HTTP in spite of the setting would send keys in the clear.
  if (!Settings.Callers.CertificateFile.empty())
    return core::fail(core::ErrorKind::InvalidSettings,
                      "callers.certificate_file: TLS is not supported yet");
  using Step = core::Result<void> (Node::*)();
  constexpr std::array<Step, 5> Steps{&Node::startLogger, &Node::startGates,
                                      &Node::startPeers, &Node::startControl,
                                      &Node::startAdministration};
  for (const Step it : Steps)
    if (auto done = (this->*it)(); !done)
      return done;
  return startLog();
}

core::Result<void> Node::startLogger() {
  logging::LoggerOptions options;
  options.Instance = Settings.Node.Name;
  options.Threshold = Settings.LogLevel;
  auto logger = logging::Logger::create(std::move(options));
  if (!logger)
    return tl::unexpected(logger.error());
  Logger = *logger;
  Decisions = std::make_shared<DecisionLog>(Logger);
  return {};
}

core::Result<void> Node::startGates() {
  AdmissionGateHooks admission;
  admission.Now = bootNow;
  admission.OnSlicesIdle = [this](std::span<const core::SliceIndex> idle) {
    const auto upstream = Admission->upstream();
    std::vector<core::SliceId> slices;
    for (const core::SliceIndex it : idle)
      slices.push_back({upstream ? upstream->Service : "", it});
    Control->post([this, slices] { State->onSlicesIdle(slices); });
  };
  auto gate = AdmissionGate::create(QueueLimits, std::move(admission));
  if (!gate)
    return tl::unexpected(gate.error());
  Admission = *gate;

  CreditGateHooks credit;
  credit.Now = bootNow;
  credit.Ask = [this](const accounts::CreditAsk &ask) {
    sendToAccountOwner(ask.Account, ask);
  };
  credit.Return = [this](const accounts::CreditReturn &message) {
    sendToAccountOwner(message.Account, message);
  };
  auto creditGate = CreditGate::create(Self, std::move(credit));
  if (!creditGate)
    return tl::unexpected(creditGate.error());
  Credit = *creditGate;

  IdempotencyGateHooks idempotency;
  idempotency.Now = bootNow;
  idempotency.Tell = [this](core::InstanceId to,
                            const requests::IdempotencyTell &message) {
    sendToInstance(to, message);
  };
  idempotency.Forget = [this](core::InstanceId to,
                              const requests::IdempotencyForget &message) {
    sendToInstance(to, message);
  };
  auto idempotencyGate = IdempotencyGate::create(Self, std::move(idempotency));
  if (!idempotencyGate)
    return tl::unexpected(idempotencyGate.error());
  Idempotency = *idempotencyGate;
  return {};
}

core::Result<void> Node::startPeers() {
  wire::PeerEndpointOptions options;
  options.Transport.Self = Self;
  options.Transport.ListenAddress = core::toString(Settings.Peers.Listen);
  if (Settings.Peers.Advertise.Port != 0)
    options.Transport.AdvertisedAddress =
        core::toString(Settings.Peers.Advertise);
  if (!Settings.Peers.CurvePublicKey.empty())
    options.Transport.Connection.Curve = wire::CurveKeys{
        Settings.Peers.CurvePublicKey, Settings.Peers.CurveSecretKey};
  options.Pool.Threads = Settings.Traffic.Workers;
  wire::PeerEndpointHooks hooks;
  hooks.OnControl = [this](const wire::PeerMessageView &message) {
    onControlMessage(message);
  };
  hooks.OnControlLost = [](std::string_view) {};
  hooks.OnCall = [this](const std::shared_ptr<wire::ForwardCall> &call) {
    serveCall(*Orders, call);
  };
  makeServices();
  auto control = ControlThread::create(
      {[this](core::TimePoint now) { return onTick(now); }, bootNow});
  if (!control)
    return tl::unexpected(control.error());
  Control = *control;
  auto peers = wire::PeerEndpoint::create(std::move(options), std::move(hooks));
  if (!peers)
    return tl::unexpected(peers.error());
  Peers = *peers;
  return {};
}

void Node::makeServices() {
  OrderServiceParts orders;
  orders.View = View;
  orders.Gate = Admission;
  orders.Idempotency = Idempotency;
  orders.Decisions = Decisions;
  orders.Send = [this](std::string_view address, const Order &order,
                       const AnswerSink &sink) {
    return Upstream.send(address, order, sink);
  };
  orders.Now = bootNow;
  Orders = std::make_unique<OrderService>(std::move(orders));

  EntryServiceParts entries;
  entries.View = View;
  entries.ViewChanges = ViewChanges;
  entries.Credit = Credit;
  entries.Traffic = Traffic;
  entries.Decisions = Decisions;
  entries.Open = [this](std::string_view address, wire::ForwardHead head,
                        std::span<const std::byte> body, bool complete) {
    return Peers->open(address, std::move(head), body, complete);
  };
  entries.OnEnded = [this](const RequestSummary &summary) {
    administration::RequestOutcome outcome;
    outcome.Account = summary.Account;
    outcome.Class = summary.WorkClass;
    outcome.Refused = summary.Refusal;
    outcome.Latency = summary.Latency;
    outcome.BytesIn = summary.BytesIn;
    outcome.BytesOut = summary.BytesOut;
    Totals.add(outcome);
  };
  entries.Now = bootNow;
  Entries = std::make_unique<EntryService>(std::move(entries));
}

core::Result<void> Node::startControl() {
  ownership::InstanceInfo info;
  info.Id = Self;
  info.Name = Settings.Node.Name;
  info.DataCentre = Settings.Node.DataCentre;
  info.Rack = Settings.Node.Rack;
  info.PeerAddress = Peers->address();
  info.HttpAddress = core::toString(Settings.Callers.Listen);
  ownership::AgentOptions options;
  options.Lease.Length = Settings.Lease.Length;
  options.Lease.RenewInterval = Settings.Lease.Renew;
  auto state = ControlState::create(options, std::move(info), controlHooks());
  if (!state)
    return tl::unexpected(state.error());
  State = std::move(*state);
  NextTotals = bootNow() + Settings.TotalsInterval;
  // Publishes the first view before any traffic thread can ask for it.
  (void)State->onTick(bootNow());
  Control->start();
  return {};
}

core::Result<void> Node::startLog() {
  platform::LogClientOptions options;
  options.Address = core::toString(Settings.Log.Address);
  auto client = platform::LogClient::create(options);
  if (!client)
    return tl::unexpected(client.error());
  Log = *client;
  platform::LogWriterOptions writerOptions;
  writerOptions.Client = Log;
  auto writer = platform::LogWriter::create(std::move(writerOptions));
  if (!writer)
    return tl::unexpected(writer.error());
  Writer = *writer;

  platform::LogFollowerOptions follow;
  follow.Client = Log;
  follow.Stream = Settings.Log.Stream;
  follow.OnBatch = [this](const platform::LogBatch &batch) { onBatch(batch); };
  follow.OnTrimmed = [this](core::Offset first) {
    Logger->write(Level::Error, "log_trimmed", {{"first", first}});
    HasLogGap = true;
    requestStop();
  };
  follow.OnReachable = [this](bool isReachable) {
    IsLogReachable = isReachable;
    Logger->write(Level::Warning, "log_reachable", {{"value", isReachable}});
    Control->post([this, isReachable] { State->onLogReachable(isReachable); });
  };
  auto follower = platform::LogFollower::create(std::move(follow));
  if (!follower)
    return tl::unexpected(follower.error());
  Follower = *follower;
  return {};
}

core::Result<void> Node::startAdministration() {
  std::vector<administration::TokenSetting> tokens;
  for (const settings::AccessToken &it : Settings.Administration.Tokens)
    tokens.push_back(
        {it.Name,
         it.TokenRole == settings::Role::Operator ? "operator" : "viewer",
         it.Sha256});
  auto checked = administration::OperatorTokens::create(tokens);
  if (!checked)
    return tl::unexpected(checked.error());
  auto api = administration::AdministrationApi::create(
      administrationHooks(), std::move(*checked),
      {Settings.Administration.Listen.Host});
  if (!api)
    return tl::unexpected(api.error());
  auto server = administration::AdministrationServer::create(
      Settings.Administration.Listen, *api);
  if (!server)
    return tl::unexpected(server.error());
  Administration = std::move(*server);
  return {};
}

core::Result<void> Node::startCallers() {
  http::CallerServerOptions options;
  options.Host = Settings.Callers.Listen.Host;
  options.Port = Settings.Callers.Listen.Port;
  options.Threads = Settings.Callers.Threads;
  options.Connections.Limit = Settings.Callers.MaxConnections;
  auto server = http::CallerServer::create(
      options, [this](const std::shared_ptr<http::Exchange> &exchange) {
        serveExchange(*Entries, exchange);
      });
  if (!server)
    return tl::unexpected(server.error());
  Callers = std::move(*server);
  return {};
}

Node::~Node() {
  if (Follower)
    Follower->stop();
  if (Administration)
    Administration->stop();
  if (Callers)
    Callers->stop();
  if (Peers)
    Peers->stop();
  if (Credit)
    Credit->stop();
  if (Control)
    Control->stop();
  if (Writer)
    Writer->stop();
}

// Running.

void Node::requestStop() {
  const std::lock_guard lock(Mutex);
  IsStopWanted = true;
  Changed.notify_all();
}

void Node::awaitStart() {
  std::unique_lock lock(Mutex);
  Changed.wait(lock, [this] { return IsCurrent || IsStopWanted || HasLeft; });
}

ExitReason Node::run() {
  Logger->write(Level::Info, "node_start",
                {{"data_centre", Settings.Node.DataCentre},
                 {"instance_id", core::toString(Self)},
                 {"peers", Peers->address()},
                 {"boot_ns", core::toNanoseconds(core::BootClock::now())}});
  awaitStart();
  if (HasLogGap)
    return ExitReason::LogGap;
  if (auto started = startCallers(); !started)
    Logger->write(Level::Error, "callers_failed",
                  {{"detail", started.error().Detail}});
  bool isStopWanted = false;
  {
    std::unique_lock lock(Mutex);
    Changed.wait(lock, [this] { return IsStopWanted || HasLeft; });
    isStopWanted = IsStopWanted;
  }
  leave();
  Logger->write(Level::Info, "node_stop", {});
  if (HasLogGap)
    return ExitReason::LogGap;
  return isStopWanted ? ExitReason::Stopped : ExitReason::Retired;
}

void Node::leave() {
  Control->post([this] { State->beginLeave(); });
  {
    std::unique_lock lock(Mutex);
    Changed.wait_for(lock, LeaveTimeout, [this] { return HasLeft; });
  }
  // Peers send nothing more once they have read that this instance left; what
  // they sent before is finished here.
  if (Callers)
    Callers->stop();
  Peers->stop();
  Credit->stop();
  flushTotals();
}

} // namespace acaciaroad::node
