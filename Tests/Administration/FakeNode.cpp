#include "FakeNode.h"

#include <fmt/format.h>

namespace acaciaroad::tests {

using namespace administration;
using core::ErrorKind;
using core::fail;
using core::Result;

std::string hashText(std::string_view token) {
  std::string out;
  for (char it : configuration::hashSecret("", token))
    out += fmt::format("{:02x}", static_cast<unsigned char>(it));
  return out;
}

std::shared_ptr<FakeNode> FakeNode::create() {
  auto node = std::make_shared<FakeNode>();
  node->Status.Self = core::InstanceId{1};
  node->Status.Instances = {{core::InstanceId{1}, "q-1", "a", "questionnaires",
                             "10.0.0.1:80", "live", 3, 8, true, 0},
                            {core::InstanceId{2}, "q-2", "b", "questionnaires",
                             "10.0.0.2:80", "leaving", 4, 8, true, 0}};
  node->Status.DataCentres = {{"a", 0, 1000, 1}, {"b", 5, 0, 1}};
  return node;
}

std::shared_ptr<AdministrationApi> FakeNode::api() {
  const TokenSetting settings[] = {
      {"vera", "viewer", hashText(ViewToken)},
      {"omar", "operator", hashText(OperateToken)},
  };
  auto tokens = OperatorTokens::create(settings).value();
  return AdministrationApi::create(hooks(), std::move(tokens), {"10.0.0.1"})
      .value();
}

AdministrationHooks FakeNode::hooks() {
  AdministrationHooks out;
  auto self = shared_from_this();
  out.Submit = [self](const codec::LogEntry &it) { return self->submit(it); };
  out.View = [self] {
    const std::lock_guard lock(self->Mutex);
    return self->View;
  };
  out.Status = [self] { return self->Status; };
  out.FindOwner = [](std::string_view service,
                     std::string_view) -> Result<OwnerReport> {
    if (service != "questionnaires")
      return fail(ErrorKind::NotFound, std::string(service));
    OwnerReport report;
    report.Slice = {"questionnaires", 7};
    report.Owner = core::InstanceId{1};
    report.Reason = "fair share";
    return report;
  };
  out.InForce = [](core::Offset offset, std::chrono::milliseconds) {
    return InForceReport{offset, 2, 2, {}};
  };
  out.Totals = [self](const DayRange &) -> Result<DayTotals> {
    return self->Totals;
  };
  out.SetLogLevel = [](std::string_view level) -> Result<void> {
    if (level != "debug")
      return fail(ErrorKind::InvalidArgument, "level");
    return {};
  };
  out.Announce =
      [self](const upstream::UpstreamAnnouncement &it) -> Result<void> {
    self->Announcements.push_back(it);
    return {};
  };
  out.UpstreamLeave = [self]() -> Result<void> {
    self->HasLeft = true;
    return {};
  };
  out.Metrics = [] { return std::string("acacia_up 1\n"); };
  out.OnChange = [self](const ChangeEvent &it) { self->Events.push_back(it); };
  out.UnixMilliseconds = [] { return std::int64_t{1'700'000'000'000}; };
  out.Random = configuration::systemRandom;
  return out;
}

Result<core::Offset> FakeNode::submit(const codec::LogEntry &entry) {
  const std::lock_guard lock(Mutex);
  if (Mode == LogMode::Down)
    return fail(ErrorKind::LogUnavailable);
  Log.push_back(entry);
  if (Mode == LogMode::LosesAnswersAndLags)
    return fail(ErrorKind::LogOutcomeUnknown);
  Result<void> verdict;
  while (Folded < Log.size())
    verdict = foldNext();
  if (Mode == LogMode::LosesAnswers)
    return fail(ErrorKind::LogOutcomeUnknown);
  if (!verdict)
    return tl::unexpected(verdict.error());
  return Log.size() - 1;
}

void FakeNode::catchUp() {
  const std::lock_guard lock(Mutex);
  while (Folded < Log.size())
    foldNext();
}

Result<void> FakeNode::foldNext() {
  const core::Offset offset = Folded++;
  const codec::LogEntry &entry = Log[offset];
  if (const auto *it = std::get_if<ownership::OwnershipRecord>(&entry)) {
    const auto *share = std::get_if<ownership::DataCentreShareSet>(it);
    return share ? fold(*share) : Result<void>();
  }
  auto next = std::make_shared<configuration::Catalogue>(*View);
  auto verdict =
      next->apply(std::get<configuration::ConfigurationRecord>(entry), offset);
  View = std::move(next);
  return verdict;
}

Result<void> FakeNode::fold(const ownership::DataCentreShareSet &record) {
  for (DataCentreLine &it : Status.DataCentres) {
    if (it.Name != record.DataCentre)
      continue;
    if (it.Version != record.Basis)
      return fail(ErrorKind::Conflict);
    ++it.Version;
    it.SharePermille = record.SharePermille;
  }
  return {};
}

ApiRequest request(std::string method, std::string_view path,
                   std::string body) {
  ApiRequest out;
  out.Method = std::move(method);
  const std::size_t query = path.find('?');
  out.Path = path.substr(0, query);
  out.Body = std::move(body);
  out.Bearer = FakeNode::OperateToken;
  out.RemoteAddress = "10.9.9.9";
  std::string rest(query == std::string::npos ? "" : path.substr(query + 1));
  while (!rest.empty()) {
    const std::string pair = rest.substr(0, rest.find('&'));
    rest.erase(0, pair.size() + 1);
    const std::size_t n = pair.find('=');
    out.Query[pair.substr(0, n)] = pair.substr(n + 1);
  }
  return out;
}

} // namespace acaciaroad::tests
