#include "Sidecar/Sidecar.h"

#include <csignal>
#include <future>
#include <stdexcept>
#include <string>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Rows run in parallel; each uses its own ports, counted from here.
constexpr std::uint16_t FirstPort = 23420;
constexpr std::uint16_t PortsOfRow = 10;
constexpr std::uint16_t ControlOffset = 2;

/// A request with this id makes the handler throw.
constexpr std::string_view Poison = "poison";

settings::SidecarSettings makeSettings(std::uint16_t port) {
  settings::SidecarSettings out;
  out.Node = {"n", "dc", "s"};
  std::uint16_t n = port;
  for (auto *it : {&out.Callers, &out.Peers, &out.Control, &out.Gossip,
                   &out.Credit, &out.Relay})
    it->Listen = {"127.0.0.1", n++};
  out.Health = {{"127.0.0.1", n++}, "/metrics"};
  out.Upstream = {{"127.0.0.1", n++}, seconds(1), seconds(10)};
  out.Store.Address = {"127.0.0.1", n};
  out.Limits = {seconds(4), seconds(1), seconds(5), 0.1, 10, seconds(2)};
  return out;
}

/// A log that never answers a read.
feed::KeyedLog makeUnresponsiveLog() {
  feed::KeyedLog out;
  out.ReadNewest = [](std::string_view, const feed::PageHandler &) {};
  return out;
}

SidecarDependencies
makeDependencies(const settings::SidecarSettings &settings) {
  SidecarDependencies out;
  out.HeaderCodec.ReadCaller = [](const net::HttpFields &fields) {
    if (net::fieldOf(fields, "id") == Poison)
      throw std::length_error("injected by the test");
    return proxy::CallerFields();
  };
  out.HeaderCodec.WriteRequestId = [](net::HttpFields &, std::string_view) {};
  out.HeaderCodec.ReadAnswer = [](const net::HttpFields &) {
    return proxy::AnswerFields();
  };
  out.Codec.ParseCall = [](const net::HttpRequest &request) {
    if (net::fieldOf(request, "id") == Poison)
      throw std::length_error("injected by the test");
    return UpstreamCall();
  };
  out.MakeLogs = [](boost::asio::io_context &, const core::Endpoint &) {
    return ControlLogs{makeUnresponsiveLog(), makeUnresponsiveLog()};
  };
  out.ReadSettings = [settings] { return settings; };
  return out;
}

/// Sends one request and returns the status line of the response.
std::string ask(std::uint16_t port, std::string_view id) {
  boost::asio::io_context loop;
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  boost::asio::write(socket,
                     boost::asio::buffer("GET / HTTP/1.1\r\nHost: h\r\nid: " +
                                         std::string(id) + "\r\n\r\n"));
  std::string answer;
  boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer),
                                "\r\n\r\n",
                                [](boost::system::error_code, std::size_t) {});
  loop.run_for(seconds(2));
  return answer.substr(0, answer.find("\r\n"));
}

struct FailureRow {
  const char *Name;
  std::uint16_t PortOffset;
  /// Whether the process drains and stops without a signal.
  bool Stops;
};

const FailureRow FailureRows[] = {
    {"traffic handler", 0, false},
    {"control handler", ControlOffset, true},
};

} // namespace

// An uncaught exception in a handler used to end the process, which lost all
// open requests.
ACACIA_TABLE_TEST(Sidecar, SurvivesThrowingHandler, FailureRows) {
  const auto port =
      static_cast<std::uint16_t>(FirstPort + PortsOfRow * (&row - FailureRows));
  const auto settings = makeSettings(port);
  auto node = Sidecar::create(settings, makeDependencies(settings));
  cr_assert(node.has_value());
  auto end = std::async(std::launch::async, [&] { (*node)->run(); });
  cr_assert_eq(ask(port + row.PortOffset, Poison),
               "HTTP/1.1 500 Internal Server Error", "%s", row.Name);
  // Other requests are still answered; 503, as no configuration is known.
  cr_assert_eq(ask(port, "other"), "HTTP/1.1 503 Service Unavailable", "%s",
               row.Name);
  const bool hasStopped = end.wait_for(seconds(2)) == std::future_status::ready;
  cr_assert_eq(hasStopped, row.Stops, "%s", row.Name);
  if (!hasStopped)
    std::raise(SIGTERM);
  cr_assert(end.wait_for(seconds(2)) == std::future_status::ready, "%s",
            row.Name);
}
