#include "Programs/StandinUpstream/Announcer.h"

#include <chrono>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Core/Identifiers.h"

namespace acaciaroad::standinupstream {

namespace {

constexpr auto Interval = std::chrono::seconds(1);
constexpr auto RequestTimeout = std::chrono::seconds(1);

} // namespace

core::Result<std::unique_ptr<Announcer>>
Announcer::create(std::string_view node, UpstreamServer &server) {
  auto endpoint = core::parseEndpoint(node);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  return std::unique_ptr<Announcer>(
      new Announcer(std::move(*endpoint), server));
}

Announcer::Announcer(core::Endpoint node, UpstreamServer &server)
    : Node(std::move(node)), Server(server), BootId(core::randomId()),
      Thread([this](const std::stop_token &stop) { run(stop); }) {}

void Announcer::leave() {
  Thread.request_stop();
  if (Thread.joinable())
    Thread.join();
  post("/v1/upstream/leave", nlohmann::json{{"boot_id", BootId}}.dump());
}

void Announcer::run(const std::stop_token &stop) {
  std::unique_lock lock(Mutex);
  while (!stop.stop_requested()) {
    lock.unlock();
    Server.awaitThaw();
    announce();
    lock.lock();
    Wakeup.wait_for(lock, stop, Interval, [] { return false; });
  }
}

void Announcer::announce() {
  const UpstreamOptions &options = Server.options();
  const auto listen = core::parseEndpoint(options.Listen);
  const std::string address =
      core::toString(core::Endpoint{listen->Host, Server.port()});
  const nlohmann::json body = {{"service", options.Service},
                               {"address", address},
                               {"name", options.Name},
                               {"boot_id", BootId},
                               {"slots", options.Slots},
                               {"connections", options.Connections},
                               {"checks_grants", options.ChecksGrants},
                               {"honours_deadlines", options.HonoursDeadlines},
                               {"cold", Server.announcesCold()}};
  post("/v1/upstream/announce", body.dump());
}

void Announcer::post(const char *path, const std::string &body) const {
  httplib::Client http(Node.Host, Node.Port);
  http.set_tcp_nodelay(true);
  http.set_connection_timeout(RequestTimeout);
  http.set_read_timeout(RequestTimeout);
  // A node that does not answer is told again at the next interval.
  http.Post(path, body, "application/json");
}

} // namespace acaciaroad::standinupstream
