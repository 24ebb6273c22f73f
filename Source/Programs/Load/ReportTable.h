/// \file
/// Results of an experiment as a table for people.

#ifndef ACACIAROAD_LOAD_REPORTTABLE_H
#define ACACIAROAD_LOAD_REPORTTABLE_H

#include <string>

#include "Programs/Load/Report.h"

namespace acaciaroad::load {

/// Returns a row for all requests, each account and each class.
std::string renderTable(const Report &report);

} // namespace acaciaroad::load

#endif
