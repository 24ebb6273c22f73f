#include "Codec/ConfigurationMessages.h"

#include "Codec/Conversion.h"

namespace acaciaroad::codec {

namespace {

using std::chrono::milliseconds;

/// Beyond any time that a class may state, so that no sum overflows.
constexpr std::int64_t MaxMilliseconds = 1'000'000'000'000;

bool readMilliseconds(std::int64_t from, milliseconds &to) {
  if (from < 0 || from > MaxMilliseconds)
    return false;
  to = milliseconds(from);
  return true;
}

template <typename Record, typename Message>
void writeRemoved(const Record &from, Message &to) {
  write(from.Origin, *to.mutable_origin());
  to.set_basis(from.Basis);
  to.set_name(from.Name);
}

template <typename Record, typename Message>
bool readRemoved(const Message &from, Record &to) {
  to.Basis = from.basis();
  return read(from.origin(), to.Origin) && readString(from.name(), to.Name);
}

template <typename Record, typename Message>
void writeSet(const Record &from, Message &to) {
  write(from.Origin, *to.mutable_origin());
  to.set_basis(from.Basis);
  write(from.Value, *to.mutable_value());
}

template <typename Record, typename Message>
bool readSet(const Message &from, Record &to) {
  to.Basis = from.basis();
  return read(from.origin(), to.Origin) && read(from.value(), to.Value);
}

} // namespace

void write(const configuration::ChangeOrigin &from, pb::ChangeOrigin &to) {
  to.set_change_id(from.ChangeId);
  to.set_operator_(from.Operator);
  to.set_unix_ms(from.UnixMilliseconds);
}

bool read(const pb::ChangeOrigin &from, configuration::ChangeOrigin &to) {
  to.ChangeId = from.change_id();
  to.UnixMilliseconds = from.unix_ms();
  return readString(from.operator_(), to.Operator);
}

void write(const configuration::WorkClass &from, pb::WorkClass &to) {
  to.set_name(from.Name);
  to.set_path_prefix(from.PathPrefix);
  to.set_service(from.Service);
  to.set_key(enumNumber(from.Key));
  to.set_key_name(from.KeyName);
  to.set_runs(enumNumber(from.ExecutionMode));
  to.set_deadline_ms(from.Deadline.count());
  to.set_latency_target_ms(from.LatencyTarget.count());
  to.set_availability_ppm(from.AvailabilityPpm);
  to.set_body_limit_bytes(from.BodyLimitBytes);
}

bool read(const pb::WorkClass &from, configuration::WorkClass &to) {
  to.AvailabilityPpm = from.availability_ppm();
  to.BodyLimitBytes = from.body_limit_bytes();
  return readString(from.name(), to.Name) &&
         readString(from.path_prefix(), to.PathPrefix) &&
         readString(from.service(), to.Service) &&
         readString(from.key_name(), to.KeyName) &&
         readEnum(from.key(), configuration::KeySource::Header, to.Key) &&
         readEnum(from.runs(), configuration::Execution::AtMostOnce,
                  to.ExecutionMode) &&
         readMilliseconds(from.deadline_ms(), to.Deadline) &&
         readMilliseconds(from.latency_target_ms(), to.LatencyTarget);
}

void write(const configuration::ClientAccount &from, pb::ClientAccount &to) {
  to.set_name(from.Name);
  to.set_rate_per_second(from.RatePerSecond);
  to.set_burst(from.Burst);
}

bool read(const pb::ClientAccount &from, configuration::ClientAccount &to) {
  to.RatePerSecond = from.rate_per_second();
  to.Burst = from.burst();
  return readString(from.name(), to.Name);
}

void write(const configuration::ClassSet &from, pb::ClassSet &to) {
  writeSet(from, to);
}

bool read(const pb::ClassSet &from, configuration::ClassSet &to) {
  return readSet(from, to);
}

void write(const configuration::ClassRemoved &from, pb::ClassRemoved &to) {
  writeRemoved(from, to);
}

bool read(const pb::ClassRemoved &from, configuration::ClassRemoved &to) {
  return readRemoved(from, to);
}

void write(const configuration::AccountSet &from, pb::AccountSet &to) {
  writeSet(from, to);
}

bool read(const pb::AccountSet &from, configuration::AccountSet &to) {
  return readSet(from, to);
}

void write(const configuration::AccountRemoved &from, pb::AccountRemoved &to) {
  writeRemoved(from, to);
}

bool read(const pb::AccountRemoved &from, configuration::AccountRemoved &to) {
  return readRemoved(from, to);
}

void write(const configuration::KeyGranted &from, pb::KeyGranted &to) {
  write(from.Origin, *to.mutable_origin());
  to.set_basis(from.Basis);
  to.set_key_id(from.KeyId);
  to.set_account(from.Account);
  to.set_salt(from.Salt);
  to.set_hash(from.Hash);
}

bool read(const pb::KeyGranted &from, configuration::KeyGranted &to) {
  to.Basis = from.basis();
  return read(from.origin(), to.Origin) &&
         readString(from.key_id(), to.KeyId) &&
         readString(from.account(), to.Account) &&
         readBytes(from.salt(), to.Salt) && readBytes(from.hash(), to.Hash);
}

void write(const configuration::KeyWithdrawn &from, pb::KeyWithdrawn &to) {
  write(from.Origin, *to.mutable_origin());
  to.set_key_id(from.KeyId);
}

bool read(const pb::KeyWithdrawn &from, configuration::KeyWithdrawn &to) {
  return read(from.origin(), to.Origin) && readString(from.key_id(), to.KeyId);
}

} // namespace acaciaroad::codec
