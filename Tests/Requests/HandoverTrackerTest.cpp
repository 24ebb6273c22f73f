#include "Requests/HandoverTracker.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::requests;
using namespace std::chrono_literals;

namespace {

const core::SliceId Slice{"quotas", 3};
const core::SliceId OtherSlice{"quotas", 4};
constexpr core::Epoch GainedEpoch = 7;
constexpr core::InstanceId Self{1};
constexpr core::InstanceId Former{2};
constexpr core::InstanceId Earlier{3};
constexpr core::InstanceId NotAnOwner{9};

std::vector<core::InstanceId> witnesses(std::uint64_t count) {
  std::vector<core::InstanceId> out;
  for (std::uint64_t n = 0; n < count; ++n)
    out.push_back({11 + n});
  return out;
}

HandoverSource liveOwner(core::InstanceId owner,
                         std::uint64_t witnessCount = 3) {
  return {owner, witnesses(witnessCount), false};
}

HandoverSource retiredOwner(core::InstanceId owner,
                            std::uint64_t witnessCount = 3) {
  return {owner, witnesses(witnessCount), true};
}

core::TimePoint at(core::Duration time) { return core::TimePoint(time); }

/// An event, and the expected state of the tracker after it.
struct Step {
  core::Duration Time;
  std::function<void(HandoverTracker &, core::TimePoint)> Happens;
  bool IsComplete;
  /// Witnesses that takeDueAsks() returns after the step, in order.
  std::vector<std::uint64_t> Asked;
};

auto handoverFrom(core::InstanceId from, core::Epoch epoch = GainedEpoch,
                  const core::SliceId &slice = Slice) {
  return [=](HandoverTracker &it, core::TimePoint) {
    it.onHandover({from, slice, epoch, {}});
  };
}

auto remainingOwners(const std::vector<core::InstanceId> &owners) {
  return [=](HandoverTracker &it, core::TimePoint now) {
    it.onRemainingOwners(Slice, owners, now);
  };
}

void retireFormer(HandoverTracker &it, core::TimePoint now) {
  it.onOwnerRetired(Former, now);
}

void loseSlice(HandoverTracker &it, core::TimePoint /*now*/) { it.lost(Slice); }

void wait(HandoverTracker & /*it*/, core::TimePoint /*now*/) {}

struct TrackerRow {
  const char *Name;
  std::vector<HandoverSource> Sources;
  bool StartsComplete;
  std::vector<Step> Steps;
};

const TrackerRow TrackerRows[] = {
    {"no former owner", {}, true, {{0ms, wait, true, {}}}},
    {"self as former owner", {liveOwner(Self)}, true, {{0ms, wait, true, {}}}},
    {"self and a live owner",
     {liveOwner(Self), liveOwner(Former)},
     false,
     {{0ms, wait, false, {}}, {5ms, handoverFrom(Former), true, {}}}},
    {"live owner hands over itself",
     {liveOwner(Former)},
     false,
     {{1s, wait, false, {}}, {1s, handoverFrom(Former), true, {}}}},
    {"handover from an unknown instance",
     {liveOwner(Former)},
     false,
     {{0ms, handoverFrom(NotAnOwner), false, {}}}},
    {"other epochs are ignored",
     {liveOwner(Former)},
     false,
     {{0ms, handoverFrom(Former, GainedEpoch - 1), false, {}},
      {0ms, handoverFrom(Former, GainedEpoch + 1), false, {}},
      {0ms, handoverFrom(Former), true, {}}}},
    {"handover of another slice",
     {liveOwner(Former)},
     false,
     {{0ms, handoverFrom(Former, GainedEpoch, OtherSlice), false, {}}}},
    {"retired owner, two of three witnesses",
     {retiredOwner(Former)},
     false,
     {{0ms, wait, false, {11, 12, 13}},
      {1ms, handoverFrom({12}), false, {}},
      {2ms, handoverFrom({12}), false, {}},
      {3ms, handoverFrom({11}), true, {}}}},
    {"retired owner, one of one witness",
     {retiredOwner(Former, 1)},
     false,
     {{0ms, wait, false, {11}}, {1ms, handoverFrom({11}), true, {}}}},
    {"retired owner, one of two witnesses intersects every majority",
     {retiredOwner(Former, 2)},
     false,
     {{0ms, wait, false, {11, 12}}, {1ms, handoverFrom({12}), true, {}}}},
    {"retired owner, three of five witnesses",
     {retiredOwner(Former, 5)},
     false,
     {{0ms, handoverFrom({11}), false, {12, 13, 14, 15}},
      {1ms, handoverFrom({15}), false, {}},
      {2ms, handoverFrom({13}), true, {}}}},
    {"retired owner without witnesses", {retiredOwner(Former, 0)}, true, {}},
    {"witnesses that answered are not asked again",
     {retiredOwner(Former)},
     false,
     {{0ms, wait, false, {11, 12, 13}},
      {99ms, handoverFrom({11}), false, {}},
      {100ms, wait, false, {12, 13}},
      {199ms, wait, false, {}},
      {200ms, wait, false, {12, 13}}}},
    {"witnesses are not asked before a live owner ends its service",
     {liveOwner(Former)},
     false,
     {{0ms, remainingOwners({Former}), false, {}}, {10s, wait, false, {}}}},
    {"direct handover is lost",
     {liveOwner(Former)},
     false,
     {{10ms, remainingOwners({}), false, {}},
      {309ms, wait, false, {}},
      {310ms, wait, false, {11, 12, 13}},
      {409ms, wait, false, {}},
      {410ms, wait, false, {11, 12, 13}}}},
    {"timeout counts from the first end of service",
     {liveOwner(Former)},
     false,
     {{0ms, remainingOwners({}), false, {}},
      {200ms, remainingOwners({}), false, {}},
      {300ms, wait, false, {11, 12, 13}}}},
    {"direct handover within the timeout",
     {liveOwner(Former)},
     false,
     {{0ms, remainingOwners({}), false, {}},
      {299ms, handoverFrom(Former), true, {}},
      {300ms, wait, true, {}}}},
    {"direct handover after the witnesses were asked",
     {liveOwner(Former)},
     false,
     {{0ms, remainingOwners({}), false, {}},
      {300ms, wait, false, {11, 12, 13}},
      {301ms, handoverFrom(Former), true, {}},
      {400ms, wait, true, {}}}},
    {"live owner is retired",
     {liveOwner(Former)},
     false,
     {{5ms, retireFormer, false, {11, 12, 13}},
      {6ms, handoverFrom({11}), false, {}},
      {7ms, handoverFrom({13}), true, {}}}},
    {"live owner without witnesses is retired",
     {liveOwner(Former, 0)},
     false,
     {{5ms, retireFormer, true, {}}}},
    {"owner is retired after its handover",
     {liveOwner(Former), liveOwner(Earlier)},
     false,
     {{0ms, handoverFrom(Former), false, {}},
      {5ms, retireFormer, false, {}},
      {6ms, handoverFrom(Earlier), true, {}}}},
    {"every former owner is needed",
     {liveOwner(Former), retiredOwner(Earlier)},
     false,
     {{0ms, handoverFrom(Former), false, {11, 12, 13}},
      {1ms, handoverFrom({11}), false, {}},
      {2ms, handoverFrom({12}), true, {}}}},
    {"witnesses of a complete owner are not asked again",
     {retiredOwner(Former), {Earlier, {{21}, {22}, {23}}, false}},
     false,
     {{0ms, wait, false, {11, 12, 13}},
      {1ms, handoverFrom({11}), false, {}},
      {2ms, handoverFrom({12}), false, {}},
      {100ms, wait, false, {}}}},
    {"slice is lost",
     {retiredOwner(Former)},
     false,
     {{0ms, loseSlice, true, {}}, {1ms, handoverFrom({11}), true, {}}}},
};

} // namespace

ACACIA_TABLE_TEST(HandoverTrackerTest, collects, TrackerRows) {
  HandoverTracker tracker(Self);
  tracker.gained(Slice, GainedEpoch, row.Sources, at(0ms));
  cr_assert_eq(tracker.isComplete(Slice), row.StartsComplete, "%s", row.Name);
  for (const Step &it : row.Steps) {
    const core::TimePoint now = at(it.Time);
    it.Happens(tracker, now);
    std::vector<std::uint64_t> asked;
    for (const DueHandoverAsk &ask : tracker.takeDueAsks(now)) {
      cr_assert(ask.Ask == (IdempotencyHandoverAsk{Self, Slice, GainedEpoch}));
      asked.push_back(ask.Witness.Value);
    }
    const auto step = static_cast<int>(&it - row.Steps.data());
    cr_assert(asked == it.Asked, "%s, step %d", row.Name, step);
    cr_assert_eq(tracker.isComplete(Slice), it.IsComplete, "%s, step %d",
                 row.Name, step);
    const auto next = tracker.nextDeadline();
    cr_assert(!next || (*next > now && !it.IsComplete), "%s, step %d", row.Name,
              step);
  }
}

// Only the handover that completes a slice reports it as complete.
Test(HandoverTrackerTest, completionIsReportedOnce) {
  HandoverTracker tracker(Self);
  tracker.gained(Slice, GainedEpoch, {retiredOwner(Former)}, at(0ms));
  cr_assert(!tracker.onHandover({{11}, Slice, GainedEpoch, {}}));
  cr_assert(tracker.onHandover({{12}, Slice, GainedEpoch, {}}));
  cr_assert(!tracker.onHandover({{13}, Slice, GainedEpoch, {}}));
}
