/// \file
/// Compares the latency of three paths to one upstream in one run: direct,
/// through the node beside it, and forwarded by another node. Closed loop: each
/// client sends its next request after the answer to the last.

#include <algorithm>
#include <array>
#include <iostream>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include "Http/CallerServer.h"
#include "Http/UpstreamClient.h"
#include "Wire/PeerEndpoint.h"

DEFINE_int32(clients, 4, "clients at once");
DEFINE_int32(requests, 2000, "requests of each client in each round");
DEFINE_int32(rounds, 5, "rounds over the three paths");
DEFINE_int32(body_bytes, 200, "bytes of a request's and an answer's body");
DEFINE_int32(idle_seconds, 0, "seconds to count wake-ups without requests");
DEFINE_bool(curve, false, "encrypt between the nodes");

namespace {

using namespace acaciaroad;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::chrono::seconds Deadline{30};

core::TimePoint soon() { return core::BootClock::now() + Deadline; }

std::unique_ptr<http::CallerServer> serve(http::CallerServer::Handler handler) {
  return std::move(http::CallerServer::create({}, std::move(handler)).value());
}

/// The upstream: answers with the body that it was sent.
void answerInKind(const std::shared_ptr<http::Exchange> &it) {
  std::vector<std::byte> body(static_cast<std::size_t>(FLAGS_body_bytes));
  (void)it->readBody(body);
  (void)it->respond(200, {}, body);
}

/// The path within one node.
void serveLocally(http::UpstreamClient &client,
                  const std::shared_ptr<http::Exchange> &it) {
  http::UpstreamOrder order;
  order.Method = it->method();
  order.Target = it->target();
  order.Headers.assign(it->headers().begin(), it->headers().end());
  order.BodyLength = it->contentLength();
  order.Body = [&](std::span<std::byte> out) { return it->readBody(out); };
  order.Deadline = soon();
  const http::UpstreamSinks sinks{
      [&](const http::ResponseHead &head) {
        return it->begin(head.Status, head.Headers, head.BodyLength);
      },
      [&](std::span<const std::byte> bytes) { return it->write(bytes); }};
  http::CancelToken cancel;
  if (client.execute(order, sinks, cancel))
    (void)it->end();
}

/// The owner's side of the forwarded path.
void serveForwarded(http::UpstreamClient &client,
                    const std::shared_ptr<wire::ForwardCall> &call) {
  http::UpstreamOrder order;
  order.Method = call->head().Method;
  order.Target = call->head().Target;
  order.Headers = call->head().Headers;
  order.BodyLength = call->head().BodyLength;
  order.Body = [&](std::span<std::byte> out) {
    return call->read(out, call->deadline());
  };
  order.Deadline = call->deadline();
  wire::AnswerHead answer;
  std::vector<std::byte> body;
  const http::UpstreamSinks sinks{
      [&](const http::ResponseHead &head) -> core::Result<void> {
        answer = {head.Status, head.Headers, wire::BodyMode::Sized,
                  head.BodyLength};
        return {};
      },
      [&](std::span<const std::byte> bytes) -> core::Result<void> {
        body.insert(body.end(), bytes.begin(), bytes.end());
        return {};
      }};
  http::CancelToken cancel;
  if (client.execute(order, sinks, cancel))
    (void)call->answerHead(answer, body, true);
}

/// The entry's side of the forwarded path.
void forward(wire::PeerEndpoint &entry, const std::string &owner,
             const std::shared_ptr<http::Exchange> &it) {
  wire::ForwardHead head;
  head.RequestId = core::toString(core::InstanceId{core::hashOf("r")});
  head.Method = it->method();
  head.Target = it->target();
  head.Headers.assign(it->headers().begin(), it->headers().end());
  head.Body = wire::BodyMode::Sized;
  head.BodyLength = it->contentLength().value_or(0);
  head.DeadlineRemaining = Deadline;
  const auto call = entry.open(owner, std::move(head), it->prefetched(), true);
  if (!call)
    return it->refuse(call.error(), "r");
  const auto answer = (*call)->awaitHead(soon());
  if (!answer || !std::holds_alternative<wire::AnswerHead>(*answer))
    return it->refuse({core::ErrorKind::OutcomeUnknown, {}}, "r");
  const auto &got = std::get<wire::AnswerHead>(*answer);
  std::vector<std::byte> body(got.BodyLength);
  (void)(*call)->read(body, soon());
  (void)it->respond(got.Status, got.Headers, body);
}

/// One path and what was measured on it.
struct Path {
  std::string Name;
  int Port = 0;
  std::vector<double> Latencies;
  /// Waits of all threads of the process, clients included.
  long Waits = 0;
};

/// Voluntary context switches of this process so far.
long countWaits() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_nvcsw;
}

/// Sends a round of requests; returns latencies in microseconds.
std::vector<double> runClient(http::UpstreamClient &client) {
  std::vector<double> out;
  std::vector<std::byte> body(static_cast<std::size_t>(FLAGS_body_bytes));
  for (int n = 0; n < FLAGS_requests; ++n) {
    http::UpstreamOrder order;
    order.Method = "POST";
    order.Target = "/questionnaires/17";
    order.Headers = {{"Host", "bench"}, {"Content-Type", "text/plain"}};
    order.BodyLength = body.size();
    order.Body = [&](std::span<std::byte> to) -> core::Result<std::size_t> {
      std::copy(body.begin(), body.end(), to.begin());
      return body.size();
    };
    order.Deadline = soon();
    int status = 0;
    const http::UpstreamSinks sinks{
        [&](const http::ResponseHead &head) -> core::Result<void> {
          status = head.Status;
          return {};
        },
        nullptr};
    http::CancelToken cancel;
    const auto start = core::BootClock::now();
    const auto done = client.execute(order, sinks, cancel);
    const Microseconds took = core::BootClock::now() - start;
    if (done && status == 200)
      out.push_back(took.count());
  }
  return out;
}

void runRound(Path &path) {
  http::UpstreamClientOptions options;
  options.Port = path.Port;
  http::UpstreamClient client(options);
  std::vector<std::vector<double>> parts(
      static_cast<std::size_t>(FLAGS_clients));
  const long before = countWaits();
  std::vector<std::thread> threads;
  threads.reserve(parts.size());
  for (auto &it : parts)
    threads.emplace_back([&] { it = runClient(client); });
  for (std::thread &it : threads)
    it.join();
  path.Waits += countWaits() - before;
  for (const auto &it : parts)
    path.Latencies.insert(path.Latencies.end(), it.begin(), it.end());
}

double quantile(std::vector<double> &values, double q) {
  if (values.empty())
    return 0;
  const auto n =
      static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[static_cast<std::size_t>(n)];
}

void report(std::span<Path> paths) {
  const double p50 = quantile(paths[0].Latencies, 0.5);
  const double p99 = quantile(paths[0].Latencies, 0.99);
  for (Path &it : paths) {
    const double own50 = quantile(it.Latencies, 0.5);
    const double own99 = quantile(it.Latencies, 0.99);
    std::cout << fmt::format("{:<10} answers {:>7}  p50 {:>7.0f} us  ratio "
                             "{:5.2f}  p99 {:>7.0f} us  ratio {:5.2f}  "
                             "waits an answer {:5.1f}\n",
                             it.Name, it.Latencies.size(), own50, own50 / p50,
                             own99, own99 / p99,
                             static_cast<double>(it.Waits) /
                                 static_cast<double>(it.Latencies.size()));
  }
}

std::shared_ptr<wire::PeerEndpoint> startNode(const wire::CurveKeys &keys,
                                              wire::CallHandler handler) {
  wire::PeerEndpointOptions options;
  options.Transport.Self.Value = core::randomId();
  if (FLAGS_curve)
    options.Transport.Connection.Curve = keys;
  return wire::PeerEndpoint::create(options,
                                    {nullptr, nullptr, std::move(handler)})
      .value();
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const wire::CurveKeys keys = wire::generateCurveKeys().value();
  const auto upstream = serve(answerInKind);
  http::UpstreamClientOptions options;
  options.Port = upstream->port();
  http::UpstreamClient client(options);
  const auto owner =
      startNode(keys, [&](const auto &call) { serveForwarded(client, call); });
  const auto entry = startNode(keys, nullptr);
  const auto local = serve([&](const auto &it) { serveLocally(client, it); });
  const auto front =
      serve([&](const auto &it) { forward(*entry, owner->address(), it); });
  std::array<Path, 3> paths{{{"direct", upstream->port(), {}},
                             {"local", local->port(), {}},
                             {"forwarded", front->port(), {}}}};
  for (int n = 0; n < FLAGS_rounds; ++n)
    for (Path &it : paths)
      runRound(it);
  report(paths);
  for (const auto &[name, node] :
       {std::pair("entry", entry.get()), std::pair("owner", owner.get())}) {
    const auto counters = node->transportCounters();
    std::cout << fmt::format("{:<10} sent {} received {} wake-ups {}\n", name,
                             counters.Sent, counters.Received,
                             counters.WakeUps);
  }
  const long before = countWaits();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_idle_seconds));
  if (FLAGS_idle_seconds > 0)
    std::cout << fmt::format("idle       {} waits in {} s, of three servers, "
                             "two nodes and their connections\n",
                             countWaits() - before, FLAGS_idle_seconds);
  return 0;
}
