/// \file
/// A stand-in log within the test, and a client of it.

#ifndef ACACIAROAD_TESTS_PLATFORM_LOGFIXTURE_H
#define ACACIAROAD_TESTS_PLATFORM_LOGFIXTURE_H

#include <memory>
#include <string>
#include <string_view>

#include "Platform/LogClient.h"
#include "Programs/StandinLog/LogServer.h"

namespace acaciaroad::tests {

struct LogFixture {
  std::unique_ptr<standinlog::LogServer> Server;
  std::shared_ptr<platform::LogClient> Client;

  explicit LogFixture(const standinlog::LogServerOptions &options = {})
      : Server(standinlog::LogServer::create(options).value()) {
    platform::LogClientOptions clientOptions;
    clientOptions.Address = "127.0.0.1:" + std::to_string(Server->port());
    Client = platform::LogClient::create(clientOptions).value();
  }

  core::Result<core::Offset> append(std::string_view payload) const {
    return Client->append("s", std::as_bytes(std::span(payload)));
  }
};

} // namespace acaciaroad::tests

#endif
