/// \file
/// The JSON form of what the administration API shows and takes.

#ifndef ACACIAROAD_ADMINISTRATION_REPRESENTATION_H
#define ACACIAROAD_ADMINISTRATION_REPRESENTATION_H

#include <nlohmann/json.hpp>

#include "Administration/DayTotals.h"
#include "Administration/FieldReader.h"
#include "Administration/FleetStatus.h"
#include "Configuration/Catalogue.h"
#include "Upstream/UpstreamAnnouncement.h"

namespace acaciaroad::administration {

nlohmann::json toJson(const configuration::WorkClass &value);
nlohmann::json toJson(const configuration::ClientAccount &value);
nlohmann::json toJson(const configuration::ClassItem &item);
nlohmann::json toJson(const configuration::AccountItem &item);
/// Without salt and hash.
nlohmann::json toJson(const configuration::KeyItem &item);
nlohmann::json toJson(const configuration::HistoryEntry &entry);
nlohmann::json toJson(const FleetStatus &status);
nlohmann::json toJson(const InstanceLine &line);
nlohmann::json toJson(const DataCentreLine &line);
nlohmann::json toJson(const ServiceLine &line);
nlohmann::json toJson(const OwnerReport &report);
nlohmann::json toJson(const InForceReport &report);
nlohmann::json toJson(const DayTotals &totals);

/// Takes the fields of a class besides its name.
void readClass(FieldReader &reader, configuration::WorkClass &out);

/// Takes the fields of a client account besides its name.
void readAccount(FieldReader &reader, configuration::ClientAccount &out);

/// Takes what an upstream says of itself.
void readAnnouncement(FieldReader &reader, upstream::UpstreamAnnouncement &out);

/// Returns 16 hexadecimal digits; JSON numbers of 64 bits lose digits in many
/// readers.
std::string changeIdText(std::uint64_t changeId);

/// Inverse of changeIdText for 1 to 16 digits; 0 is not valid.
std::optional<std::uint64_t> parseChangeId(std::string_view text);

} // namespace acaciaroad::administration

#endif
