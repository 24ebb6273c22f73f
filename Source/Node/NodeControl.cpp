// The part of Node that joins the control thread to log, peers and traffic.

#include <algorithm>
#include <future>
#include <utility>

#include "Codec/ControlCodec.h"
#include "Codec/LogCodec.h"
#include "Core/WallClock.h"
#include "Node/Node.h"

namespace acaciaroad::node {

using logging::Level;

namespace {

/// Longest wait of an operator's change for its record.
constexpr std::chrono::seconds SubmitWait{8};

} // namespace

ControlStateHooks Node::controlHooks() {
  ControlStateHooks hooks;
  hooks.Send = [this](std::string_view address,
                      const codec::PeerControl &message) {
    sendControl(address, message);
  };
  hooks.Append = [this](const codec::LogEntry &entry,
                        std::function<void()> onFailed) {
    append(entry, std::move(onFailed));
  };
  hooks.Publish = [this](std::shared_ptr<const NodeView> view) {
    publish(std::move(view));
  };
  hooks.ReleaseSlices = [this](std::span<const core::SliceId> slices) {
    releaseSlices(slices);
  };
  hooks.ReleaseIds = [this](const core::SliceId &slice, core::Epoch epoch) {
    return Idempotency->release(slice, epoch);
  };
  hooks.ImportIds = [this](const requests::IdempotencyHandover &handover) {
    return Idempotency->import(handover);
  };
  hooks.TellIds = [this](const core::SliceId &slice, core::Epoch epoch) {
    Idempotency->tellAll(slice, epoch);
  };
  hooks.RetellIds = [this] { Idempotency->retell(); };
  hooks.AreIdsWitnessed = [this](const core::SliceId &slice) {
    return Idempotency->isWitnessed(slice);
  };
  hooks.AreAllIdsWitnessed = [this] { return Idempotency->areAllWitnessed(); };
  hooks.Log = std::make_shared<PlacementLog>(Logger);
  hooks.DeliverToTraffic = [this](const codec::ControlBody &body) {
    deliverToTraffic(body);
  };
  hooks.OnOffset = [this](core::InstanceId id, core::Offset next) {
    Offsets.report(id, next);
  };
  hooks.Now = [] { return core::BootClock::now(); };
  return hooks;
}

core::TimePoint Node::onTick(core::TimePoint now) {
  core::TimePoint next = State->onTick(now);
  onUpstreamState(Monitor.onTick(now));
  if (const auto due = Monitor.nextDeadline())
    next = std::min(next, *due);
  if (now >= NextTotals)
    cutTotals(now);
  next = std::min(next, NextTotals);
  const std::lock_guard lock(Mutex);
  if (State->isCurrent() != IsCurrent || State->hasLeft() != HasLeft) {
    IsCurrent = State->isCurrent();
    HasLeft = State->hasLeft();
    Changed.notify_all();
  }
  return next;
}

void Node::onUpstreamState(UpstreamMonitor::State state) {
  if (state == std::exchange(UpstreamState, state))
    return;
  using Phase = UpstreamMonitor::State;
  Logger->write(Level::Info, "upstream_state",
                {{"state", static_cast<int>(state)}});
  if (state == Phase::Silent || state == Phase::Gone)
    Admission->left();
  if (state == Phase::Gone)
    State->beginLeave();
}

void Node::publish(std::shared_ptr<const NodeView> view) {
  Idempotency->setWitnesses(State->agent().witnessSets());
  View->store(std::move(view));
  ViewChanges->notify();
}

void Node::releaseSlices(std::span<const core::SliceId> slices) {
  const auto upstream = Admission->upstream();
  std::vector<core::SliceIndex> served;
  std::vector<core::SliceId> idle;
  for (const core::SliceId &it : slices) {

    if (upstream && it.Service == upstream->Service)
      served.push_back(it.Index);
    else
      idle.push_back(it);
  }
  Admission->releaseSlices(served);
  if (!idle.empty())
    Control->post([this, idle] { State->onSlicesIdle(idle); });
}

void Node::deliverToTraffic(const codec::ControlBody &body) {
  if (const auto *grant = std::get_if<accounts::CreditGrant>(&body))
    Credit->granted(*grant);
  const auto *ack = std::get_if<requests::IdempotencyAck>(&body);
  if (ack != nullptr && Idempotency->acked(*ack))
    Control->post([this] { State->onIdsWitnessed(); });
}

// Peers.

void Node::onControlMessage(const wire::PeerMessageView &message) {
  auto decoded = codec::decodeControl(message.Header);
  if (!decoded) {
    ++CorruptMessages;
    return;
  }
  // Answers that a traffic thread waits for take no detour.
  if (std::holds_alternative<accounts::CreditGrant>(decoded->Body) ||
      std::holds_alternative<requests::IdempotencyAck>(decoded->Body)) {
    deliverToTraffic(decoded->Body);
    return;
  }
  Control->post([this, control = std::move(*decoded),
                 address = std::string(message.ReplyAddress)] {
    State->onControl(control, address);
  });
}

void Node::sendControl(std::string_view address,
                       const codec::PeerControl &message) {
  (void)Peers->sendControl(address, codec::encode(message));
}

void Node::sendToInstance(core::InstanceId to, codec::ControlBody body) {
  codec::PeerControl message{Self, std::move(body)};
  if (to == Self) {
    Control->post([this, message = std::move(message)] {
      State->onControl(message, {});
    });
    return;
  }
  const auto view = View->load();
  if (const auto info = view->Ownership->fleet().instance(to))
    sendControl(info->PeerAddress, message);
}

void Node::sendToAccountOwner(const std::string &account,
                              codec::ControlBody body) {
  const auto view = View->load();
  const auto owner = view->Ownership->ownerOf(ownership::AccountsService,
                                              core::hashOf(account));
  if (owner)
    sendToInstance(owner->Instance, std::move(body));
}

// Log.

void Node::onBatch(const platform::LogBatch &batch) {
  // A fold with a gap would differ from that of other readers.
  if (HasLogGap)
    return;
  std::vector<PlacedEntry> entries;
  for (const platform::LogRecord &it : batch.Records) {
    auto entry = codec::decode(std::as_bytes(std::span(it.Payload)));
    if (entry)
      entries.push_back({it.Offset, std::move(*entry)});
    else
      ++CorruptEntries;
  }
  // A batch that is not full ended at the end of the log.
  const bool isCurrent =
      batch.Records.size() < platform::LogFollowerOptions{}.MaxRecords;
  Control->post([this, entries = std::move(entries), next = batch.Next,
                 isCurrent] { State->onEntries(entries, next, isCurrent); });
}

void Node::append(const codec::LogEntry &entry,
                  std::function<void()> onFailed) {
  const std::string bytes = codec::encode(entry);
  const auto failed = std::make_shared<std::function<void()>>(
      [this, onFailed = std::move(onFailed)] { Control->post(onFailed); });
  const auto submitted =
      Writer->submit(Settings.Log.Stream, std::as_bytes(std::span(bytes)),
                     [failed](const core::Result<core::Offset> &outcome) {
                       if (!outcome && outcome.error().Kind !=
                                           core::ErrorKind::LogOutcomeUnknown)
                         (*failed)();
                     });
  if (!submitted)
    (*failed)();
}

core::Result<core::Offset> Node::submit(const codec::LogEntry &entry) {
  const auto promise =
      std::make_shared<std::promise<core::Result<core::Offset>>>();
  auto future = promise->get_future();
  Control->post([this, entry, promise] {
    State->submit(entry, [promise](core::Result<core::Offset> outcome) {
      promise->set_value(std::move(outcome));
    });
  });
  if (future.wait_for(SubmitWait) != std::future_status::ready)
    return core::fail(core::ErrorKind::LogOutcomeUnknown);
  return future.get();
}

void Node::cutTotals(core::TimePoint now) {
  NextTotals = now + Settings.TotalsInterval;
  appendTotals([](const core::Result<core::Offset> &) {});
}

void Node::appendTotals(const platform::AppendHandler &onDone) {
  const auto record = Totals.cut(core::unixMilliseconds());
  if (!record) {
    onDone(core::Offset{0});
    return;
  }
  const std::string bytes = codec::encode(codec::LogEntry(*record));
  const auto submitted = Writer->submit(
      Settings.Log.Stream + ".totals", std::as_bytes(std::span(bytes)), onDone);
  if (!submitted)
    onDone(tl::unexpected(submitted.error()));
}

void Node::flushTotals() {
  const auto done = std::make_shared<std::promise<bool>>();
  auto isDone = done->get_future();
  appendTotals([done](const core::Result<core::Offset> &outcome) {
    done->set_value(outcome.has_value());
  });
  const bool isAppended =
      isDone.wait_for(FlushTimeout) == std::future_status::ready &&
      isDone.get();
  if (!isAppended)
    Logger->write(Level::Warning, "totals_lost", {});
}

} // namespace acaciaroad::node
