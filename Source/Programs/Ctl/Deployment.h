/// \file
/// The configuration that a file asks for, and how it differs from the one in
/// force.

#ifndef ACACIAROAD_PROGRAMS_CTL_DEPLOYMENT_H
#define ACACIAROAD_PROGRAMS_CTL_DEPLOYMENT_H

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Error.h"

namespace acaciaroad::ctl {

/// A whole configuration but for keys, which only the API grants.
struct Deployment {
  std::vector<configuration::WorkClass> Classes;
  std::vector<configuration::ClientAccount> Accounts;

  /// Reads TOML with the tables `[classes.NAME]` and `[accounts.NAME]`, whose
  /// fields are those of the API. InvalidArgument names what is wrong.
  static core::Result<Deployment> parse(std::string_view toml);
};

/// One item that has to change.
struct Difference {
  /// "classes" or "accounts".
  std::string Collection;
  std::string Name;
  /// Version that the change builds on.
  std::uint64_t Basis = 0;
  /// Whether the item is not in the file.
  bool IsRemoval = false;
  /// Body of the change, without basis and change id.
  nlohmann::json Body = nlohmann::json::object();
};

/// Returns what has to be sent so that \p wanted is in force. \p classes and
/// \p accounts are the lists of the API. Items that the file does not name are
/// removed only if \p removesOthers. An absent item has basis 0.
std::vector<Difference> differences(const Deployment &wanted,
                                    const nlohmann::json &classes,
                                    const nlohmann::json &accounts,
                                    bool removesOthers);

} // namespace acaciaroad::ctl

#endif
