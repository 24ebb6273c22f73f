#include "Programs/Ctl/Session.h"

#include <algorithm>

#include <fmt/format.h>

#include "Administration/Representation.h"
#include "Core/Identifiers.h"
#include "Core/ParseNumber.h"
#include "Core/PercentEncoding.h"

namespace acaciaroad::ctl {

using core::ErrorKind;
using core::fail;
using core::Result;
using nlohmann::json;

/// A command: its first words, how many follow, and what it does.
struct Command {
  std::vector<std::string_view> Verb;
  std::string_view Arguments;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  ExitCode (Session::*Run)(Session::Words);

  static std::span<const Command> all();
};

namespace {

constexpr std::uint32_t FullShare = 1000;
constexpr std::size_t AnyNumber = 64;

/// Returns "classes" for "class" and so on.
std::string collectionOf(std::string_view word) {
  if (word == "class")
    return "classes";
  return std::string(word) + "s";
}

std::string itemTarget(std::string_view collection, std::string_view name) {
  return fmt::format("/v1/{}/{}", collection, core::percentEncode(name));
}

/// Reads "field=value"; numbers and booleans by their form.
bool readField(std::string_view word, json &out) {
  const std::size_t n = word.find('=');
  if (n == std::string_view::npos || n == 0)
    return false;
  const std::string field(word.substr(0, n));
  const std::string text(word.substr(n + 1));
  const json value = json::parse(text, nullptr, false);
  const bool isPlain = value.is_number() || value.is_boolean();
  out[field] = isPlain ? value : json(text);
  return true;
}

} // namespace

std::span<const Command> Command::all() {
  using S = Session;
  static const Command commands[] = {
      {{"class", "list"}, "", 0, 0, &S::list},
      {{"class", "show"}, "NAME", 1, 1, &S::item},
      {{"class", "set"}, "NAME FIELD=VALUE...", 2, AnyNumber, &S::set},
      {{"class", "remove"}, "NAME", 1, 1, &S::remove},
      {{"account", "list"}, "", 0, 0, &S::list},
      {{"account", "show"}, "NAME", 1, 1, &S::item},
      {{"account", "set"}, "NAME FIELD=VALUE...", 2, AnyNumber, &S::set},
      {{"account", "remove"}, "NAME", 1, 1, &S::remove},
      {{"key", "list"}, "[ACCOUNT]", 0, 1, &S::listKeys},
      {{"key", "grant"}, "ACCOUNT", 1, 1, &S::grantKey},
      {{"key", "withdraw"}, "KEY_ID", 1, 1, &S::withdrawKey},
      {{"data-centre", "list"}, "", 0, 0, &S::list},
      {{"data-centre", "out"}, "NAME [--steps N]", 1, 1, &S::dataCentre},
      {{"data-centre", "in"}, "NAME [--steps N]", 1, 1, &S::dataCentre},
      {{"instance", "list"}, "", 0, 0, &S::list},
      {{"instance", "drain"}, "NAME_OR_ID", 1, 1, &S::drain},
      {{"instance", "declare-lost"},
       "ID --confirm_id ID",
       1,
       1,
       &S::declareLost},
      {{"owner"}, "SERVICE KEY", 2, 2, &S::owner},
      {{"status"}, "", 0, 0, &S::status},
      {{"history"}, "", 0, 0, &S::history},
      {{"totals"}, "--day YYYY-MM-DD", 0, 0, &S::totals},
      {{"log-level"}, "LEVEL", 1, 1, &S::logLevel},
      {{"apply"}, "FILE [--prune]", 1, 1, &S::apply},
      {{"wait"}, "OFFSET", 1, 1, &S::wait},
  };
  return commands;
}

std::string Session::usage() {
  std::string out;
  for (const Command &it : Command::all())
    out += fmt::format("  {} {}\n", fmt::join(it.Verb, " "), it.Arguments);
  return out;
}

ExitCode Session::run(Words words) {
  for (const Command &it : Command::all()) {
    const std::size_t verbs = it.Verb.size();
    if (words.size() < verbs ||
        !std::equal(it.Verb.begin(), it.Verb.end(), words.begin()))
      continue;
    const std::size_t arguments = words.size() - verbs;
    if (arguments < it.MinArguments || arguments > it.MaxArguments)
      break;
    return (this->*it.Run)(words);
  }
  Hooks.Tell("unknown command; see --help");
  return ExitCode::Usage;
}

Result<json> Session::call(const std::string &method, const std::string &target,
                           const json &body) {
  const auto answer =
      Hooks.Send({method, target, body.is_null() ? "" : body.dump()});
  if (!answer)
    return tl::unexpected(answer.error());
  return toJson(*answer);
}

ExitCode Session::report(const core::Error &error) {
  Hooks.Tell(
      fmt::format("{}: {}", core::answerFor(error.Kind).Name, error.Detail));
  return exitCodeFor(error.Kind);
}

ExitCode Session::show(const std::string &target) {
  const auto answer = call("GET", target);
  if (!answer)
    return report(answer.error());
  Hooks.Print(render(*answer, Options.Output));
  return ExitCode::Done;
}

ExitCode Session::list(Words words) {
  return show("/v1/" + collectionOf(words[0]));
}

ExitCode Session::item(Words words) {
  return show(itemTarget(collectionOf(words[0]), words[2]));
}

std::string Session::changeId() {
  return Options.ChangeId.empty()
             ? administration::changeIdText(core::randomId())
             : Options.ChangeId;
}

Result<std::uint64_t> Session::basisOf(const std::string &target) {
  if (Options.Basis)
    return *Options.Basis;
  const auto answer = Hooks.Send({"GET", target, ""});
  if (!answer)
    return tl::unexpected(answer.error());
  // An absent item also has a version: that of its removal.
  const auto body = json::parse(answer->Body, nullptr, false);
  if (body.is_object() && body.contains("version"))
    return body["version"].get<std::uint64_t>();
  return toJson(*answer).and_then([](const json &) -> Result<std::uint64_t> {
    return fail(ErrorKind::CorruptMessage, "the answer has no version");
  });
}

ExitCode Session::change(const std::string &method, const std::string &target,
                         json body) {
  const bool hasId = body.contains("change_id");
  const std::string query = Options.DryRun ? "?dry_run=true" : "";
  const auto answer = call(method, target + query, body);
  if (!answer) {
    const ExitCode code = report(answer.error());
    if (code == ExitCode::Unknown && hasId)
      Hooks.Tell(fmt::format("repeat with --change_id {} to settle it",
                             body["change_id"].get<std::string>()));
    return code;
  }
  Hooks.Print(render(*answer, Options.Output));
  const bool isWaitWanted = Options.Wait.count() > 0 && !Options.DryRun;
  if (!isWaitWanted || !answer->contains("offset"))
    return ExitCode::Done;
  return waitForce((*answer)["offset"].get<std::uint64_t>());
}

ExitCode Session::waitForce(std::uint64_t offset) {
  const auto answer =
      call("GET", fmt::format("/v1/in-force?offset={}&wait_ms={}", offset,
                              std::chrono::milliseconds(Options.Wait).count()));
  if (!answer)
    return report(answer.error());
  Hooks.Tell(fmt::format("in force on {} of {} instances",
                         answer->value("applied", 0),
                         answer->value("live_instances", 0)));
  return answer->value("everywhere", false) ? ExitCode::Done
                                            : ExitCode::NotInForce;
}

ExitCode Session::set(Words words) {
  const std::string target = itemTarget(collectionOf(words[0]), words[2]);
  json body = json::object();
  for (const std::string &it : words.subspan(3)) {
    if (!readField(it, body)) {
      Hooks.Tell("not FIELD=VALUE: " + it);
      return ExitCode::Usage;
    }
  }
  const auto basis = basisOf(target);
  if (!basis)
    return report(basis.error());
  body["basis"] = *basis;
  body["change_id"] = changeId();
  return change("PUT", target, body);
}

ExitCode Session::remove(Words words) {
  const std::string target = itemTarget(collectionOf(words[0]), words[2]);
  const auto basis = basisOf(target);
  if (!basis)
    return report(basis.error());
  return change("DELETE", target,
                {{"basis", *basis}, {"change_id", changeId()}});
}

ExitCode Session::listKeys(Words words) {
  const std::string query =
      words.size() > 2 ? "?account=" + core::percentEncode(words[2]) : "";
  return show("/v1/keys" + query);
}

ExitCode Session::grantKey(Words words) {
  return change("POST", "/v1/keys",
                {{"account", words[2]}, {"change_id", changeId()}});
}

ExitCode Session::withdrawKey(Words words) {
  return change("DELETE", itemTarget("keys", words[2]),
                {{"change_id", changeId()}});
}

Result<json> Session::dataCentreState(std::string_view name) {
  const auto answer = call("GET", "/v1/data-centres");
  if (!answer)
    return tl::unexpected(answer.error());
  for (const json &it : answer->at("data_centres"))
    if (it["name"] == name)
      return it;
  return fail(ErrorKind::NotFound, std::string(name));
}

ExitCode Session::dataCentre(Words words) {
  const std::uint32_t goal = words[1] == "out" ? 0 : FullShare;
  const auto start = dataCentreState(words[2]);
  if (!start)
    return report(start.error());
  const auto first = start->at("share_permille").get<std::uint32_t>();
  auto basis =
      Options.Basis.value_or(start->at("version").get<std::uint64_t>());
  const std::uint32_t steps = std::max(1U, Options.Steps);
  for (std::uint32_t n = 1; n <= steps; ++n) {
    const std::uint32_t share = (first * (steps - n) + goal * n) / steps;
    const ExitCode code = change("PUT", itemTarget("data-centres", words[2]),
                                 {{"share_permille", share}, {"basis", basis}});
    if (code != ExitCode::Done || Options.DryRun)
      return code;
    if (n == steps)
      break;
    Hooks.Sleep(Options.StepPause);
    const auto state = dataCentreState(words[2]);
    if (!state)
      return report(state.error());
    basis = state->at("version").get<std::uint64_t>();
  }
  return ExitCode::Done;
}

ExitCode Session::drain(Words words) {
  return change("POST", itemTarget("instances", words[2]) + "/drain",
                json::object());
}

ExitCode Session::declareLost(Words words) {
  if (Options.ConfirmId.empty()) {
    Hooks.Tell("this asserts that the instance no longer runs: if it does, "
               "two owners may serve its keys. Repeat with --confirm_id ID");
    return ExitCode::Usage;
  }
  return change("POST", itemTarget("instances", words[2]) + "/declare-lost",
                {{"confirm_id", Options.ConfirmId}});
}

ExitCode Session::owner(Words words) {
  return show(fmt::format("/v1/owner?service={}&key={}",
                          core::percentEncode(words[1]),
                          core::percentEncode(words[2])));
}

ExitCode Session::status(Words /*words*/) { return show("/v1/status"); }

ExitCode Session::history(Words /*words*/) { return show("/v1/history"); }

ExitCode Session::totals(Words /*words*/) {
  const std::string target =
      "/v1/totals?day=" + core::percentEncode(Options.Day);
  if (Options.Output != OutputFormat::Csv)
    return show(target);
  const auto answer = Hooks.Send({"GET", target + "&format=csv", ""});
  if (!answer)
    return report(answer.error());
  if (answer->Status != 200) {
    const auto problem = toJson(*answer);
    return problem ? ExitCode::Failed : report(problem.error());
  }
  Hooks.Print(answer->Body);
  return ExitCode::Done;
}

ExitCode Session::logLevel(Words words) {
  return change("PUT", "/v1/log-level", {{"level", words[1]}});
}

ExitCode Session::apply(Words words) {
  const auto wanted = Hooks.ReadFile(words[1]).and_then(&Deployment::parse);
  if (!wanted)
    return report(wanted.error());
  const auto classes = call("GET", "/v1/classes");
  const auto accounts = call("GET", "/v1/accounts");
  if (!classes)
    return report(classes.error());
  if (!accounts)
    return report(accounts.error());
  const auto changes =
      differences(*wanted, classes->at("classes"), accounts->at("accounts"),
                  Options.RemovesOthers);
  for (const Difference &it : changes) {
    const ExitCode code = sendDifference(it);
    if (code != ExitCode::Done && code != ExitCode::NotInForce)
      return code;
  }
  Hooks.Tell(fmt::format("{} changes", changes.size()));
  return ExitCode::Done;
}

ExitCode Session::sendDifference(const Difference &difference) {
  const std::string target = itemTarget(difference.Collection, difference.Name);
  Hooks.Tell(fmt::format("{} {}/{}", difference.IsRemoval ? "remove" : "set",
                         difference.Collection, difference.Name));
  json body = difference.Body;
  body["change_id"] = administration::changeIdText(core::randomId());
  body["basis"] = difference.Basis;
  if (difference.Basis == 0) {
    const auto basis = basisOf(target);
    if (!basis)
      return report(basis.error());
    body["basis"] = *basis;
  }
  return change(difference.IsRemoval ? "DELETE" : "PUT", target, body);
}

ExitCode Session::wait(Words words) {
  const auto offset = core::parseNumber<std::uint64_t>(words[1]);
  if (!offset) {
    Hooks.Tell("not an offset: " + words[1]);
    return ExitCode::Usage;
  }
  return waitForce(*offset);
}

} // namespace acaciaroad::ctl
