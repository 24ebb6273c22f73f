#include "Upstream/Admission.h"

#include <algorithm>

namespace acaciaroad::upstream {

using core::ErrorKind;

namespace {

Decision started() { return {AdmissionStatus::Start, {}}; }

Decision refused(ErrorKind reason) {
  return {AdmissionStatus::Refused, reason};
}

} // namespace

core::Result<std::unique_ptr<Admission>>
Admission::create(FairQueueLimits limits, AdmissionHooks hooks) {
  if (!hooks.OnStart || !hooks.OnRefused)
    return core::fail(
        ErrorKind::InvalidArgument,
        "admission control needs both hooks, OnStart and OnRefused");
  std::unique_ptr<Admission> out(new Admission(std::move(hooks)));
  Admission *self = out.get();
  auto queue = FairQueue::create(
      limits, [self](Ticket id) { self->refuse(id, ErrorKind::QueueFull); });
  if (!queue)
    return tl::unexpected(queue.error());
  out->Queue.emplace(std::move(*queue));
  return out;
}

Admission::Admission(AdmissionHooks hooks) : Hooks(std::move(hooks)) {}

void Admission::setUpstream(const UpstreamAnnouncement &upstream,
                            core::TimePoint now) {
  const bool isNewProcess = !Upstream || Upstream->BootId != upstream.BootId;
  const bool announcesColdStart = Upstream && !Upstream->Cold && upstream.Cold;
  const std::uint32_t previousHardLimit = Upstream ? hardLimit() : 0;
  const bool wasWarm = !isCold();
  Upstream = upstream;
  if (hardLimit() == 0) {
    removeUpstream(now);
    return;
  }
  if (isNewProcess)
    ++Generation;
  // Slots that weren't verified yet need a new ramp.
  const bool exceedsVerifiedSlots =
      wasWarm ? hardLimit() > VerifiedSlots : hardLimit() != previousHardLimit;
  if (isNewProcess || announcesColdStart || exceedsVerifiedSlots)
    enterColdStart(now);
  startQueued(now);
}

void Admission::removeUpstream(core::TimePoint /*now*/) {
  Upstream.reset();
  while (const auto id = Queue->pop())
    refuse(*id, ErrorKind::NoUpstream);
}

void Admission::beginDrain() { Draining = true; }

Decision Admission::offer(const Offer &offer, core::TimePoint now) {
  if (Draining)
    return refused(ErrorKind::NodeStopping);
  if (!Upstream)
    return refused(ErrorKind::NoUpstream);
  if (Requests.contains(offer.Id))
    return refused(ErrorKind::DuplicateRequest);
  expire(now);
  const ClassIndex workClass = classOf(offer.WorkClass);
  if (!canFinish(offer, workClass, now))
    return refused(ErrorKind::DeadlineTooShort);
  if (Queue->size() > 0 || InFlight >= limit())
    return enqueue(offer, workClass);
  markStarted(addRequest(offer, workClass));
  return started();
}

bool Admission::canFinish(const Offer &offer, ClassIndex workClass,
                          core::TimePoint now) const {
  const core::Duration cost = Classes[workClass].Latency.mean();
  if (offer.Deadline <= now)
    return false;
  const std::uint32_t concurrencyLimit = limit();
  const bool waits = Queue->size() > 0 || InFlight >= concurrencyLimit;
  const core::Duration ahead =
      waits ? Queue->workAhead(offer.Account, cost) : core::Duration::zero();
  return now + ahead / concurrencyLimit + requiredServiceTime(workClass) <=
         offer.Deadline;
}

Decision Admission::enqueue(const Offer &offer, ClassIndex workClass) {
  const QueuedRequest request{offer.Id, workClass,
                              Classes[workClass].Latency.mean(),
                              offer.Deadline - requiredServiceTime(workClass)};
  if (!Queue->push(offer.Account, request))
    return refused(ErrorKind::QueueFull);
  addRequest(offer, workClass);
  return {AdmissionStatus::Queued, {}};
}

Admission::Request &Admission::addRequest(const Offer &offer,
                                          ClassIndex workClass) {
  Slices.add(offer.Slice);
  Request &request = Requests[offer.Id];
  request.Account = offer.Account;
  request.Class = workClass;
  request.Slice = offer.Slice;
  request.Cost = Classes[workClass].Latency.mean();
  return request;
}

void Admission::markStarted(Request &request) {
  request.Started = true;
  request.Generation = Generation;
  ++InFlight;
  ++Classes[request.Class].InFlight;
}

void Admission::forget(Ticket id) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  Slices.remove(it->second.Slice);
  Requests.erase(it);
}

void Admission::refuse(Ticket id, ErrorKind reason) {
  forget(id);
  Hooks.OnRefused(id, reason);
}

void Admission::finished(Ticket id, Outcome outcome, core::Duration serviceTime,
                         core::TimePoint now) {
  const auto it = Requests.find(id);
  if (it == Requests.end() || !it->second.Started)
    return;
  const Request &request = it->second;
  if (Upstream && request.Generation == Generation)
    recordOutcome(request, outcome, serviceTime, now);
  if (outcome == Outcome::Ok)
    Queue->charge(request.Account, serviceTime - request.Cost);
  --InFlight;
  --Classes[request.Class].InFlight;
  forget(id);
  startQueued(now);
}

void Admission::recordOutcome(const Request &request, Outcome outcome,
                              core::Duration serviceTime, core::TimePoint now) {
  switch (outcome) {
  case Outcome::Ok:
    recordAnswer(Classes[request.Class], serviceTime, now);
    return;
  case Outcome::Shed:
    Ramp->observeOverload(now);
    if (Ramp->isWarm() && Detector.shed(now))
      enterColdStart(now);
    AdaptiveLimit->observeShed(now);
    return;
  case Outcome::Failed:
    Ramp->observeOverload(now);
    if (Ramp->isWarm() && Detector.broken(now))
      enterColdStart(now);
    return;
  case Outcome::Cancelled:
    return;
  }
}

void Admission::recordAnswer(ClassState &state, core::Duration serviceTime,
                             core::TimePoint now) {
  const double ratio = state.Latency.ratio(serviceTime);
  const core::Duration mean = state.Latency.mean();
  state.Latency.observe(serviceTime, now);
  OverallLatency.observe(serviceTime, now);
  if (!Ramp->isWarm()) {
    Ramp->observe(ratio, InFlight, now);
    if (Ramp->isWarm())
      completeColdStart();
    return;
  }
  AdaptiveLimit->observe(ratio, InFlight, now);
  if (Detector.answered(serviceTime, mean))
    enterColdStart(now);
}

void Admission::enterColdStart(core::TimePoint now) {
  Ramp = ColdStartRamp::create(hardLimit(), now).value();
  AdaptiveLimit = ConcurrencyLimit::create(hardLimit()).value();
  Detector.reset();
  VerifiedSlots = 0;
}

void Admission::completeColdStart() {
  VerifiedSlots = hardLimit();
  AdaptiveLimit = ConcurrencyLimit::create(hardLimit()).value();
  Detector.reset();
}

bool Admission::cancel(Ticket id, core::TimePoint now) {
  if (!Queue->remove(id))
    return false;
  forget(id);
  expire(now);
  return true;
}

void Admission::refuseQueued(core::SliceIndex slice, ErrorKind reason) {
  std::vector<Ticket> ids;
  for (const auto &[id, request] : Requests)
    if (!request.Started && request.Slice == slice)
      ids.push_back(id);
  for (const Ticket id : ids)
    if (Queue->remove(id))
      refuse(id, reason);
}

std::optional<core::TimePoint> Admission::nextDeadline() const {
  return Queue->nextExpiry();
}

void Admission::expire(core::TimePoint now) {
  while (const auto id = Queue->popExpired(now))
    refuse(*id, ErrorKind::DeadlineTooShort);
}

void Admission::startQueued(core::TimePoint now) {
  expire(now);
  while (InFlight < limit()) {
    const auto id = Queue->pop();
    if (!id)
      return;
    markStarted(Requests.at(*id));
    Hooks.OnStart(*id);
  }
}

ClassIndex Admission::classOf(std::string_view name) {
  const auto it = ClassNames.find(name);
  if (it != ClassNames.end())
    return it->second;
  const auto index = static_cast<ClassIndex>(Classes.size());
  Classes.emplace_back();
  ClassNames.emplace(name, index);
  return index;
}

core::Duration Admission::requiredServiceTime(ClassIndex workClass) const {
  const ClassState &state = Classes[workClass];
  // With none in flight the mean may be out of date. Admitting one request
  // updates it.
  if (state.InFlight == 0)
    return core::Duration::zero();
  return state.Latency.mean();
}

std::uint32_t Admission::hardLimit() const {
  return std::min(Upstream->Slots, Upstream->Connections);
}

std::uint32_t Admission::limit() const {
  if (!Upstream)
    return 0;
  return std::min({hardLimit(), AdaptiveLimit->current(),
                   Ramp->isWarm() ? hardLimit() : Ramp->limit()});
}

bool Admission::isCold() const { return !Ramp || !Ramp->isWarm(); }

bool Admission::isIdle(core::SliceIndex slice) const {
  return Slices.count(slice) == 0;
}

std::uint32_t Admission::inFlight() const { return InFlight; }

std::uint32_t Admission::queued() const { return Queue->size(); }

const std::optional<UpstreamAnnouncement> &Admission::upstream() const {
  return Upstream;
}

LoadReport Admission::loadReport() const {
  return {InFlight, Queue->size(), Draining ? 0 : limit(),
          OverallLatency.mean()};
}

} // namespace acaciaroad::upstream
