#include "Codec/ControlCodec.h"

#include <chrono>
#include <cstdint>

#include "Codec/Conversion.h"
#include "Codec/Generated/Control.pb.h"

namespace acaciaroad::codec {

using core::InstanceId;

namespace {

/// Longest duration that a message may state.
constexpr std::uint64_t MaxDurationNs =
    std::chrono::nanoseconds(std::chrono::hours(24)).count();

/// Most slices, settlements or ids in one message.
constexpr int MaxRepeated = 65'536;

std::uint64_t durationNumber(core::Duration from) {
  return from.count() < 0 ? 0 : static_cast<std::uint64_t>(from.count());
}

bool readDuration(std::uint64_t from, core::Duration &to) {
  to = core::Duration(static_cast<std::int64_t>(from));
  return from <= MaxDurationNs;
}

void writeSlice(const core::SliceId &slice, core::Epoch epoch,
                pb::ControlSliceEpoch &to) {
  to.set_service(slice.Service);
  to.set_index(slice.Index);
  to.set_epoch(epoch);
}

bool readSlice(const pb::ControlSliceEpoch &from, core::SliceId &slice,
               core::Epoch &epoch) {
  slice.Index = from.index();
  epoch = from.epoch();
  return readString(from.service(), slice.Service);
}

template <typename Message>
void writeId(const requests::IdempotencyId &from, Message &to) {
  to.set_id_high(from.High);
  to.set_id_low(from.Low);
}

template <typename Message>
void readId(const Message &from, requests::IdempotencyId &to) {
  to = {from.id_high(), from.id_low()};
}

// Ownership.

void write(const ownership::LeaseAsk &from, pb::Control &out) {
  auto &to = *out.mutable_lease_ask();
  to.set_witness(from.Witness.Value);
  to.set_asked_at(from.AskedAt);
  to.set_joined_at(from.JoinedAt);
  to.set_since_majority(from.SinceMajority);
}
bool read(const pb::LeaseAsk &from, ownership::LeaseAsk &to) {
  to = {InstanceId{from.witness()}, from.asked_at(), from.joined_at(),
        from.since_majority()};
  return true;
}

void write(const ownership::LeasePromise &from, pb::Control &out) {
  auto &to = *out.mutable_lease_promise();
  to.set_holder(from.Holder.Value);
  to.set_asked_at(from.AskedAt);
  to.set_read_to(from.ReadTo);
}
bool read(const pb::LeasePromise &from, ownership::LeasePromise &to) {
  to = {InstanceId{from.holder()}, from.asked_at(), from.read_to()};
  return true;
}

void write(const ownership::LeaseRefusal &from, pb::Control &out) {
  out.mutable_lease_refusal()->set_holder(from.Holder.Value);
}
bool read(const pb::LeaseRefusal &from, ownership::LeaseRefusal &to) {
  to = {InstanceId{from.holder()}};
  return true;
}

void write(const ownership::ConfirmQuery &from, pb::Control &out) {
  auto &to = *out.mutable_confirm_query();
  to.set_witness(from.Witness.Value);
  to.set_holder(from.Holder.Value);
}
bool read(const pb::ConfirmQuery &from, ownership::ConfirmQuery &to) {
  to = {InstanceId{from.witness()}, InstanceId{from.holder()}};
  return true;
}

void write(const ownership::LapseConfirmed &from, pb::Control &out) {
  out.mutable_lapse_confirmed()->set_holder(from.Holder.Value);
}
bool read(const pb::LapseConfirmed &from, ownership::LapseConfirmed &to) {
  to = {InstanceId{from.holder()}};
  return true;
}

void write(const ownership::Released &from, pb::Control &out) {
  auto &to = *out.mutable_released();
  for (const ownership::SliceEpoch &it : from.Slices)
    writeSlice(it.Slice, it.Epoch, *to.add_slices());
}
bool read(const pb::Released &from, ownership::Released &to) {
  if (from.slices_size() > MaxRepeated)
    return false;
  return readAll(
      from.slices(), to.Slices,
      [](const pb::ControlSliceEpoch &message, ownership::SliceEpoch &slice) {
        return readSlice(message, slice.Slice, slice.Epoch);
      });
}

void write(const ownership::Probe &from, pb::Control &out) {
  out.mutable_probe()->set_holder(from.Holder.Value);
}
bool read(const pb::Probe &from, ownership::Probe &to) {
  to = {InstanceId{from.holder()}};
  return true;
}

void write(const ownership::ProbeReply &from, pb::Control &out) {
  out.mutable_probe_reply()->set_since_majority(from.SinceMajority);
}
bool read(const pb::ProbeReply &from, ownership::ProbeReply &to) {
  to = {from.since_majority()};
  return true;
}

void write(const ownership::SilenceQuery &from, pb::Control &out) {
  out.mutable_silence_query()->set_holder(from.Holder.Value);
}
bool read(const pb::SilenceQuery &from, ownership::SilenceQuery &to) {
  to = {InstanceId{from.holder()}};
  return true;
}

void write(const ownership::SilenceReport &from, pb::Control &out) {
  auto &to = *out.mutable_silence_report();
  to.set_holder(from.Holder.Value);
  to.set_silence(from.Silence);
}
bool read(const pb::SilenceReport &from, ownership::SilenceReport &to) {
  to = {InstanceId{from.holder()}, from.silence()};
  return true;
}

void write(const ownership::ControlMessage &from, pb::Control &out) {
  std::visit([&](const auto &message) { write(message, out); }, from);
}

// Accounts.

template <typename Message>
void writeSettled(const std::vector<accounts::CreditSettlement> &from,
                  Message &to) {
  for (const accounts::CreditSettlement &it : from) {
    auto &settled = *to.add_settled();
    settled.set_ask(it.Ask);
    settled.set_unspent(it.Unspent);
  }
}

template <typename Message>
bool readSettled(const Message &from,
                 std::vector<accounts::CreditSettlement> &to) {
  if (from.settled_size() > MaxRepeated)
    return false;
  return readAll(
      from.settled(), to,
      [](const pb::CreditSettlement &message, accounts::CreditSettlement &it) {
        it = {message.ask(), message.unspent()};
        return true;
      });
}

void write(const accounts::CreditAsk &from, pb::Control &out) {
  auto &to = *out.mutable_credit_ask();
  to.set_holder(from.Holder.Value);
  to.set_id(from.Id);
  to.set_account(from.Account);
  to.set_needed(from.Needed);
  to.set_wanted(from.Wanted);
  writeSettled(from.Settled, to);
}
bool read(const pb::CreditAsk &from, accounts::CreditAsk &to) {
  to.Holder = InstanceId{from.holder()};
  to.Id = from.id();
  to.Needed = from.needed();
  to.Wanted = from.wanted();
  return readString(from.account(), to.Account) &&
         readSettled(from, to.Settled);
}

void write(const accounts::CreditGrant &from, pb::Control &out) {
  auto &to = *out.mutable_credit_grant();
  to.set_id(from.Id);
  to.set_account(from.Account);
  to.set_status(enumNumber(from.Status));
  to.set_amount(from.Amount);
  to.set_lifetime_ns(durationNumber(from.Lifetime));
  to.set_retry_after_ns(durationNumber(from.RetryAfter));
}
bool read(const pb::CreditGrant &from, accounts::CreditGrant &to) {
  to.Id = from.id();
  to.Amount = from.amount();
  return readString(from.account(), to.Account) &&
         readEnum(from.status(), accounts::CreditStatus::NotOwner, to.Status) &&
         readDuration(from.lifetime_ns(), to.Lifetime) &&
         readDuration(from.retry_after_ns(), to.RetryAfter);
}

void write(const accounts::CreditReturn &from, pb::Control &out) {
  auto &to = *out.mutable_credit_return();
  to.set_holder(from.Holder.Value);
  to.set_account(from.Account);
  writeSettled(from.Settled, to);
}
bool read(const pb::CreditReturn &from, accounts::CreditReturn &to) {
  to.Holder = InstanceId{from.holder()};
  return readString(from.account(), to.Account) &&
         readSettled(from, to.Settled);
}

void write(const accounts::CreditHandover &from, pb::Control &out) {
  auto &to = *out.mutable_credit_handover();
  to.set_account(from.Account);
  to.set_level(from.Level);
  for (const accounts::OutstandingCredit &it : from.Outstanding) {
    auto &credit = *to.add_outstanding();
    credit.set_holder(it.Holder.Value);
    credit.set_ask(it.Ask);
    credit.set_amount(it.Amount);
    credit.set_remaining_ns(durationNumber(it.Remaining));
  }
}
bool read(const pb::CreditHandover &from, accounts::CreditHandover &to) {
  to.Level = from.level();
  if (from.outstanding_size() > MaxRepeated ||
      !readString(from.account(), to.Account))
    return false;
  return readAll(from.outstanding(), to.Outstanding,
                 [](const pb::OutstandingCredit &message,
                    accounts::OutstandingCredit &it) {
                   it.Holder = InstanceId{message.holder()};
                   it.Ask = message.ask();
                   it.Amount = message.amount();
                   return readDuration(message.remaining_ns(), it.Remaining);
                 });
}

// Requests.

void write(const requests::IdempotencyTell &from, pb::Control &out) {
  auto &to = *out.mutable_tell();
  to.set_owner(from.Owner.Value);
  writeSlice(from.Slice, from.Epoch, *to.mutable_slice());
  writeId(from.Id, to);
  to.set_fingerprint(from.Fingerprint);
  to.set_sequence(from.Sequence);
  to.set_age_ns(durationNumber(from.Age));
}
bool read(const pb::IdempotencyTell &from, requests::IdempotencyTell &to) {
  to.Owner = InstanceId{from.owner()};
  readId(from, to.Id);
  to.Fingerprint = from.fingerprint();
  to.Sequence = from.sequence();
  return readSlice(from.slice(), to.Slice, to.Epoch) &&
         readDuration(from.age_ns(), to.Age);
}

void write(const requests::IdempotencyAck &from, pb::Control &out) {
  auto &to = *out.mutable_ack();
  to.set_witness(from.Witness.Value);
  writeId(from.Id, to);
  to.set_sequence(from.Sequence);
  to.set_is_kept(from.IsKept);
}
bool read(const pb::IdempotencyAck &from, requests::IdempotencyAck &to) {
  to.Witness = InstanceId{from.witness()};
  readId(from, to.Id);
  to.Sequence = from.sequence();
  to.IsKept = from.is_kept();
  return true;
}

void write(const requests::IdempotencyForget &from, pb::Control &out) {
  auto &to = *out.mutable_forget();
  to.set_owner(from.Owner.Value);
  writeSlice(from.Slice, from.Epoch, *to.mutable_slice());
  writeId(from.Id, to);
  to.set_sequence(from.Sequence);
}
bool read(const pb::IdempotencyForget &from, requests::IdempotencyForget &to) {
  to.Owner = InstanceId{from.owner()};
  readId(from, to.Id);
  to.Sequence = from.sequence();
  return readSlice(from.slice(), to.Slice, to.Epoch);
}

void write(const requests::IdempotencyHandoverAsk &from, pb::Control &out) {
  auto &to = *out.mutable_handover_ask();
  to.set_successor(from.Successor.Value);
  writeSlice(from.Slice, from.Epoch, *to.mutable_slice());
}
bool read(const pb::IdempotencyHandoverAsk &from,
          requests::IdempotencyHandoverAsk &to) {
  to.Successor = InstanceId{from.successor()};
  return readSlice(from.slice(), to.Slice, to.Epoch);
}

void write(const requests::IdempotencyHandover &from, pb::Control &out) {
  auto &to = *out.mutable_handover();
  to.set_from(from.From.Value);
  writeSlice(from.Slice, from.Epoch, *to.mutable_slice());
  for (const requests::HandedId &it : from.Ids) {
    auto &id = *to.add_ids();
    writeId(it.Id, id);
    id.set_fingerprint(it.Fingerprint);
    id.set_age_ns(durationNumber(it.Age));
    id.set_is_done(it.IsDone);
    id.set_answer(it.Answer);
  }
}
bool read(const pb::IdempotencyHandover &from,
          requests::IdempotencyHandover &to) {
  to.From = InstanceId{from.from()};
  if (from.ids_size() > MaxRepeated)
    return false;
  return readSlice(from.slice(), to.Slice, to.Epoch) &&
         readAll(from.ids(), to.Ids,
                 [](const pb::HandedId &message, requests::HandedId &it) {
                   readId(message, it.Id);
                   it.Fingerprint = message.fingerprint();
                   it.IsDone = message.is_done();
                   it.Answer = message.answer();
                   return readDuration(message.age_ns(), it.Age);
                 });
}

// Log.

void write(const OffsetQuery &from, pb::Control &out) {
  out.mutable_offset_query()->set_offset(from.Offset);
}
bool read(const pb::OffsetQuery &from, OffsetQuery &to) {
  to.Offset = from.offset();
  return true;
}

void write(const OffsetReport &from, pb::Control &out) {
  out.mutable_offset_report()->set_next_offset(from.NextOffset);
}
bool read(const pb::OffsetReport &from, OffsetReport &to) {
  to.NextOffset = from.next_offset();
  return true;
}

/// Reads \p from as a \p Body; the outer variant of ownership messages is
/// entered where the kind belongs to it.
template <typename Body, typename Message>
bool readInto(const Message &from, ControlBody &to) {
  Body body;
  if (!read(from, body))
    return false;
  if constexpr (std::is_constructible_v<ownership::ControlMessage, Body>)
    to = ownership::ControlMessage(std::move(body));
  else
    to = std::move(body);
  return true;
}

bool readOwnership(const pb::Control &from, ControlBody &to) {
  switch (from.body_case()) {
  case pb::Control::kLeaseAsk:
    return readInto<ownership::LeaseAsk>(from.lease_ask(), to);
  case pb::Control::kLeasePromise:
    return readInto<ownership::LeasePromise>(from.lease_promise(), to);
  case pb::Control::kLeaseRefusal:
    return readInto<ownership::LeaseRefusal>(from.lease_refusal(), to);
  case pb::Control::kConfirmQuery:
    return readInto<ownership::ConfirmQuery>(from.confirm_query(), to);
  case pb::Control::kLapseConfirmed:
    return readInto<ownership::LapseConfirmed>(from.lapse_confirmed(), to);
  case pb::Control::kReleased:
    return readInto<ownership::Released>(from.released(), to);
  case pb::Control::kProbe:
    return readInto<ownership::Probe>(from.probe(), to);
  case pb::Control::kProbeReply:
    return readInto<ownership::ProbeReply>(from.probe_reply(), to);
  case pb::Control::kSilenceQuery:
    return readInto<ownership::SilenceQuery>(from.silence_query(), to);
  case pb::Control::kSilenceReport:
    return readInto<ownership::SilenceReport>(from.silence_report(), to);
  default:
    return false;
  }
}

bool readBody(const pb::Control &from, ControlBody &to) {
  switch (from.body_case()) {
  case pb::Control::kCreditAsk:
    return readInto<accounts::CreditAsk>(from.credit_ask(), to);
  case pb::Control::kCreditGrant:
    return readInto<accounts::CreditGrant>(from.credit_grant(), to);
  case pb::Control::kCreditReturn:
    return readInto<accounts::CreditReturn>(from.credit_return(), to);
  case pb::Control::kCreditHandover:
    return readInto<accounts::CreditHandover>(from.credit_handover(), to);
  case pb::Control::kTell:
    return readInto<requests::IdempotencyTell>(from.tell(), to);
  case pb::Control::kAck:
    return readInto<requests::IdempotencyAck>(from.ack(), to);
  case pb::Control::kForget:
    return readInto<requests::IdempotencyForget>(from.forget(), to);
  case pb::Control::kHandoverAsk:
    return readInto<requests::IdempotencyHandoverAsk>(from.handover_ask(), to);
  case pb::Control::kHandover:
    return readInto<requests::IdempotencyHandover>(from.handover(), to);
  case pb::Control::kOffsetQuery:
    return readInto<OffsetQuery>(from.offset_query(), to);
  case pb::Control::kOffsetReport:
    return readInto<OffsetReport>(from.offset_report(), to);
  default:
    return readOwnership(from, to);
  }
}

} // namespace

std::string encode(const PeerControl &message) {
  pb::Control out;
  out.set_from(message.From.Value);
  std::visit([&](const auto &body) { write(body, out); }, message.Body);
  return out.SerializeAsString();
}

core::Result<PeerControl> decodeControl(std::string_view bytes) {
  pb::Control in;
  if (bytes.size() > MaxControlBytes ||
      !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return core::fail(core::ErrorKind::CorruptMessage);
  PeerControl message;
  message.From = InstanceId{in.from()};
  if (!message.From || !readBody(in, message.Body))
    return core::fail(core::ErrorKind::CorruptMessage);
  return message;
}

} // namespace acaciaroad::codec
