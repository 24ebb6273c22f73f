#include "Configuration/Validation.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "Configuration/ClientKey.h"
#include "Configuration/RoutingKey.h"

namespace acaciaroad::configuration {

namespace {

using core::ErrorKind;
using core::Result;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxPrefixBytes = 256;
constexpr std::chrono::milliseconds MaxDeadline = std::chrono::minutes(10);
constexpr std::uint32_t MaxAvailabilityPpm = 1'000'000;
constexpr std::uint64_t MaxBodyLimitBytes = 1ULL << 32U;
/// Upper bound of a rate in requests per second and of a burst in requests.
constexpr double MaxRateOrBurst = 1e8;

/// Returns InvalidArgument with the name of \p field unless \p isValid.
Result<void> check(bool isValid, std::string_view field) {
  if (!isValid)
    return core::fail(ErrorKind::InvalidArgument, std::string(field));
  return {};
}

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

bool isTokenCharacter(char c) {
  return isNameCharacter(c) || (c >= 'A' && c <= 'Z');
}

bool isPrefixCharacter(char c) {
  return isTokenCharacter(c) || c == '/' || c == '~';
}

bool isValidToken(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes &&
         std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValidPrefix(std::string_view prefix) {
  if (prefix == "/")
    return true;
  return prefix.size() <= MaxPrefixBytes && prefix.starts_with('/') &&
         !prefix.ends_with('/') &&
         prefix.find("//") == std::string_view::npos &&
         std::all_of(prefix.begin(), prefix.end(), isPrefixCharacter) &&
         canonicalPath(prefix).has_value();
}

bool isValidKeyName(const WorkClass &value) {
  const bool isNamed =
      value.Key == KeySource::QueryParameter || value.Key == KeySource::Header;
  return isNamed ? isValidToken(value.KeyName) : value.KeyName.empty();
}

bool isInRange(std::chrono::milliseconds value, std::chrono::milliseconds max) {
  return value > std::chrono::milliseconds(0) && value <= max;
}

Result<void> checkOrigin(const ChangeOrigin &origin) {
  return check(origin.ChangeId != 0, "change_id").and_then([&] {
    return check(isValidToken(origin.Operator), "operator");
  });
}

/// Checks the fields of each record type except its origin.
struct FieldRules {
  Result<void> operator()(const ClassSet &record) const {
    const WorkClass &value = record.Value;
    if (!isValidName(value.Name))
      return check(false, "name");
    if (!isValidPrefix(value.PathPrefix))
      return check(false, "path_prefix");
    if (!isValidName(value.Service))
      return check(false, "service");
    if (value.Key > KeySource::Header)
      return check(false, "key");
    if (!isValidKeyName(value))
      return check(false, "key_name");
    if (value.ExecutionMode > Execution::AtMostOnce)
      return check(false, "execution");
    if (!isInRange(value.Deadline, MaxDeadline))
      return check(false, "deadline_ms");
    if (!isInRange(value.LatencyTarget, value.Deadline))
      return check(false, "latency_target_ms");
    if (value.AvailabilityPpm > MaxAvailabilityPpm)
      return check(false, "availability_ppm");
    return check(value.BodyLimitBytes <= MaxBodyLimitBytes, "body_limit_bytes");
  }

  Result<void> operator()(const ClassRemoved &record) const {
    return check(isValidName(record.Name), "name");
  }

  Result<void> operator()(const AccountSet &record) const {
    const ClientAccount &value = record.Value;
    if (!isValidName(value.Name))
      return check(false, "name");
    if (!std::isfinite(value.RatePerSecond) || value.RatePerSecond < 0 ||
        value.RatePerSecond > MaxRateOrBurst)
      return check(false, "rate_per_second");
    // A bucket with a capacity below one request would never admit any.
    const double minBurst = value.RatePerSecond > 0 ? 1 : 0;
    const bool isBurstValid = std::isfinite(value.Burst) &&
                              value.Burst >= minBurst &&
                              value.Burst <= MaxRateOrBurst;
    return check(isBurstValid, "burst");
  }

  Result<void> operator()(const AccountRemoved &record) const {
    return check(isValidName(record.Name), "name");
  }

  Result<void> operator()(const KeyGranted &record) const {
    if (!isValidName(record.KeyId) ||
        record.KeyId.find('.') != std::string::npos)
      return check(false, "key_id");
    if (!isValidName(record.Account))
      return check(false, "account");
    if (record.Salt.size() != SaltBytes)
      return check(false, "salt");
    return check(record.Hash.size() == HashBytes, "hash");
  }

  Result<void> operator()(const KeyWithdrawn &record) const {
    return check(isValidName(record.KeyId), "key_id");
  }
};

} // namespace

bool isValidName(std::string_view name) {
  return !name.empty() && name.size() <= MaxNameBytes &&
         std::all_of(name.begin(), name.end(), isNameCharacter);
}

Result<void> validateFields(const ConfigurationRecord &record) {
  const auto &origin = std::visit(
      [](const auto &it) -> const ChangeOrigin & { return it.Origin; }, record);
  return checkOrigin(origin).and_then(
      [&] { return std::visit(FieldRules{}, record); });
}

} // namespace acaciaroad::configuration
