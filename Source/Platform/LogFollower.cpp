#include "Platform/LogFollower.h"

#include <utility>

namespace acaciaroad::platform {

namespace {

LogFollowerOptions withDefaults(LogFollowerOptions options) {
  if (!options.OnTrimmed)
    options.OnTrimmed = [](core::Offset) {};
  if (!options.OnReachable)
    options.OnReachable = [](bool) {};
  return options;
}

} // namespace

core::Result<std::shared_ptr<LogFollower>>
LogFollower::create(LogFollowerOptions options) {
  if (!options.Client || options.Stream.empty() || !options.OnBatch)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "a follower needs a client, a stream and OnBatch");
  return std::shared_ptr<LogFollower>(
      new LogFollower(withDefaults(std::move(options))));
}

LogFollower::LogFollower(LogFollowerOptions options)
    : Options(std::move(options)), Next(Options.From),
      Pauses(Options.ShortestPause, Options.LongestPause, core::randomId()),
      Thread([this](const std::stop_token &stop) { run(stop); }) {}

LogFollower::~LogFollower() { stop(); }

void LogFollower::stop() {
  Thread.request_stop();
  if (Thread.joinable())
    Thread.join();
}

void LogFollower::run(const std::stop_token &stop) {
  while (!stop.stop_requested()) {
    const auto done = step(stop);
    // A read that was broken by the stop request tells nothing of the log.
    if (stop.stop_requested())
      return;
    reportReachable(done.has_value());
    if (done)
      Pauses.reset();
    else
      pause(stop);
  }
}

core::Result<void> LogFollower::step(const std::stop_token &stop) {
  // Without a wait it is known at once whether the log answers again.
  const core::Duration wait =
      LogState == Reachability::Yes ? Options.Wait : core::Duration::zero();
  const auto batch = Options.Client->read(Options.Stream, Next, wait,
                                          Options.MaxRecords, stop);
  if (!batch && batch.error().Kind == core::ErrorKind::LogTrimmed)
    return skipTrimmed(stop);
  if (!batch)
    return tl::unexpected(batch.error());
  reportReachable(true);
  Next = batch->Next;
  Options.OnBatch(*batch);
  return {};
}

core::Result<void> LogFollower::skipTrimmed(const std::stop_token &stop) {
  const auto bounds = Options.Client->bounds(Options.Stream, stop);
  if (!bounds)
    return tl::unexpected(bounds.error());
  reportReachable(true);
  Next = bounds->First;
  Options.OnTrimmed(bounds->First);
  return {};
}

void LogFollower::reportReachable(bool isReachable) {
  const auto now = isReachable ? Reachability::Yes : Reachability::No;
  if (std::exchange(LogState, now) != now)
    Options.OnReachable(isReachable);
}

void LogFollower::pause(const std::stop_token &stop) {
  std::unique_lock lock(Mutex);
  Wakeup.wait_for(lock, stop, Pauses.next(), [] { return false; });
}

} // namespace acaciaroad::platform
