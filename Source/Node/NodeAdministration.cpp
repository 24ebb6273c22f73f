// The part of Node that the administration API calls.

#include <algorithm>
#include <future>

#include <fmt/format.h>

#include "Codec/LogCodec.h"
#include "Core/WallClock.h"
#include "Node/Node.h"

namespace acaciaroad::node {

using administration::FleetStatus;
using administration::InForceReport;
using administration::OwnerReport;

namespace {

/// Longest wait of an administration thread for the control thread.
constexpr std::chrono::seconds ControlWait{5};

/// Interval between two questions how far instances have folded the log.
constexpr std::chrono::seconds QueryRepeat{1};

/// Names of instances in an InForceReport.
constexpr std::size_t MaxMissingNames = 10;

/// Runs \p query on the control thread and returns its result; a default one
/// if the thread does not answer in time.
template <typename T>
T askControl(ControlThread &control, std::function<T()> query) {
  const auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  control.post(
      [promise, query = std::move(query)] { promise->set_value(query()); });
  if (future.wait_for(ControlWait) != std::future_status::ready)
    return T{};
  return future.get();
}

std::string_view toString(ownership::InstanceStatus status) {
  switch (status) {
  case ownership::InstanceStatus::Live:
    return "live";
  case ownership::InstanceStatus::Leaving:
    return "leaving";
  case ownership::InstanceStatus::Lost:
    break;
  }
  return "lost";
}

} // namespace

administration::AdministrationHooks Node::administrationHooks() {
  administration::AdministrationHooks hooks;
  hooks.Submit = [this](const codec::LogEntry &it) { return submit(it); };
  hooks.View = [this] { return View->load()->Configuration; };
  hooks.Status = [this] { return status(); };
  hooks.FindOwner = [this](std::string_view service, std::string_view key) {
    return findOwner(service, key);
  };
  hooks.InForce = [this](core::Offset offset, std::chrono::milliseconds wait) {
    return inForce(offset, wait);
  };
  hooks.Totals = [this](const administration::DayRange &range) {
    return totals(range);
  };
  hooks.SetLogLevel = [this](std::string_view name) -> core::Result<void> {
    const auto level = logging::levelFromName(name);
    if (!level)
      return core::fail(core::ErrorKind::InvalidArgument, "unknown level");
    Logger->setThreshold(*level);
    return {};
  };
  hooks.Announce = [this](const upstream::UpstreamAnnouncement &it) {
    return announced(it);
  };
  hooks.UpstreamLeave = [this]() -> core::Result<void> {
    Control->post([this] { Monitor.left(); });
    return {};
  };
  hooks.Metrics = [this] { return metrics(); };
  hooks.OnChange = [this](const administration::ChangeEvent &event) {
    Logger->write(logging::Level::Info, "change",
                  {{"operator", event.Operator},
                   {"method", event.Method},
                   {"path", event.Path},
                   {"outcome", event.Outcome},
                   {"offset", event.Offset}});
  };
  hooks.UnixMilliseconds = [] { return core::unixMilliseconds(); };
  hooks.Random = configuration::systemRandom;
  return hooks;
}

core::Result<void>
Node::announced(const upstream::UpstreamAnnouncement &announcement) {
  using Verdict = core::Result<void>;
  const core::TimePoint now = core::BootClock::now();
  Verdict verdict =
      askControl<Verdict>(*Control, [this, announcement, now]() -> Verdict {
        if (auto taken = Monitor.announced(announcement, now); !taken)
          return taken;
        State->announced(announcement.Service, announcement.ChecksGrants);
        return {};
      });
  if (!verdict)
    return verdict;
  Upstream.setConnectionLimit(announcement.Connections);
  Admission->announced(announcement);
  return {};
}

FleetStatus Node::status() {
  return askControl<FleetStatus>(*Control, [this] {
    FleetStatus out;
    out.Self = Self;
    out.SelfName = Settings.Node.Name;
    out.NextOffset = State->nextOffset();
    out.LogReachable = IsLogReachable;
    out.LeaseHeld = State->agent().leaseExpiry() > core::BootClock::now();
    const ownership::FleetMap &map = State->agent().map();
    for (const auto &[id, state] : map.instances()) {
      administration::InstanceLine line;
      line.Id = id;
      line.Name = state.Info->Name;
      line.DataCentre = state.Info->DataCentre;
      line.Service = state.Info->Service;
      line.HttpAddress = state.Info->HttpAddress;
      line.State = toString(state.Status);
      line.WitnessVersion = state.WitnessVersion;
      line.Slices = map.slicesOf(id).size();
      line.NextOffset = Offsets.nextOf(id);
      line.Reachable = line.NextOffset > 0 || id == Self;
      out.Instances.push_back(std::move(line));
    }
    for (const auto &[name, instances] : map.dataCentreSizes()) {
      const auto centre = map.dataCentre(name);
      out.DataCentres.push_back(
          {name, centre.Version, centre.SharePermille, instances});
    }
    return out;
  });
}

core::Result<OwnerReport> Node::findOwner(std::string_view service,
                                          std::string_view key) {
  using Report = core::Result<OwnerReport>;
  const auto hash = core::hashOf(key);
  return askControl<Report>(
      *Control, [this, service = std::string(service), hash]() -> Report {
        const ownership::FleetMap &map = State->agent().map();
        const auto owner = map.ownerOf(service, hash);
        if (!owner)
          return core::fail(core::ErrorKind::NotFound, "unknown service");
        OwnerReport out;
        out.Slice = owner->Slice;
        out.Epoch = owner->Epoch;
        out.Owner = owner->Instance;
        if (const auto *state = map.instance(owner->Instance)) {
          out.OwnerName = state->Info->Name;
          out.HttpAddress = state->Info->HttpAddress;
        }
        if (const auto ref = map.refOf(owner->Slice))
          for (const auto &it : map.slice(*ref)->Predecessors)
            out.WaitsFor.push_back(it.Id);
        out.Serving = out.Owner && out.WaitsFor.empty();
        out.Reason = out.Serving ? "The slice is assigned to this instance."
                                 : "The owner waits for former owners.";
        return out;
      });
}

InForceReport Node::inForce(core::Offset offset,
                            std::chrono::milliseconds wait) {
  struct Live {
    std::vector<core::InstanceId> Ids;
    std::unordered_map<core::InstanceId, std::string> Names;
  };
  const auto query = [this, offset] {
    State->queryOffsets(offset);
    Live out;
    const ownership::FleetMap &map = State->agent().map();
    for (const auto &[id, state] : map.instances()) {
      if (!map.holdsLease(id))
        continue;
      out.Ids.push_back(id);
      out.Names.emplace(id, state.Info->Name);
    }
    return out;
  };
  // Questions and answers may be lost, and instances may come and go.
  const auto deadline = core::BootClock::now() + wait;
  Live live;
  std::vector<core::InstanceId> missing;
  do {
    live = askControl<Live>(*Control, query);
    missing =
        Offsets.await(live.Ids, offset,
                      std::min(deadline, core::BootClock::now() +
                                             core::Duration(QueryRepeat)));
  } while (!missing.empty() && core::BootClock::now() < deadline);
  InForceReport out;
  out.Offset = offset;
  out.LiveInstances = live.Ids.size();
  out.Applied = live.Ids.size() - missing.size();
  for (const core::InstanceId it : missing)
    if (out.Missing.size() < MaxMissingNames)
      out.Missing.push_back(live.Names.at(it));
  return out;
}

core::Result<administration::DayTotals>
Node::totals(const administration::DayRange &range) {
  const std::string stream = Settings.Log.Stream + ".totals";
  const auto bounds = Log->bounds(stream);
  if (!bounds)
    return tl::unexpected(bounds.error());
  administration::DayTotals out(range);
  for (core::Offset next = bounds->First; next < bounds->Next;) {
    const auto batch = Log->read(stream, next, core::Duration::zero(),
                                 platform::LogFollowerOptions{}.MaxRecords);
    if (!batch)
      return tl::unexpected(batch.error());
    for (const platform::LogRecord &it : batch->Records) {
      const auto entry = codec::decode(std::as_bytes(std::span(it.Payload)));
      if (!entry)
        continue;
      if (const auto *record =
              std::get_if<administration::TotalsRecord>(&*entry))
        out.fold(*record);
    }
    if (batch->Next <= next)
      break;
    next = batch->Next;
  }
  return out;
}

std::string Node::metrics() const {
  std::string out;
  const auto add = [&](std::string_view name, auto value) {
    out += fmt::format("acaciaroad_{} {}\n", name, value);
  };
  const auto load = Admission->loadReport();
  add("upstream_in_flight", load.InFlight);
  add("upstream_queued", load.Queued);
  add("upstream_limit", load.Limit);
  add("log_reachable", IsLogReachable ? 1 : 0);
  add("log_corrupt_entries_total", CorruptEntries.load());
  add("peer_corrupt_messages_total", CorruptMessages.load());
  add("log_lines_dropped_total", Logger->droppedLines());
  const auto transport = Peers->transportCounters();
  add("peer_sent_total", transport.Sent);
  add("peer_received_total", transport.Received);
  add("peer_wakeups_total", transport.WakeUps);
  const auto appends = Writer->counts();
  add("log_appends_total", appends.Appended);
  add("log_appends_failed_total", appends.Failed);
  add("log_appends_unknown_total", appends.Unknown);
  return out;
}

} // namespace acaciaroad::node
