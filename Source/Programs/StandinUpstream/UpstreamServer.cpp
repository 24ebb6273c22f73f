#include "Programs/StandinUpstream/UpstreamServer.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaroad::standinupstream {

namespace {

using httplib::ContentReader;
using httplib::Request;
using httplib::Response;
using Json = nlohmann::json;

constexpr const char *JsonType = "application/json";
constexpr const char *BinaryType = "application/octet-stream";
/// All paths but those of the stand-in itself.
constexpr const char *OrderPath = R"(^(?!/acacia/).*$)";

/// No answer: the connection was dropped.
constexpr int StatusDropped = 0;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusServerError = 500;
constexpr int StatusUnavailable = 503;

/// Connections beyond those for orders, for faults and statistics.
constexpr std::uint32_t ControlConnections = 16;
/// Shape of the service time's gamma distribution.
constexpr double ServiceTimeShape = 4;
constexpr std::size_t AnswerChunkBytes = 65'536;
constexpr std::uint64_t MaxAnswerBytes = 1ULL << 30U;
constexpr std::uint32_t PermilleRange = 1000;
constexpr auto QuietBeforeExit = std::chrono::milliseconds(300);
constexpr auto LongestDrain = std::chrono::seconds(30);

std::uint64_t requestedBytes(const Request &request) {
  const std::string text = request.get_param_value("bytes");
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return std::min(out, MaxAnswerBytes);
}

/// Letters that repeat by offset, so that a receiver can check each part.
std::string patternAt(std::size_t offset, std::size_t size) {
  constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz";
  std::string out(size, '\0');
  for (std::size_t n = 0; n < size; ++n)
    out[n] = Letters[(offset + n) % Letters.size()];
  return out;
}

void streamPattern(Response &response, std::uint64_t bytes) {
  response.set_content_provider(
      bytes, BinaryType,
      [](std::size_t offset, std::size_t left, httplib::DataSink &sink) {
        const std::string chunk =
            patternAt(offset, std::min(left, AnswerChunkBytes));
        return sink.write(chunk.data(), chunk.size());
      });
}

} // namespace

OrderHooks hooksFor(const OrderLog &log) {
  OrderHooks out;
  out.OnOrder = [log](const OrderHeaders &headers, const OrderLoad &load) {
    log.order(headers, load);
  };
  out.OnRefuse = [log](const OrderHeaders &headers, Refusal refusal) {
    log.refuse(headers, refusal);
  };
  out.OnEnd = [log](const OrderHeaders &headers, int status) {
    log.end(headers, status);
  };
  return out;
}

core::Result<std::unique_ptr<UpstreamServer>>
UpstreamServer::create(const UpstreamOptions &options) {
  if (options.Slots == 0 || options.Connections == 0)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "slots and connections must be at least 1");
  std::unique_ptr<UpstreamServer> out(new UpstreamServer(options));
  auto server = standin::StandinServer::create(
      options.Listen,
      [it = out.get()](httplib::Server &http) { it->addRoutes(http); },
      options.Connections + ControlConnections);
  if (!server)
    return tl::unexpected(server.error());
  out->Server = std::move(*server);
  return out;
}

UpstreamServer::UpstreamServer(const UpstreamOptions &options)
    : Options(options), Book(options.Slots, options.ColdStart),
      Random(options.Seed) {}

UpstreamServer::~UpstreamServer() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Thawed.notify_all();
}

bool UpstreamServer::announcesCold() {
  const bool isCold = Book.isCold();
  const std::lock_guard lock(Mutex);
  IsSilentlyCold = IsSilentlyCold && isCold;
  return isCold && !IsSilentlyCold;
}

void UpstreamServer::awaitThaw() {
  std::unique_lock lock(Mutex);
  while (!Stopping && core::BootClock::now() < FrozenUntil)
    Thawed.wait_until(lock, FrozenUntil);
}

void UpstreamServer::awaitQuiet() {
  Book.awaitQuiet(QuietBeforeExit, core::BootClock::now() + LongestDrain);
}

void UpstreamServer::addRoutes(httplib::Server &server) {
  addOrderRoutes(server);
  server.Post("/acacia/faults",
              [this](const Request &request, Response &response) {
                onFaults(request, response);
              });
  server.Get("/acacia/load",
             [this](const Request &, Response &response) { onLoad(response); });
  server.Get("/acacia/stats", [this](const Request &, Response &response) {
    onStats(response);
  });
  server.Get("/acacia/keys",
             [this](const Request &, Response &response) { onKeys(response); });
  server.Post("/acacia/cancel/(.+)",
              [this](const Request &request, Response &response) {
                onCancel(request, response);
              });
}

void UpstreamServer::addOrderRoutes(httplib::Server &server) {
  const auto plain = [this](const Request &request, Response &response) {
    onOrder(request, response, nullptr);
  };
  const auto withBody = [this](const Request &request, Response &response,
                               const ContentReader &reader) {
    onOrder(request, response, &reader);
  };
  server.Get(OrderPath, plain);
  server.Options(OrderPath, plain);
  server.Post(OrderPath, withBody);
  server.Put(OrderPath, withBody);
  server.Patch(OrderPath, withBody);
  server.Delete(OrderPath, withBody);
}

void UpstreamServer::onOrder(const Request &request, Response &response,
                             const ContentReader *reader) {
  const OrderHeaders headers = readOrderHeaders(request);
  awaitThaw();
  {
    const std::lock_guard lock(Mutex);
    if (headers.HasAuthorization)
      ++Stats.LeakedKeys;
  }
  if (faults().DropConnections) {
    standin::StandinServer::dropConnection();
    return;
  }
  // The body is read also before a refusal: left on the connection, it would
  // be taken for the next request.
  BodyDigest digest;
  const bool isWhole =
      reader == nullptr || (*reader)([&](const char *data, std::size_t size) {
        digest.add({data, size});
        return true;
      });
  if (!isWhole) {
    refuse(headers, response, Refusal::Incomplete);
    standin::StandinServer::dropConnection();
    return;
  }
  if (const auto refusal = refusalOf(headers); refusal || isShed()) {
    refuse(headers, response, refusal.value_or(Refusal::Shedding));
    return;
  }
  runOrder(request, response, headers, digest);
}

void UpstreamServer::runOrder(const Request &request, Response &response,
                              const OrderHeaders &headers, BodyDigest &digest) {
  auto waiter = OrderWait::create(standin::StandinServer::currentSocket());
  if (!waiter) {
    refuse(headers, response, Refusal::Shedding);
    return;
  }
  const auto order = std::make_shared<Order>();
  order->RequestId = headers.RequestId;
  order->Waiter = std::move(*waiter);
  Book.enter(order);
  sampleLoad();
  if (!awaitTurn(*order, headers, response)) {
    Book.leave(order, false);
    return;
  }
  awaitThaw();
  // A grant may have been replaced, or may have expired, in the queue.
  if (const auto refusal = refusalOf(headers)) {
    Book.leave(order, false);
    refuse(headers, response, *refusal);
    return;
  }
  recordStart(*order, headers);
  const Ending ending = work(*order);
  awaitThaw();
  Book.leave(order, ending == Ending::Completed);
  sampleLoad();
  answerEnding(ending, request, response, headers, digest);
}

std::optional<Refusal> UpstreamServer::refusalOf(const OrderHeaders &headers) {
  const core::TimePoint now = core::BootClock::now();
  const std::lock_guard lock(Mutex);
  if (Options.ChecksGrants && headers.Slice &&
      !Grants.admit(*headers.Slice, now))
    return Refusal::StaleGrant;
  if (Options.HonoursDeadlines && headers.Deadline && *headers.Deadline <= now)
    return Refusal::Deadline;
  return std::nullopt;
}

bool UpstreamServer::isShed() {
  const std::lock_guard lock(Mutex);
  return Faults.ShedPermille != 0 &&
         Random() % PermilleRange < Faults.ShedPermille;
}

void UpstreamServer::refuse(const OrderHeaders &headers, Response &response,
                            Refusal refusal) {
  if (Options.Hooks.OnRefuse)
    Options.Hooks.OnRefuse(headers, refusal);
  response.status =
      refusal == Refusal::StaleGrant ? StatusConflict : StatusUnavailable;
  response.set_header("X-Acacia-Not-Run", std::string(toString(refusal)));
  const std::lock_guard lock(Mutex);
  ++Stats.Refused[refusal];
}

void UpstreamServer::recordStart(const Order &order,
                                 const OrderHeaders &headers) {
  tellOrder(order, headers);
  const std::lock_guard lock(Mutex);
  ++Stats.Started;
  if (headers.Slice)
    Grants.recordStart(*headers.Slice, core::BootClock::now());
  if (!headers.IdempotencyKey.empty())
    ++Stats.StartsByKey[headers.IdempotencyKey];
}

void UpstreamServer::tellOrder(const Order &order,
                               const OrderHeaders &headers) const {
  if (Options.Hooks.OnOrder)
    Options.Hooks.OnOrder(headers, Book.loadOf(order));
}

void UpstreamServer::tellEnd(const OrderHeaders &headers, int status) const {
  if (Options.Hooks.OnEnd)
    Options.Hooks.OnEnd(headers, status);
}

bool UpstreamServer::awaitTurn(const Order &order, const OrderHeaders &headers,
                               Response &response) {
  const bool hasDeadline = Options.HonoursDeadlines && headers.Deadline;
  const core::TimePoint until =
      hasDeadline ? *headers.Deadline : core::TimePoint::max();
  for (;;) {
    switch (Book.stateOf(order)) {
    case OrderState::Running:
      return true;
    case OrderState::Failed:
      tellOrder(order, headers);
      tellEnd(headers, StatusDropped);
      countFailure();
      standin::StandinServer::dropConnection();
      return false;
    case OrderState::Cancelled:
      refuse(headers, response, Refusal::Cancelled);
      return false;
    case OrderState::Waiting:
      break;
    }
    const Wake wake = order.Waiter->wait(until);
    if (wake == Wake::Signal)
      continue;
    refuse(headers, response,
           wake == Wake::Closed ? Refusal::Cancelled : Refusal::Deadline);
    return false;
  }
}

void UpstreamServer::countFailure() {
  const std::lock_guard lock(Mutex);
  ++Stats.Failed;
}

UpstreamServer::Ending UpstreamServer::work(const Order &order) {
  const core::TimePoint until = core::BootClock::now() + drawServiceTime();
  for (;;) {
    const Wake wake = order.Waiter->wait(until);
    const OrderState state = Book.stateOf(order);
    if (state == OrderState::Failed)
      return Ending::Failed;
    if (wake == Wake::Closed || state == OrderState::Cancelled)
      return Ending::Cancelled;
    if (wake == Wake::Timeout)
      return Ending::Completed;
  }
}

void UpstreamServer::answerEnding(Ending ending, const Request &request,
                                  Response &response,
                                  const OrderHeaders &headers,
                                  BodyDigest &digest) {
  const std::lock_guard lock(Mutex);
  switch (ending) {
  case Ending::Failed:
    ++Stats.Failed;
    tellEnd(headers, StatusDropped);
    standin::StandinServer::dropConnection();
    return;
  case Ending::Cancelled:
    ++Stats.CancelledRunning;
    tellEnd(headers, StatusServerError);
    response.status = StatusServerError;
    return;
  case Ending::Completed:
    break;
  }
  ++Stats.Served;
  if (Faults.LoseAnswers) {
    ++Stats.LostAnswers;
    tellEnd(headers, StatusDropped);
    standin::StandinServer::dropConnection();
    return;
  }
  tellEnd(headers, StatusOk);
  response.set_header("X-Request-Id", headers.RequestId);
  if (const std::uint64_t bytes = requestedBytes(request); bytes != 0) {
    streamPattern(response, bytes);
    return;
  }
  const Json out = {{"request_id", headers.RequestId},
                    {"service", Options.Service},
                    {"name", Options.Name},
                    {"method", request.method},
                    {"path", request.path},
                    {"slice", headers.Slice ? headers.Slice->Slice : ""},
                    {"epoch", headers.Slice ? headers.Slice->Epoch : 0},
                    {"bytes", digest.length()},
                    {"sha256", digest.finish()}};
  response.set_content(out.dump(-1, ' ', false, Json::error_handler_t::replace),
                       JsonType);
}

core::Duration UpstreamServer::drawServiceTime() {
  const double slowdown = Book.slowdown();
  const std::lock_guard lock(Mutex);
  const double mean = static_cast<double>(Options.Work.count());
  std::gamma_distribution<double> time(ServiceTimeShape,
                                       mean / ServiceTimeShape);
  const double ns = time(Random) * Faults.StraggleFactor * slowdown;
  return core::Duration(static_cast<core::Duration::rep>(ns));
}

void UpstreamServer::sampleLoad() {
  const OrderCounts counts = Book.counts();
  History.add({core::BootClock::now(), counts.Running, counts.Waiting});
}

UpstreamFaults UpstreamServer::faults() const {
  const std::lock_guard lock(Mutex);
  return Faults;
}

void UpstreamServer::onFaults(const Request &request, Response &response) {
  const auto change = readFaultRequest(faults(), request.body);
  if (!change) {
    response.status = StatusBadRequest;
    response.set_content(change.error().Detail, "text/plain");
    return;
  }
  if (change->TurnCold)
    Book.turnCold();
  const std::lock_guard lock(Mutex);
  Faults = change->Faults;
  IsSilentlyCold = IsSilentlyCold || change->TurnCold;
  if (change->Freeze.count() > 0)
    FrozenUntil = core::BootClock::now() + change->Freeze;
  response.set_content("{}", JsonType);
}

void UpstreamServer::onLoad(Response &response) {
  awaitThaw();
  const UpstreamFaults now = faults();
  LoadSample sample = History.at(core::BootClock::now() - now.LoadLag);
  if (now.MisleadingLoad)
    sample = {};
  const Json out = {{"in_flight", sample.InFlight},
                    {"slots", Options.Slots},
                    {"queue", sample.Queue}};
  response.set_content(out.dump(), JsonType);
}

void UpstreamServer::onStats(Response &response) {
  const OrderCounts counts = Book.counts();
  const std::lock_guard lock(Mutex);
  response.set_content(encodeStats(Stats, counts, Grants), JsonType);
}

void UpstreamServer::onKeys(Response &response) {
  const std::lock_guard lock(Mutex);
  response.set_content(Json(Stats.StartsByKey).dump(), JsonType);
}

void UpstreamServer::onCancel(const Request &request, Response &response) {
  awaitThaw();
  const bool isFound = Book.cancel(std::string(request.matches[1]));
  response.set_content(Json{{"cancelled", isFound}}.dump(), JsonType);
}

} // namespace acaciaroad::standinupstream
