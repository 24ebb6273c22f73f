/// \file
/// A small experiment for tests.

#ifndef ACACIAROAD_TESTS_PROGRAMS_LOADPLAN_H
#define ACACIAROAD_TESTS_PROGRAMS_LOADPLAN_H

#include <chrono>

#include "Programs/Load/Experiment.h"

namespace acaciaroad::tests {

/// Two accounts of 100 requests a second and one class, over 10 s.
inline load::Experiment twoAccounts() {
  load::Experiment out;
  out.Name = "test";
  out.Length = std::chrono::seconds(10);
  out.Timeout = std::chrono::seconds(60);
  out.Targets = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
  out.Accounts = {{"ana", "", 1000, 1000}, {"rui", "", 1000, 1000}};
  out.Classes.resize(1);
  out.Classes[0].Name = "c";
  out.Classes[0].Method = "GET";
  out.Classes[0].Path = "/c/{key}/{n}";
  out.Classes[0].Keys = 100;
  out.Flows = {{0, 0, 100}, {1, 0, 100}};
  return out;
}

} // namespace acaciaroad::tests

#endif
