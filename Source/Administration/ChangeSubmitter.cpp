#include "Administration/ChangeSubmitter.h"

#include "Administration/Representation.h"
#include "Core/ParseNumber.h"

namespace acaciaroad::administration {

using configuration::ConfigurationRecord;
using configuration::HistoryEntry;
using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

/// Kind, name and version of the item that a record changes.
struct ChangedItem {
  configuration::ItemKind Kind;
  std::string Name;
};

ChangedItem itemOf(const configuration::ClassSet &record) {
  return {configuration::ItemKind::Class, record.Value.Name};
}
ChangedItem itemOf(const configuration::ClassRemoved &record) {
  return {configuration::ItemKind::Class, record.Name};
}
ChangedItem itemOf(const configuration::AccountSet &record) {
  return {configuration::ItemKind::Account, record.Value.Name};
}
ChangedItem itemOf(const configuration::AccountRemoved &record) {
  return {configuration::ItemKind::Account, record.Name};
}
ChangedItem itemOf(const configuration::KeyGranted &record) {
  return {configuration::ItemKind::Key, record.KeyId};
}
ChangedItem itemOf(const configuration::KeyWithdrawn &record) {
  return {configuration::ItemKind::Key, record.KeyId};
}

ChangedItem itemOf(const ConfigurationRecord &record) {
  return std::visit([](const auto &it) { return itemOf(it); }, record);
}

configuration::ChangeOrigin originOf(const ConfigurationRecord &record) {
  return std::visit([](const auto &it) { return it.Origin; }, record);
}

ApiResponse accepted(core::Offset offset, std::uint64_t changeId,
                     bool isRepeated) {
  auto response = ApiResponse::json({{"outcome", "accepted"},
                                     {"offset", offset},
                                     {"version", offset + 1},
                                     {"change_id", changeIdText(changeId)},
                                     {"repeated", isRepeated}});
  response.Tag = std::to_string(offset + 1);
  return response;
}

} // namespace

Result<ChangeParameters>
ChangeSubmitter::parameters(const ApiCall &call, FieldReader &reader) const {
  std::string changeId(call.Request.parameter("change_id"));
  reader.text("change_id", changeId, Presence::Optional);
  ChangeParameters out;
  out.Origin.Operator = call.Who.Name;
  out.Origin.UnixMilliseconds = Hooks->UnixMilliseconds();
  const auto id = changeId.empty() ? std::optional(core::randomId())
                                   : parseChangeId(changeId);
  if (!id)
    return fail(ErrorKind::InvalidArgument, "change_id");
  out.Origin.ChangeId = *id;
  constexpr std::uint64_t NoBasis = ~std::uint64_t{0};
  const std::string_view header = call.Request.IfMatch;
  const std::string_view query = call.Request.parameter("basis");
  const std::string_view outside = header.empty() ? query : header;
  const auto stated = core::parseNumber<std::uint64_t>(outside);
  if (!outside.empty() && !stated)
    return fail(ErrorKind::InvalidArgument, "basis");
  std::uint64_t basis = stated.value_or(NoBasis);
  reader.number("basis", basis, Presence::Optional);
  if (basis != NoBasis)
    out.Basis = basis;
  return out;
}

std::optional<HistoryEntry>
ChangeSubmitter::findOwn(const ConfigurationRecord &record) const {
  auto entry = Hooks->View()->findChange(originOf(record).ChangeId);
  const ChangedItem item = itemOf(record);
  if (!entry || entry->Kind != item.Kind || entry->Name != item.Name)
    return std::nullopt;
  return entry;
}

void ChangeSubmitter::report(const ApiCall &call,
                             const Result<core::Offset> &outcome) const {
  ChangeEvent event;
  event.Operator = call.Who.Name;
  event.Method = call.Request.Method;
  event.Path = call.Request.Path;
  event.Outcome =
      outcome ? "accepted" : core::answerFor(outcome.error().Kind).Name;
  event.Offset = outcome.value_or(0);
  Hooks->OnChange(event);
}

ApiResult ChangeSubmitter::submit(const ApiCall &call,
                                  const ConfigurationRecord &record) const {
  const std::uint64_t changeId = originOf(record).ChangeId;
  if (const auto entry = findOwn(record))
    return accepted(entry->Offset, changeId, true);
  const auto view = Hooks->View();
  const ChangedItem item = itemOf(record);
  const auto refusal = [&](const core::Error &error) {
    return tl::unexpected(ApiFailure(
        error, {{"change_id", changeIdText(changeId)},
                {"version", Hooks->View()->versionOf(item.Kind, item.Name)}}));
  };
  if (const auto valid = view->validate(record); !valid)
    return refusal(valid.error());
  if (call.isDryRun())
    return ApiResponse::json({{"outcome", "valid"}, {"dry_run", true}});
  const auto outcome = Hooks->Submit(record);
  report(call, outcome);
  if (outcome)
    return accepted(*outcome, changeId, false);
  // An earlier copy of this request may have been accepted in between.
  if (outcome.error().Kind == ErrorKind::Conflict) {
    if (const auto entry = findOwn(record))
      return accepted(entry->Offset, changeId, true);
  }
  return refusal(outcome.error());
}

ApiResult
ChangeSubmitter::submit(const ApiCall &call,
                        const ownership::OwnershipRecord &record) const {
  if (call.isDryRun())
    return ApiResponse::json({{"outcome", "valid"}, {"dry_run", true}});
  const auto outcome = Hooks->Submit(record);
  report(call, outcome);
  if (!outcome)
    return refuse(outcome.error());
  return ApiResponse::json({{"outcome", "accepted"}, {"offset", *outcome}});
}

} // namespace acaciaroad::administration
