/// \file
/// Runs an event loop whose handlers may throw.

#ifndef ACACIAROAD_NET_RUNLOOP_H
#define ACACIAROAD_NET_RUNLOOP_H

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace acaciaroad::net {

/// What is to be done after a handler has thrown.
enum class AfterFailure { Continue, Stop };

using FailureHook = std::function<AfterFailure(std::string_view what)>;

/// Returns once \p loop is stopped or out of work, or \p onFailed says Stop. A
/// handler that throws ends its own request or connection only.
void runLoop(boost::asio::io_context &loop, const FailureHook &onFailed);

} // namespace acaciaroad::net

#endif
