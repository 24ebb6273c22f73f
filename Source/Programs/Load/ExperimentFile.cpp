#include "Programs/Load/ExperimentFile.h"

#include <algorithm>
#include <utility>

#include "Programs/Load/ExperimentFields.h"
#include "Settings/FieldReader.h"

namespace acaciaroad::load {

namespace {

using settings::failAt;
using settings::Field;
using settings::Place;
using settings::placeOf;

constexpr std::string_view KnownTables[] = {
    "experiment", "accounts", "classes", "flows", "phases", "actions"};

/// Reads an array of tables; one that is absent has no elements.
template <typename Element>
core::Result<std::vector<Element>>
readArray(std::span<const Field<Element>> fields, std::string_view file,
          const toml::table &root) {
  const std::string_view name = fields.front().Table;
  std::vector<Element> out;
  const toml::node *node = root.get(name);
  if (node == nullptr)
    return out;
  const toml::array *array = node->as_array();
  if (array == nullptr || !array->is_array_of_tables())
    return failAt(placeOf(file, *node),
                  fmt::format("{} must be an array of tables", name));
  for (const toml::node &it : *array) {
    auto done = readFields(fields, name, placeOf(file, it), *it.as_table(),
                           out.emplace_back());
    if (!done)
      return tl::unexpected(done.error());
  }
  return out;
}

template <typename Named>
core::Result<std::size_t> indexOf(std::span<const Named> items,
                                  std::string_view name, const Place &place) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const Named &x) { return x.Name == name; });
  if (it == items.end())
    return failAt(place, fmt::format("'{}' is not defined", name));
  return static_cast<std::size_t>(it - items.begin());
}

template <typename Named>
core::Result<std::optional<std::size_t>>
optionalIndexOf(std::span<const Named> items, std::string_view name,
                const Place &place) {
  if (name.empty())
    return std::nullopt;
  return indexOf(items, name, place);
}

core::Result<void> resolveFlows(std::span<const NamedFlow> flows,
                                const Place &place, Experiment &experiment) {
  for (const NamedFlow &it : flows) {
    const auto account = indexOf(std::span<const Account>(experiment.Accounts),
                                 it.Account, place);
    if (!account)
      return tl::unexpected(account.error());
    const auto workClass = indexOf(
        std::span<const WorkClass>(experiment.Classes), it.Class, place);
    if (!workClass)
      return tl::unexpected(workClass.error());
    experiment.Flows.push_back({*account, *workClass, it.Value.Rate});
  }
  if (experiment.Flows.empty())
    return failAt(place, "an experiment needs at least one flow");
  return {};
}

core::Result<void> resolvePhases(std::span<const NamedPhase> phases,
                                 const Place &place, Experiment &experiment) {
  for (const NamedPhase &it : phases) {
    Phase phase = it.Value;
    const auto account = optionalIndexOf(
        std::span<const Account>(experiment.Accounts), it.Account, place);
    if (!account)
      return tl::unexpected(account.error());
    const auto workClass = optionalIndexOf(
        std::span<const WorkClass>(experiment.Classes), it.Class, place);
    if (!workClass)
      return tl::unexpected(workClass.error());
    phase.Account = *account;
    phase.Class = *workClass;
    experiment.Phases.push_back(std::move(phase));
  }
  return {};
}

core::Result<void> refuseUnknownTables(std::string_view file,
                                       const toml::table &root) {
  for (const auto &[key, node] : root) {
    const std::string_view name = key.str();
    if (std::find(std::begin(KnownTables), std::end(KnownTables), name) ==
        std::end(KnownTables))
      return failAt(placeOf(file, key), fmt::format("unknown table {}", name));
  }
  return {};
}

core::Result<void> readHead(std::string_view file, const toml::table &root,
                            Experiment &out) {
  const toml::node *node = root.get("experiment");
  if (node == nullptr || !node->is_table())
    return failAt({file}, "table experiment is missing");
  return readFields(experimentFields(), "experiment", placeOf(file, *node),
                    *node->as_table(), out);
}

core::Result<Experiment> readRoot(std::string_view file,
                                  const toml::table &root) {
  Experiment out;
  if (auto done = refuseUnknownTables(file, root); !done)
    return tl::unexpected(done.error());
  if (auto done = readHead(file, root, out); !done)
    return tl::unexpected(done.error());
  auto accounts = readArray(accountFields(), file, root);
  auto classes = readArray(classFields(), file, root);
  auto flows = readArray(flowFields(), file, root);
  auto phases = readArray(phaseFields(), file, root);
  auto actions = readArray(actionFields(), file, root);
  for (const core::Error *it :
       {accounts ? nullptr : &accounts.error(),
        classes ? nullptr : &classes.error(), flows ? nullptr : &flows.error(),
        phases ? nullptr : &phases.error(),
        actions ? nullptr : &actions.error()})
    if (it != nullptr)
      return tl::unexpected(*it);
  out.Accounts = std::move(*accounts);
  out.Classes = std::move(*classes);
  out.Actions = std::move(*actions);
  if (auto done = resolveFlows(*flows, {file}, out); !done)
    return tl::unexpected(done.error());
  if (auto done = resolvePhases(*phases, {file}, out); !done)
    return tl::unexpected(done.error());
  return out;
}

} // namespace

core::Result<Definition> parseDefinition(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == 0 || equals == std::string_view::npos)
    return core::fail(core::ErrorKind::InvalidArgument,
                      "a definition has the form name=value");
  return Definition{std::string(text.substr(0, equals)),
                    std::string(text.substr(equals + 1))};
}

core::Result<std::string> expand(std::string_view text,
                                 std::span<const Definition> definitions) {
  std::string out;
  for (;;) {
    const std::size_t start = text.find("${");
    out += text.substr(0, start);
    if (start == std::string_view::npos)
      return out;
    const std::size_t end = text.find('}', start);
    const std::string_view name = text.substr(
        start + 2, end == std::string_view::npos ? end : end - start - 2);
    const auto it =
        std::find_if(definitions.begin(), definitions.end(),
                     [&](const Definition &x) { return x.Name == name; });
    if (end == std::string_view::npos || it == definitions.end())
      return core::fail(core::ErrorKind::InvalidSettings,
                        fmt::format("'{}' is not defined", name));
    out += it->Value;
    text.remove_prefix(end + 1);
  }
}

core::Result<Experiment> parseExperiment(std::string_view text,
                                         std::string_view fileName) {
  try {
    return readRoot(fileName, toml::parse(text, fileName));
  } catch (const toml::parse_error &ec) {
    return failAt(placeOf(fileName, ec), ec.description());
  }
}

} // namespace acaciaroad::load
