/// \file
/// Tells the node beside an upstream that the upstream is there.

#ifndef ACACIAROAD_STANDINUPSTREAM_ANNOUNCER_H
#define ACACIAROAD_STANDINUPSTREAM_ANNOUNCER_H

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "Core/Endpoint.h"
#include "Programs/StandinUpstream/UpstreamServer.h"

namespace acaciaroad::standinupstream {

/// Announces every second on a thread of its own. A freeze of the upstream
/// freezes it as well.
class Announcer {
public:
  /// \p node is the "ip:port" of the node's administration. Fails with
  /// InvalidArgument.
  static core::Result<std::unique_ptr<Announcer>>
  create(std::string_view node, UpstreamServer &server);

  Announcer(const Announcer &) = delete;
  Announcer &operator=(const Announcer &) = delete;

  /// Ends the announcements and tells the node that the upstream leaves.
  void leave();

private:
  Announcer(core::Endpoint node, UpstreamServer &server);
  void run(const std::stop_token &stop);
  void announce();
  void post(const char *path, const std::string &body) const;

  const core::Endpoint Node;
  UpstreamServer &Server;
  const std::uint64_t BootId;
  std::mutex Mutex;
  std::condition_variable_any Wakeup;
  std::jthread Thread;
};

} // namespace acaciaroad::standinupstream

#endif
