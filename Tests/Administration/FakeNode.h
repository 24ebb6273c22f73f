/// \file
/// The hooks of the administration API over a catalogue without a log.

#ifndef ACACIAROAD_TESTS_ADMINISTRATION_FAKENODE_H
#define ACACIAROAD_TESTS_ADMINISTRATION_FAKENODE_H

#include <memory>
#include <mutex>
#include <vector>

#include "Administration/AdministrationApi.h"
#include "Configuration/ClientKey.h"

namespace acaciaroad::tests {

/// How the fake log treats the next appends.
enum class LogMode {
  Works,
  /// Nothing is written.
  Down,
  /// The record is written, the answer is lost.
  LosesAnswers,
  /// The record is written, the answer is lost, and the fold is not seen until
  /// catchUp().
  LosesAnswersAndLags,
};

/// SHA-256 of "view-token" and "operate-token", in hexadecimal digits.
std::string hashText(std::string_view token);

/// A node whose log is a variable. Fold results are those of the Catalogue.
class FakeNode : public std::enable_shared_from_this<FakeNode> {
public:
  static constexpr const char *ViewToken = "view-token";
  static constexpr const char *OperateToken = "operate-token";

  static std::shared_ptr<FakeNode> create();

  std::shared_ptr<administration::AdministrationApi> api();
  administration::AdministrationHooks hooks();

  core::Result<core::Offset> submit(const codec::LogEntry &entry);
  /// Folds what the fold has not seen.
  void catchUp();

  LogMode Mode = LogMode::Works;
  /// Everything appended, in order.
  std::vector<codec::LogEntry> Log;
  administration::FleetStatus Status;
  std::vector<upstream::UpstreamAnnouncement> Announcements;
  bool HasLeft = false;
  std::vector<administration::ChangeEvent> Events;
  administration::DayTotals Totals{administration::DayRange{0, 1LL << 50}};

private:
  core::Result<void> foldNext();
  core::Result<void> fold(const ownership::DataCentreShareSet &record);

  std::mutex Mutex;
  std::shared_ptr<const configuration::Catalogue> View =
      std::make_shared<configuration::Catalogue>();
  std::size_t Folded = 0;
};

/// An operator's request.
administration::ApiRequest request(std::string method, std::string_view path,
                                   std::string body = {});

} // namespace acaciaroad::tests

#endif
