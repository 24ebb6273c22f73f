#include "Programs/Load/ExperimentFields.h"

#include <array>

namespace acaciaroad::load {

namespace {

using settings::Field;
using settings::numberField;
using settings::realField;
using settings::textField;
using settings::TextKind;

constexpr std::string_view NotSet;
constexpr double LongestSeconds = 86'400;
constexpr double LargestRate = 1e6;

core::Duration secondsOf(double seconds) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(seconds));
}

core::Endpoint endpointOf(std::string_view text) {
  return core::parseEndpoint(text).value_or(core::Endpoint{});
}

void setTargets(Experiment &it, std::string_view text) {
  const std::size_t comma = text.find(',');
  it.Targets.push_back(endpointOf(text.substr(0, comma)));
  if (comma != std::string_view::npos)
    setTargets(it, text.substr(comma + 1));
}

constexpr auto ExperimentFields = std::to_array<Field<Experiment>>({
    textField<Experiment>(
        "experiment", "name", TextKind::Name, std::nullopt,
        [](Experiment &it, std::string_view s) { it.Name = s; },
        "Name in the results."),
    numberField<Experiment>(
        "experiment", "seed", {0, INT64_MAX}, 1,
        [](Experiment &it, std::int64_t n) {
          it.Seed = static_cast<std::uint64_t>(n);
        },
        "The same seed sends the same requests."),
    realField<Experiment>(
        "experiment", "duration_s", {0.1, LongestSeconds}, 30,
        [](Experiment &it, double n) { it.Length = secondsOf(n); },
        "Length of the schedule."),
    numberField<Experiment>(
        "experiment", "timeout_ms", {1, 600'000}, 5000,
        [](Experiment &it, std::int64_t n) {
          it.Timeout = std::chrono::milliseconds(n);
        },
        "Wait for an answer."),
    textField<Experiment>("experiment", "targets", TextKind::EndpointList,
                          std::nullopt, setTargets, "Entry nodes."),
    numberField<Experiment>(
        "experiment", "connections_per_target", {1, 256}, 16,
        [](Experiment &it, std::int64_t n) {
          it.ConnectionsPerTarget = static_cast<std::uint32_t>(n);
        },
        "Keep-alive connections, and threads, for each target."),
});

constexpr auto AccountFields = std::to_array<Field<Account>>({
    textField<Account>(
        "accounts", "name", TextKind::Name, std::nullopt,
        [](Account &it, std::string_view s) { it.Name = s; },
        "Client account."),
    textField<Account>(
        "accounts", "key", TextKind::Line, NotSet,
        [](Account &it, std::string_view s) { it.Key = s; }, "Its key."),
    realField<Account>(
        "accounts", "rate", {0, LargestRate}, 0,
        [](Account &it, double n) { it.Rate = n; },
        "Rate that it was promised, requests a second."),
    realField<Account>(
        "accounts", "burst", {0, LargestRate}, 0,
        [](Account &it, double n) { it.Burst = n; },
        "Burst that it was promised, requests."),
});

constexpr auto ClassFields = std::to_array<Field<WorkClass>>({
    textField<WorkClass>(
        "classes", "name", TextKind::Name, std::nullopt,
        [](WorkClass &it, std::string_view s) { it.Name = s; },
        "Class of work."),
    textField<WorkClass>(
        "classes", "method", TextKind::Name, "GET",
        [](WorkClass &it, std::string_view s) { it.Method = s; },
        "HTTP method."),
    textField<WorkClass>(
        "classes", "path", TextKind::Line, std::nullopt,
        [](WorkClass &it, std::string_view s) { it.Path = s; },
        "Path; {key} and {n} are replaced."),
    numberField<WorkClass>(
        "classes", "body_bytes", {0, 1 << 26}, 0,
        [](WorkClass &it, std::int64_t n) {
          it.BodyBytes = static_cast<std::size_t>(n);
        },
        "Body sent."),
    numberField<WorkClass>(
        "classes", "answer_bytes", {0, 1 << 26}, 0,
        [](WorkClass &it, std::int64_t n) {
          it.AnswerBytes = static_cast<std::size_t>(n);
        },
        "Body asked for; 0 takes the default answer."),
    numberField<WorkClass>(
        "classes", "at_most_once", {0, 1}, 0,
        [](WorkClass &it, std::int64_t n) { it.IsAtMostOnce = n != 0; },
        "1 sends an Idempotency-Key."),
    numberField<WorkClass>(
        "classes", "keys", {1, 10'000'000}, 1000,
        [](WorkClass &it, std::int64_t n) {
          it.Keys = static_cast<std::uint32_t>(n);
        },
        "Keys in use."),
    realField<WorkClass>(
        "classes", "zipf", {0, 5}, 0,
        [](WorkClass &it, double n) { it.ZipfExponent = n; },
        "Exponent of Zipf's law; 0 is uniform."),
    numberField<WorkClass>(
        "classes", "hot_keys", {0, 100'000}, 0,
        [](WorkClass &it, std::int64_t n) {
          it.HotKeys = static_cast<std::uint32_t>(n);
        },
        "Size of the hot set."),
    realField<WorkClass>(
        "classes", "hot_share", {0, 1}, 0,
        [](WorkClass &it, double n) { it.HotShare = n; },
        "Share of the requests that the hot set takes."),
    realField<WorkClass>(
        "classes", "hot_move_s", {0.1, LongestSeconds}, 60,
        [](WorkClass &it, double n) { it.HotInterval = secondsOf(n); },
        "Time after which the hot set is another one."),
});

constexpr auto FlowFields = std::to_array<Field<NamedFlow>>({
    textField<NamedFlow>(
        "flows", "account", TextKind::Name, std::nullopt,
        [](NamedFlow &it, std::string_view s) { it.Account = s; },
        "Who sends."),
    textField<NamedFlow>(
        "flows", "class", TextKind::Name, std::nullopt,
        [](NamedFlow &it, std::string_view s) { it.Class = s; },
        "What is sent."),
    realField<NamedFlow>(
        "flows", "rate", {0.001, LargestRate}, 1,
        [](NamedFlow &it, double n) { it.Value.Rate = n; },
        "Requests a second."),
});

constexpr auto PhaseFields = std::to_array<Field<NamedPhase>>({
    textField<NamedPhase>(
        "phases", "name", TextKind::Line, std::nullopt,
        [](NamedPhase &it, std::string_view s) { it.Value.Name = s; },
        "Mark in the plot."),
    realField<NamedPhase>(
        "phases", "at_s", {0, LongestSeconds}, 0,
        [](NamedPhase &it, double n) { it.Value.Start = secondsOf(n); },
        "Start."),
    realField<NamedPhase>(
        "phases", "length_s", {0.001, LongestSeconds}, LongestSeconds,
        [](NamedPhase &it, double n) { it.Value.Length = secondsOf(n); },
        "Length."),
    realField<NamedPhase>(
        "phases", "factor", {0, 1000}, 1,
        [](NamedPhase &it, double n) { it.Value.Factor = n; },
        "Multiplies the rate of the flows."),
    textField<NamedPhase>(
        "phases", "account", TextKind::Name, NotSet,
        [](NamedPhase &it, std::string_view s) { it.Account = s; },
        "Only this account's flows."),
    textField<NamedPhase>(
        "phases", "class", TextKind::Name, NotSet,
        [](NamedPhase &it, std::string_view s) { it.Class = s; },
        "Only flows of this class."),
});

constexpr auto ActionFields = std::to_array<Field<Action>>({
    textField<Action>(
        "actions", "label", TextKind::Line, std::nullopt,
        [](Action &it, std::string_view s) { it.Label = s; },
        "Mark in the plot."),
    realField<Action>(
        "actions", "at_s", {0, LongestSeconds}, 0,
        [](Action &it, double n) { it.Start = secondsOf(n); }, "When."),
    textField<Action>(
        "actions", "target", TextKind::Endpoint, std::nullopt,
        [](Action &it, std::string_view s) { it.Target = endpointOf(s); },
        "To whom."),
    textField<Action>(
        "actions", "path", TextKind::Line, std::nullopt,
        [](Action &it, std::string_view s) { it.Path = s; }, "Path."),
    textField<Action>(
        "actions", "json", TextKind::Line, "{}",
        [](Action &it, std::string_view s) { it.Body = s; }, "Body."),
    textField<Action>(
        "actions", "token", TextKind::Line, NotSet,
        [](Action &it, std::string_view s) { it.Token = s; },
        "Bearer token for the administration API."),
});

} // namespace

std::span<const Field<Experiment>> experimentFields() {
  return ExperimentFields;
}

std::span<const Field<Account>> accountFields() { return AccountFields; }

std::span<const Field<WorkClass>> classFields() { return ClassFields; }

std::span<const Field<NamedFlow>> flowFields() { return FlowFields; }

std::span<const Field<NamedPhase>> phaseFields() { return PhaseFields; }

std::span<const Field<Action>> actionFields() { return ActionFields; }

} // namespace acaciaroad::load
