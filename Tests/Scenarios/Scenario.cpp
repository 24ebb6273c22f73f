#include "Scenarios/Scenario.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>

#include "Scenarios/FakeFleet.h"

namespace acaciaroad::scenarios {

using namespace std::chrono_literals;

namespace {

constexpr Duration CheckInterval = 10ms;
constexpr char AllNodes[] = "all";

/// Parses and executes one scenario.
class Run {
public:
  Run();
  std::string runAll(const std::string &text);

private:
  using Words = std::istringstream;

  void runLine(const std::string &text);
  void applySetting(const std::string &verb, Words &words);
  void addStatements();
  void addFaults();
  void addOperatorActions();
  void addExpectations();
  FakeFleet &fleet();

  static std::string word(Words &words);
  static std::uint64_t number(Words &words);
  static Duration seconds(Words &words);
  static void expectWord(Words &words, const std::string &expected);
  [[noreturn]] static void fail(const std::string &what) {
    throw std::runtime_error(what);
  }

  template <typename Function>
  void eachPair(const std::string &from, const std::string &to, Function act);
  void cutOrHeal(Words &words, bool isCut);
  core::SliceId sliceOf(std::uint64_t key, core::Epoch &epoch);
  void expectOwner(Words &words);
  void expectServed(Words &words);
  void expectUnserved(Words &words);
  void expectRefused(Words &words);
  void expectMoved(Words &words);
  void sendHeld(Words &words);
  void expectTwoOwners(Words &words);
  void runUntil(Duration time);
  std::map<core::SliceIndex, core::InstanceId> owners();

  FleetOptions Options;
  std::unique_ptr<FakeFleet> Fleet;
  std::vector<std::pair<std::string, std::string>> Nodes;
  std::map<std::string, std::function<void(Words &)>> Statements;
  std::map<core::SliceIndex, core::InstanceId> MarkedOwners;
};

Run::Run() { addStatements(); }

std::string Run::runAll(const std::string &text) {
  std::istringstream lines(text);
  std::string it;
  for (int n = 1; std::getline(lines, it); ++n) {
    try {
      runLine(it.substr(0, it.find('#')));
    } catch (const std::exception &error) {
      return fmt::format("line {} ({}): {}", n, it, error.what());
    }
  }
  return {};
}

void Run::runLine(const std::string &text) {
  Words words(text);
  std::string first;
  if (!(words >> first))
    return;
  if (std::isdigit(static_cast<unsigned char>(first[0])) == 0) {
    applySetting(first, words);
    return;
  }
  runUntil(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::stod(first))));
  const std::string verb = word(words);
  const auto it = Statements.find(verb);
  if (it == Statements.end())
    fail("unknown statement " + verb);
  it->second(words);
  if (!fleet().violation().empty())
    fail(fleet().violation());
}

void Run::runUntil(Duration time) {
  if (time < fleet().now())
    fail("statement is earlier than the one before it");
  fleet().runUntil(time);
  if (!fleet().violation().empty())
    fail(fleet().violation());
}

void Run::applySetting(const std::string &verb, Words &words) {
  if (verb == "seed")
    Options.Seed = number(words);
  else if (verb == "slices")
    Options.SliceCount = static_cast<std::uint32_t>(number(words));
  else if (verb == "pauses-before-send")
    Options.PauseBeforeSendOneIn = static_cast<unsigned>(number(words));
  else if (verb == "node") {
    const std::string name = word(words);
    Nodes.emplace_back(name, word(words));
  } else
    fail("unknown setting " + verb);
}

FakeFleet &Run::fleet() {
  if (!Fleet) {
    Fleet = std::make_unique<FakeFleet>(Options);
    for (const auto &[name, dataCentre] : Nodes)
      Fleet->addNode(name, dataCentre);
  }
  return *Fleet;
}

// Words ---------------------------------------------------------------------

std::string Run::word(Words &words) {
  std::string out;
  if (!(words >> out))
    fail("unexpected end of line");
  return out;
}

std::uint64_t Run::number(Words &words) { return std::stoull(word(words)); }

Duration Run::seconds(Words &words) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::stod(word(words))));
}

void Run::expectWord(Words &words, const std::string &expected) {
  if (const std::string it = word(words); it != expected)
    fail("expected \"" + expected + "\" instead of \"" + it + "\"");
}

// Statements ----------------------------------------------------------------

void Run::addStatements() {
  addFaults();
  addOperatorActions();
  addExpectations();
}

void Run::addFaults() {
  const auto eachNode = [this](void (FakeFleet::*act)(const std::string &)) {
    return [this, act](Words &words) {
      for (std::string name; words >> name;)
        (fleet().*act)(name);
    };
  };
  Statements["start"] = eachNode(&FakeFleet::start);
  Statements["kill"] = eachNode(&FakeFleet::kill);
  Statements["leave"] = eachNode(&FakeFleet::leave);
  Statements["pause"] = [this](Words &words) {
    const std::string name = word(words);
    fleet().pause(name, seconds(words));
  };
  Statements["cut"] = [this](Words &words) { cutOrHeal(words, true); };
  Statements["heal"] = [this](Words &words) { cutOrHeal(words, false); };
  Statements["log"] = [this](Words &words) {
    const std::string state = word(words);
    if (state == "slow")
      fleet().setLog(true, seconds(words));
    else
      fleet().setLog(state == "up", Duration::zero());
  };
  Statements["upstream"] = [this](Words &words) {
    FakeNode &node = fleet().node(word(words));
    expectWord(words, "ignores-deadlines");
    node.HonoursDeadlines = false;
  };
}

template <typename Function>
void Run::eachPair(const std::string &from, const std::string &to,
                   Function act) {
  const auto matches = [](const std::string &pattern, const std::string &name) {
    return pattern == name || (pattern == AllNodes && name != LogName);
  };
  std::vector<std::string> names = {LogName};
  for (const auto &[name, dataCentre] : Nodes)
    names.push_back(name);
  for (const std::string &a : names)
    for (const std::string &b : names)
      if (a != b && matches(from, a) && matches(to, b))
        act(a, b);
}

void Run::cutOrHeal(Words &words, bool isCut) {
  const std::string from = word(words);
  std::string to = word(words);
  // "->" applies to one direction only.
  const bool isOneWay = to == "->";
  if (isOneWay)
    to = word(words);
  const auto act = [&](const std::string &a, const std::string &b) {
    if (isCut)
      fleet().cut(a, b);
    else
      fleet().heal(a, b);
  };
  eachPair(from, to, act);
  if (!isOneWay)
    eachPair(to, from, act);
}

core::SliceId Run::sliceOf(std::uint64_t key, core::Epoch &epoch) {
  const auto owner = fleet().committedMap().ownerOf(Service, key);
  epoch = owner->Epoch;
  return owner->Slice;
}

void Run::addOperatorActions() {
  Statements["share"] = [this](Words &words) {
    const std::string dataCentre = word(words);
    const auto permille = static_cast<std::uint32_t>(number(words));
    const auto basis = fleet().committedMap().dataCentre(dataCentre).Version;
    fleet().append(ownership::DataCentreShareSet{dataCentre, basis, permille});
  };
  Statements["declare-lost"] = [this](Words &words) {
    const core::InstanceId id = fleet().node(word(words)).Id;
    const auto *state = fleet().committedMap().instance(id);
    const auto version = state == nullptr ? 0 : state->WitnessVersion;
    fleet().append(ownership::InstanceRetired{
        id, version, ownership::RetireReason::DeclaredLost, {}});
  };
  Statements["move"] = [this](Words &words) {
    core::Epoch epoch = 0;
    const core::SliceId slice = sliceOf(number(words), epoch);
    expectWord(words, "to");
    const core::InstanceId to = fleet().node(word(words)).Id;
    fleet().append(ownership::SliceMoved{slice, epoch, to});
  };
  Statements["hot"] = [this](Words &words) {
    const std::uint64_t key = number(words);
    core::Epoch epoch = 0;
    (void)sliceOf(key, epoch);
    fleet().append(ownership::HotKeyAdded{Service, key, epoch});
  };
  Statements["cold"] = [this](Words &words) {
    const std::uint64_t key = number(words);
    core::Epoch epoch = 0;
    (void)sliceOf(key, epoch);
    fleet().append(ownership::HotKeyRemoved{Service, key, epoch});
  };
}

// Expectations --------------------------------------------------------------

void Run::addExpectations() {
  Statements["owner"] = [this](Words &words) { expectOwner(words); };
  Statements["served"] = [this](Words &words) { expectServed(words); };
  Statements["unserved"] = [this](Words &words) { expectUnserved(words); };
  Statements["refused"] = [this](Words &words) { expectRefused(words); };
  Statements["mark"] = [this](Words &) { MarkedOwners = owners(); };
  Statements["moved"] = [this](Words &words) { expectMoved(words); };
  Statements["hold"] = [this](Words &words) {
    const std::uint64_t key = number(words);
    expectWord(words, "at");
    const std::string name = word(words);
    const auto grant = fleet().mayServe(name, key);
    if (!grant)
      fail(fmt::format("node {} returned no grant for key {}", name, key));
    fleet().node(name).HeldGrant = *grant;
  };
  Statements["send-held"] = [this](Words &words) { sendHeld(words); };
  Statements["two-owners"] = [this](Words &words) { expectTwoOwners(words); };
  Statements["end"] = [](Words &) {};
}

void Run::expectOwner(Words &words) {
  const std::uint64_t key = number(words);
  expectWord(words, "is");
  const std::string name = word(words);
  const auto owner = fleet().committedMap().ownerOf(Service, key);
  if (name == "nobody" ? bool(owner->Instance)
                       : owner->Instance != fleet().node(name).Id)
    fail(fmt::format("the owner of key {} is not {}", key, name));
}

/// "served KEY|all [at NODE] within SECONDS": each key is served at some moment
/// before the time limit.
void Run::expectServed(Words &words) {
  const std::string which = word(words);
  std::string next = word(words);
  std::string at;
  if (next == "at") {
    at = word(words);
    next = word(words);
  }
  if (next != "within")
    fail("expected \"within\"");
  const Duration limit = fleet().now() + seconds(words);
  std::vector<std::uint64_t> open(keys().begin(), keys().end());
  if (which != AllNodes)
    open = {std::stoull(which)};
  while (!open.empty() && fleet().now() <= limit) {
    std::erase_if(open, [&](std::uint64_t key) {
      const auto by = fleet().servers(key);
      return at.empty() ? !by.empty()
                        : std::find(by.begin(), by.end(), at) != by.end();
    });
    if (!open.empty())
      runUntil(fleet().now() + CheckInterval);
  }
  if (!open.empty())
    fail(fmt::format("key {} was not served within the time limit",
                     open.front()));
}

/// "unserved KEY for SECONDS": no node serves the key during that time.
void Run::expectUnserved(Words &words) {
  const std::uint64_t key = number(words);
  expectWord(words, "for");
  const Duration until = fleet().now() + seconds(words);
  for (; fleet().now() < until; runUntil(fleet().now() + CheckInterval))
    if (const auto by = fleet().servers(key); !by.empty())
      fail("key is served by " + by.front());
}

/// "refused KEY at NODE as KIND": the node refuses the key with that error
/// kind.
void Run::expectRefused(Words &words) {
  const std::uint64_t key = number(words);
  expectWord(words, "at");
  const auto grant = fleet().mayServe(word(words), key);
  expectWord(words, "as");
  const auto kind = core::errorKindFromName(word(words));
  if (!kind)
    fail("unknown error kind");
  if (grant)
    fail("the node granted the request instead of refusing it");
  if (grant.error().Kind != *kind)
    fail(std::string(core::answerFor(grant.error().Kind).Name));
}

std::map<core::SliceIndex, core::InstanceId> Run::owners() {
  std::map<core::SliceIndex, core::InstanceId> out;
  const auto *service = fleet().committedMap().service(Service);
  for (core::SliceIndex n = 0; n < service->sliceCount(); ++n)
    out[n] = service->find(n)->Owner;
  return out;
}

/// "moved COUNT": the number of slices whose owner changed since the last mark.
void Run::expectMoved(Words &words) {
  const std::uint64_t expected = number(words);
  std::uint64_t moved = 0;
  for (const auto &[slice, owner] : owners())
    moved += MarkedOwners[slice] != owner ? 1 : 0;
  if (moved != expected)
    fail(fmt::format("{} slices moved, expected {}", moved, expected));
}

/// "send-held KEY at NODE is run|refused": sends a request under the grant that
/// the node holds.
void Run::sendHeld(Words &words) {
  const std::uint64_t key = number(words);
  expectWord(words, "at");
  const std::string name = word(words);
  expectWord(words, "is");
  const bool isExpected = word(words) == "run";
  const ownership::Grant grant = fleet().node(name).HeldGrant.value();
  if (fleet().send(name, key, grant, 100ms) != isExpected)
    fail(fmt::format("the upstream of {} {} the request for key {}", name,
                     isExpected ? "refused" : "accepted", key));
}

/// "two-owners KEY at NODE": a request under the grant that the node holds
/// overlaps with another owner's request. Demonstrates a documented limitation.
void Run::expectTwoOwners(Words &words) {
  const std::uint64_t key = number(words);
  expectWord(words, "at");
  const std::string name = word(words);
  const ownership::Grant grant = fleet().node(name).HeldGrant.value();
  (void)fleet().send(name, key, grant, 1s);
  fleet().runUntil(fleet().now() + 1s);
  if (fleet().takeViolation().empty())
    fail(
        fmt::format("no overlapping request of a second owner on key {}", key));
}

} // namespace

std::string runScenario(const std::string &text) { return Run().runAll(text); }

} // namespace acaciaroad::scenarios
