#include "Programs/Load/ActionThread.h"

#include <algorithm>
#include <utility>

#include <httplib.h>

namespace acaciaroad::load {

namespace {

constexpr auto ActionTimeout = std::chrono::seconds(5);

std::vector<Action> inOrderOfTime(std::vector<Action> actions) {
  std::stable_sort(
      actions.begin(), actions.end(),
      [](const Action &a, const Action &b) { return a.Start < b.Start; });
  return actions;
}

} // namespace

ActionThread::ActionThread(const Experiment &experiment, core::TimePoint start)
    : Plan(experiment), Start(start),
      Thread([this](const std::stop_token &stop) { run(stop); }) {}

std::vector<ActionResult> ActionThread::stop() {
  Thread.request_stop();
  Thread.join();
  return std::move(Results);
}

void ActionThread::run(const std::stop_token &stop) {
  std::unique_lock lock(Mutex);
  for (const Action &it : inOrderOfTime(Plan.Actions)) {
    Wakeup.wait_until(lock, stop, Start + it.Start, [] { return false; });
    if (stop.stop_requested())
      return;
    Results.push_back(perform(it));
  }
}

ActionResult ActionThread::perform(const Action &action) const {
  httplib::Client http(action.Target.Host, action.Target.Port);
  http.set_tcp_nodelay(true);
  http.set_connection_timeout(ActionTimeout);
  http.set_read_timeout(ActionTimeout);
  httplib::Headers headers;
  if (!action.Token.empty())
    headers.emplace("Authorization", "Bearer " + action.Token);
  const auto answer =
      http.Post(action.Path, headers, action.Body, "application/json");
  return {action.Label, core::BootClock::now() - Start,
          answer ? answer->status : 0};
}

} // namespace acaciaroad::load
