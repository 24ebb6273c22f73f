/// \file
/// One connection to an upstream.

#ifndef ACACIAROAD_HTTP_UPSTREAMCONNECTION_H
#define ACACIAROAD_HTTP_UPSTREAMCONNECTION_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/CancelToken.h"
#include "Http/UpstreamOrder.h"
#include "Http/UpstreamStream.h"

namespace acaciaroad::http {

/// Sends orders one after another. cpp-httplib writes the request and reads the
/// framing of the answer; its own send(), which may connect anew, is not used,
/// so that an order leaves at most once.
class UpstreamConnection : private httplib::ClientImpl {
public:
  /// Connects; fails with NoUpstream.
  static core::Result<std::unique_ptr<UpstreamConnection>>
  connect(const std::string &host, int port, core::TimePoint deadline);

  UpstreamConnection(const UpstreamConnection &) = delete;
  UpstreamConnection &operator=(const UpstreamConnection &) = delete;
  ~UpstreamConnection() override;

  /// Whether the upstream has not closed, or written to, the idle connection.
  bool isFresh() const;

  /// Sends \p order once; see UpstreamClient::execute().
  core::Result<void> execute(const UpstreamOrder &order,
                             const UpstreamSinks &sinks, CancelToken &cancel);

  /// Whether another order can follow.
  bool isReusable() const { return Reusable; }

private:
  /// The work on one order.
  struct Run {
    const UpstreamOrder &Order;
    const UpstreamSinks &Sinks;
    UpstreamStream Stream;
    /// What ended the order, if it was not the connection.
    core::Result<void> Outcome = {};
    bool BodyStarted = false;
    bool HeadGiven = false;
    /// Bytes of the answer's body that wait for more.
    std::vector<std::byte> Gathered = {};
  };

  UpstreamConnection(const std::string &host, int port, int descriptor);

  httplib::Request makeRequest(Run &run);
  bool provideBody(Run &run, httplib::DataSink &sink) const;
  bool giveHead(Run &run) const;
  bool takeBody(Run &run, const char *data, std::size_t size) const;
  bool giveBody(Run &run) const;
  core::Result<void> settle(Run &run, bool complete);

  const int Descriptor;
  bool Reusable = true;
};

} // namespace acaciaroad::http

#endif
