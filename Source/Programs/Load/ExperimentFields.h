/// \file
/// The fields of an experiment file.

#ifndef ACACIAROAD_LOAD_EXPERIMENTFIELDS_H
#define ACACIAROAD_LOAD_EXPERIMENTFIELDS_H

#include <span>
#include <string>

#include "Programs/Load/Experiment.h"
#include "Settings/Field.h"

namespace acaciaroad::load {

/// Flows, phases and actions name accounts and classes; the reader looks them
/// up afterwards.
struct NamedFlow {
  Flow Value;
  std::string Account;
  std::string Class;
};

struct NamedPhase {
  Phase Value;
  std::string Account;
  std::string Class;
};

std::span<const settings::Field<Experiment>> experimentFields();
std::span<const settings::Field<Account>> accountFields();
std::span<const settings::Field<WorkClass>> classFields();
std::span<const settings::Field<NamedFlow>> flowFields();
std::span<const settings::Field<NamedPhase>> phaseFields();
std::span<const settings::Field<Action>> actionFields();

} // namespace acaciaroad::load

#endif
