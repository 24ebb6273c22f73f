#include "Programs/StandinServer/Termination.h"

#include <csignal>

#include <pthread.h>

namespace acaciaroad::standin {

namespace {

sigset_t terminationSignals() {
  sigset_t out;
  sigemptyset(&out);
  sigaddset(&out, SIGTERM);
  sigaddset(&out, SIGINT);
  return out;
}

} // namespace

void blockTerminationSignals() {
  const sigset_t signals = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForTermination() {
  const sigset_t signals = terminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace acaciaroad::standin
