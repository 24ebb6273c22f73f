/// \file
/// Configuration records for tests.

#ifndef ACACIAROAD_TESTS_SUPPORT_CONFIGURATIONSAMPLES_H
#define ACACIAROAD_TESTS_SUPPORT_CONFIGURATIONSAMPLES_H

#include <string>

#include "Configuration/ClientKey.h"
#include "Configuration/ConfigurationRecord.h"

namespace acaciaroad::tests {

inline configuration::ChangeOrigin originOf(std::uint64_t changeId) {
  return {changeId, "ana", 1'700'000'000'000};
}

inline configuration::WorkClass sampleClass(std::string name,
                                            std::string prefix) {
  configuration::WorkClass out;
  out.Name = std::move(name);
  out.PathPrefix = std::move(prefix);
  out.Service = "questionnaires";
  out.Key = configuration::KeySource::PathSegment;
  return out;
}

inline configuration::ClassSet classSet(std::uint64_t basis, std::string name,
                                        std::string prefix) {
  return {originOf(basis + 1), basis,
          sampleClass(std::move(name), std::move(prefix))};
}

inline configuration::ClassRemoved classRemoved(std::uint64_t basis,
                                                std::string name) {
  return {originOf(basis + 1), basis, std::move(name)};
}

inline configuration::AccountSet
accountSet(std::uint64_t basis, std::string name, double rate = 100) {
  return {originOf(basis + 1), basis, {std::move(name), rate, rate}};
}

inline configuration::AccountRemoved accountRemoved(std::uint64_t basis,
                                                    std::string name) {
  return {originOf(basis + 1), basis, std::move(name)};
}

/// A key whose secret is "secret-of-" and the id.
inline configuration::KeyGranted keyGranted(std::uint64_t basis, std::string id,
                                            std::string account) {
  const std::string salt(configuration::SaltBytes, 's');
  const auto hash = configuration::hashSecret(salt, "secret-of-" + id);
  return {originOf(basis + 1), basis, std::move(id),
          std::move(account),  salt,  std::string(hash.begin(), hash.end())};
}

inline configuration::KeyWithdrawn keyWithdrawn(std::string id) {
  return {originOf(7), std::move(id)};
}

} // namespace acaciaroad::tests

#endif
