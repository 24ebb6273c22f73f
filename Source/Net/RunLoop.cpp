#include "Net/RunLoop.h"

#include <exception>

namespace acaciaroad::net {

void runLoop(boost::asio::io_context &loop, const FailureHook &onFailed) {
  auto next = AfterFailure::Continue;
  while (next == AfterFailure::Continue) {
    try {
      loop.run();
      return;
    } catch (const std::exception &error) {
      next = onFailed(error.what());
    }
  }
}

} // namespace acaciaroad::net
