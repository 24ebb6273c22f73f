#include "Programs/StandinLog/LogServer.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "Platform/LogMessages.h"

namespace acaciaroad::standinlog {

namespace {

constexpr const char *JsonType = "application/json";
constexpr std::uint64_t DefaultReadLimit = 512;
constexpr std::uint64_t MaxReadLimit = 10'000;
constexpr std::uint64_t MaxWaitMs = 60'000;

constexpr int StatusBadRequest = 400;
constexpr int StatusGone = 410;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

/// Returns the query parameter \p name, or \p missing where it is absent or no
/// number.
std::uint64_t numberOf(const httplib::Request &request, const char *name,
                       std::uint64_t missing) {
  const std::string text = request.get_param_value(name);
  std::uint64_t out = missing;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

std::string streamOf(const httplib::Request &request) {
  return request.matches[1];
}

} // namespace

core::Result<std::unique_ptr<LogServer>>
LogServer::create(const LogServerOptions &options) {
  if (options.RetentionRecords == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "retention must be at least one record");
  std::unique_ptr<LogServer> out(new LogServer(options));
  auto server = standin::StandinServer::create(
      options.Listen,
      [it = out.get()](httplib::Server &http) { it->addRoutes(http); });
  if (!server)
    return tl::unexpected(server.error());
  out->Server = std::move(*server);
  return out;
}

LogServer::LogServer(const LogServerOptions &options)
    : Options(options), Store(options.RetentionRecords), Random(options.Seed) {}

LogServer::~LogServer() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Stopped.notify_all();
  Store.close();
}

LogServerStats LogServer::stats() const {
  const std::lock_guard lock(Mutex);
  return Stats;
}

LogFaults LogServer::faults() const {
  const std::lock_guard lock(Mutex);
  return Faults;
}

void LogServer::setFaults(const LogFaults &faults) {
  {
    const std::lock_guard lock(Mutex);
    Faults = faults;
  }
  Store.interruptReads();
}

void LogServer::addRoutes(httplib::Server &server) {
  using httplib::Request;
  using httplib::Response;
  server.Post(R"(/v1/streams/([A-Za-z0-9._-]+)/records)",
              [this](const Request &request, Response &response) {
                onAppend(request, response);
              });
  server.Get(R"(/v1/streams/([A-Za-z0-9._-]+)/records)",
             [this](const Request &request, Response &response) {
               onRead(request, response);
             });
  server.Get(R"(/v1/streams/([A-Za-z0-9._-]+))",
             [this](const Request &request, Response &response) {
               onBounds(request, response);
             });
  server.Post("/faults", [this](const Request &request, Response &response) {
    onFaults(request, response);
  });
  server.Get("/stats", [this](const Request &, Response &response) {
    onStats(response);
  });
}

void LogServer::onAppend(const httplib::Request &request,
                         httplib::Response &response) {
  delay();
  switch (admitAppend()) {
  case Admission::Accept:
    break;
  case Admission::Refuse:
    response.status = StatusUnavailable;
    return;
  case Admission::Drop:
    standin::StandinServer::dropConnection();
    return;
  case Admission::TooMany:
    response.status = StatusTooMany;
    return;
  }
  const core::Offset offset = Store.append(streamOf(request), request.body);
  response.set_content(platform::encodeAppendAnswer(offset), JsonType);
  const std::lock_guard lock(Mutex);
  if (!Faults.LoseAnswers)
    return;
  ++Stats.LostAnswers;
  standin::StandinServer::dropConnection();
}

LogServer::Admission LogServer::admitAppend() {
  const std::lock_guard lock(Mutex);
  startSecond();
  std::uniform_real_distribution<double> share(0, 1);
  const bool isRejected =
      Faults.RejectRate > 0 && share(Random) < Faults.RejectRate;
  const bool isTooMany = Options.AppendLimitPerSecond != 0 &&
                         AppendsThisSecond >= Options.AppendLimitPerSecond;
  Admission out = Admission::Accept;
  if (Faults.LogOutage == Outage::Drop)
    out = Admission::Drop;
  else if (Faults.LogOutage == Outage::Refuse || isRejected)
    out = Admission::Refuse;
  else if (isTooMany)
    out = Admission::TooMany;
  if (out != Admission::Accept) {
    ++Stats.Rejected;
    return out;
  }
  ++Stats.Appends;
  ++AppendsThisSecond;
  Stats.AppendsPerSecondPeak =
      std::max(Stats.AppendsPerSecondPeak, AppendsThisSecond);
  return out;
}

void LogServer::startSecond() {
  const core::TimePoint now = core::BootClock::now();
  if (now - Second < std::chrono::seconds(1))
    return;
  Second = now;
  AppendsThisSecond = 0;
}

void LogServer::onRead(const httplib::Request &request,
                       httplib::Response &response) {
  delay();
  if (answerOutage(response))
    return;
  {
    const std::lock_guard lock(Mutex);
    ++Stats.Reads;
  }
  const std::string stream = streamOf(request);
  const std::uint64_t waitMs =
      std::min(numberOf(request, "wait_ms", 0), MaxWaitMs);
  const auto batch = Store.read(
      {stream, numberOf(request, "from", 0),
       std::min(numberOf(request, "limit", DefaultReadLimit), MaxReadLimit),
       std::chrono::milliseconds(waitMs)});
  // An outage that began meanwhile must not be answered through.
  if (answerOutage(response))
    return;
  if (!batch) {
    response.status = StatusGone;
    response.set_content(platform::encodeBounds(Store.bounds(stream)),
                         JsonType);
    return;
  }
  response.set_content(platform::encodeBatch(*batch), JsonType);
}

void LogServer::onBounds(const httplib::Request &request,
                         httplib::Response &response) {
  delay();
  if (answerOutage(response))
    return;
  response.set_content(platform::encodeBounds(Store.bounds(streamOf(request))),
                       JsonType);
}

void LogServer::onFaults(const httplib::Request &request,
                         httplib::Response &response) {
  const auto changed = applyFaults(faults(), request.body);
  if (!changed) {
    response.status = StatusBadRequest;
    response.set_content(changed.error().Detail, "text/plain");
    return;
  }
  setFaults(*changed);
  response.set_content(encodeFaults(*changed), JsonType);
}

void LogServer::onStats(httplib::Response &response) const {
  const LogServerStats now = stats();
  nlohmann::json streams = nlohmann::json::object();
  for (const auto &[name, bounds] : Store.allBounds())
    streams[name] = {{"first", bounds.First}, {"next", bounds.Next}};
  const nlohmann::json out = {
      {"appends", now.Appends},
      {"reads", now.Reads},
      {"rejected", now.Rejected},
      {"lost_answers", now.LostAnswers},
      {"appends_per_second_peak", now.AppendsPerSecondPeak},
      {"streams", std::move(streams)}};
  response.set_content(out.dump(), JsonType);
}

bool LogServer::answerOutage(httplib::Response &response) const {
  switch (faults().LogOutage) {
  case Outage::None:
    return false;
  case Outage::Refuse:
    response.status = StatusUnavailable;
    return true;
  case Outage::Drop:
    standin::StandinServer::dropConnection();
    return true;
  }
  return false;
}

void LogServer::delay() {
  std::unique_lock lock(Mutex);
  if (Faults.Slow.count() > 0)
    Stopped.wait_for(lock, Faults.Slow, [this] { return Stopping; });
}

} // namespace acaciaroad::standinlog
