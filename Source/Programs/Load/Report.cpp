#include "Programs/Load/Report.h"

#include <algorithm>

#include "Programs/Load/LatencyRecorder.h"

namespace acaciaroad::load {

namespace {

constexpr core::Duration Second = std::chrono::seconds(1);
/// Divisions of the keys of a class for unavailable time.
constexpr std::uint32_t KeyDivisions = 16;
constexpr double P50 = 0.5;
constexpr double P90 = 0.9;
constexpr double P99 = 0.99;
constexpr double P999 = 0.999;

/// Whether the account or nobody is to blame: refusals that depend on the rate
/// say nothing about whether the keys are served.
bool isOutage(const Sample &sample) {
  if (sample.End.Result == Outcome::Served)
    return false;
  return !(sample.End.Result == Outcome::Refused &&
           sample.End.Kind == core::ErrorKind::RateExceeded);
}

/// Adds up the outages of one division of keys.
class OutageClock {
public:
  void add(const Sample &sample) {
    const core::Duration time = sample.Request.Time;
    if (isOutage(sample)) {
      if (!Start)
        Start = time;
    } else if (sample.End.Result == Outcome::Served && Start) {
      close(time);
    }
  }

  void finish(core::Duration end) {
    if (Start)
      close(end);
  }

  core::Duration total() const { return Total; }
  core::Duration longest() const { return Longest; }

private:
  void close(core::Duration time) {
    Total += time - *Start;
    Longest = std::max(Longest, time - *Start);
    Start.reset();
  }

  std::optional<core::Duration> Start;
  core::Duration Total{};
  core::Duration Longest{};
};

/// Builds one GroupReport.
class GroupBuilder {
public:
  explicit GroupBuilder(std::string name = {}) { Out.Name = std::move(name); }

  /// \p workClass separates the keys of different classes.
  void add(const Sample &sample, std::size_t workClass) {
    ++Out.Offered;
    ++Out.Outcomes[static_cast<std::size_t>(sample.End.Result)];
    const bool isRefused = sample.End.Result == Outcome::Refused;
    if (isRefused || sample.End.Result == Outcome::Unknown)
      ++Out.Kinds[sample.End.Kind];
    if (isRefused && sample.Request.IsWithinRate)
      ++Out.WrongfullyRefused;
    if (sample.End.Result == Outcome::Served)
      Latencies.add(sample.Latency);
    else if (sample.Request.IsWithinRate)
      disturb(sample.Request.Time);
    Outages[{workClass, sample.Request.Key % KeyDivisions}].add(sample);
  }

  GroupReport finish(core::Duration end) {
    Out.Latency = {Latencies.quantile(P50), Latencies.quantile(P90),
                   Latencies.quantile(P99), Latencies.quantile(P999),
                   Latencies.max()};
    core::Duration total{};
    for (auto &[key, clock] : Outages) {
      clock.finish(end);
      total += clock.total();
      Out.LongestOutage = std::max(Out.LongestOutage, clock.longest());
    }
    if (!Outages.empty())
      Out.Unavailable = total / static_cast<std::int64_t>(Outages.size());
    return std::move(Out);
  }

private:
  void disturb(core::Duration time) {
    if (!FirstDisturbed)
      FirstDisturbed = time;
    Out.Disturbance = time - *FirstDisturbed;
  }

  GroupReport Out;
  std::optional<core::Duration> FirstDisturbed;
  LatencyRecorder Latencies;
  std::map<std::pair<std::size_t, std::uint32_t>, OutageClock> Outages;
};

template <typename Named>
std::vector<GroupBuilder> buildersFor(std::span<const Named> items) {
  std::vector<GroupBuilder> out;
  for (const Named &it : items)
    out.emplace_back(it.Name);
  return out;
}

std::vector<GroupReport> finishAll(std::span<GroupBuilder> builders,
                                   core::Duration end) {
  std::vector<GroupReport> out;
  for (GroupBuilder &it : builders)
    out.push_back(it.finish(end));
  return out;
}

std::vector<Interval> intervalsOf(const Experiment &experiment,
                                  std::span<const Sample> samples) {
  std::vector<Interval> out;
  std::size_t next = 0;
  for (core::Duration start{}; start < experiment.Length; start += Second) {
    GroupBuilder group;
    for (; next < samples.size() && samples[next].Request.Time < start + Second;
         ++next)
      group.add(samples[next],
                experiment.Flows[samples[next].Request.Flow].Class);
    out.push_back({start, group.finish(start + Second)});
  }
  return out;
}

/// Share of the requests within the rate that were served.
double keptPromise(const GroupReport &account) {
  const std::uint64_t served = account.count(Outcome::Served);
  const std::uint64_t due = served + account.WrongfullyRefused;
  return due == 0 ? 1 : static_cast<double>(served) / static_cast<double>(due);
}

std::optional<std::size_t> worstOf(std::span<const GroupReport> accounts) {
  std::optional<std::size_t> out;
  for (std::size_t n = 0; n < accounts.size(); ++n) {
    if (accounts[n].Offered == 0)
      continue;
    const auto isWorse = [&](const GroupReport &a, const GroupReport &b) {
      const double kept = keptPromise(a) - keptPromise(b);
      return kept != 0 ? kept < 0 : a.Latency.P99 > b.Latency.P99;
    };
    if (!out || isWorse(accounts[n], accounts[*out]))
      out = n;
  }
  return out;
}

} // namespace

double GroupReport::servedShare() const {
  if (Offered == 0)
    return 1;
  return static_cast<double>(count(Outcome::Served)) /
         static_cast<double>(Offered);
}

Report analyse(const Experiment &experiment, std::span<const Sample> samples) {
  GroupBuilder all("all");
  auto accounts = buildersFor(std::span<const Account>(experiment.Accounts));
  auto classes = buildersFor(std::span<const WorkClass>(experiment.Classes));
  LatencyRecorder delays;
  Report out;
  for (const Sample &it : samples) {
    const Flow &flow = experiment.Flows[it.Request.Flow];
    all.add(it, flow.Class);
    accounts[flow.Account].add(it, flow.Class);
    classes[flow.Class].add(it, flow.Class);
    delays.add(it.Lateness);
    if (it.End.Result == Outcome::Refused &&
        experiment.Classes[flow.Class].IsAtMostOnce)
      out.RefusedOnce.push_back(it.Request.Number);
  }
  out.All = all.finish(experiment.Length);
  out.Accounts = finishAll(accounts, experiment.Length);
  out.Classes = finishAll(classes, experiment.Length);
  out.Seconds = intervalsOf(experiment, samples);
  out.WorstAccount = worstOf(out.Accounts);
  out.SendDelayP99 = delays.quantile(P99);
  return out;
}

} // namespace acaciaroad::load
