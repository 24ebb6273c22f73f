#include "Programs/Ctl/Deployment.h"

#include <algorithm>

#include <toml++/toml.h>

#include "Administration/Representation.h"
#include "Configuration/Validation.h"

namespace acaciaroad::ctl {

using administration::FieldReader;
using core::ErrorKind;
using core::fail;
using core::Result;
using nlohmann::json;

namespace {

json toJson(const toml::node &node) {
  if (const auto *it = node.as_string())
    return it->get();
  if (const auto *it = node.as_boolean())
    return it->get();
  if (const auto *it = node.as_floating_point())
    return it->get();
  const auto *number = node.as_integer();
  if (!number)
    return nullptr;
  // The API takes unsigned numbers; only a real may be negative.
  if (number->get() >= 0)
    return static_cast<std::uint64_t>(number->get());
  return number->get();
}

json toJson(const toml::table &table) {
  json out = json::object();
  for (const auto &[name, node] : table)
    out[std::string(name.str())] = toJson(node);
  return out;
}

Result<void> validate(const configuration::ConfigurationRecord &record) {
  return configuration::validateFields(record);
}

const configuration::ChangeOrigin AnyOrigin{1, "file", 0};

Result<void> readItem(std::string_view name, const toml::table &table,
                      std::vector<configuration::WorkClass> &out) {
  configuration::WorkClass value;
  value.Name = name;
  FieldReader reader(toJson(table));
  administration::readClass(reader, value);
  out.push_back(value);
  return reader.finish().and_then([&] {
    return validate(configuration::ClassSet{AnyOrigin, 0, value});
  });
}

Result<void> readItem(std::string_view name, const toml::table &table,
                      std::vector<configuration::ClientAccount> &out) {
  configuration::ClientAccount value;
  value.Name = name;
  FieldReader reader(toJson(table));
  administration::readAccount(reader, value);
  out.push_back(value);
  return reader.finish().and_then([&] {
    return validate(configuration::AccountSet{AnyOrigin, 0, value});
  });
}

template <typename T>
Result<void> readItems(std::string_view collection, const toml::node &node,
                       std::vector<T> &out) {
  const toml::table *items = node.as_table();
  if (!items)
    return fail(ErrorKind::InvalidArgument, std::string(collection));
  for (const auto &[name, item] : *items) {
    const std::string path =
        std::string(collection) + "." + std::string(name.str());
    const toml::table *table = item.as_table();
    if (!table)
      return fail(ErrorKind::InvalidArgument, path);
    const auto result = readItem(name.str(), *table, out);
    if (!result)
      return fail(result.error().Kind, path + ": " + result.error().Detail);
  }
  return {};
}

const json *findItem(const json &items, std::string_view name) {
  const auto it =
      std::find_if(items.begin(), items.end(),
                   [&](const json &item) { return item["name"] == name; });
  return it == items.end() ? nullptr : &*it;
}

template <typename T>
void compare(const std::vector<T> &wanted, const json &present,
             std::string_view collection, bool removesOthers,
             std::vector<Difference> &out) {
  for (const T &it : wanted) {
    Difference difference;
    difference.Collection = collection;
    difference.Name = it.Name;
    difference.Body = administration::toJson(it);
    if (const json *item = findItem(present, it.Name)) {
      difference.Basis = item->at("version").get<std::uint64_t>();
      json value = *item;
      value.erase("version");
      if (value == difference.Body)
        continue;
    }
    difference.Body.erase("name");
    out.push_back(std::move(difference));
  }
  for (const json &it : present) {
    const auto name = it.at("name").get<std::string>();
    const bool isWanted =
        std::any_of(wanted.begin(), wanted.end(),
                    [&](const T &item) { return item.Name == name; });
    if (!isWanted && removesOthers)
      out.push_back({std::string(collection), name,
                     it.at("version").get<std::uint64_t>(), true,
                     json::object()});
  }
}

} // namespace

Result<Deployment> Deployment::parse(std::string_view toml) {
  Deployment out;
  toml::table file;
  try {
    file = toml::parse(toml);
  } catch (const toml::parse_error &error) {
    return fail(ErrorKind::InvalidArgument, std::string(error.description()));
  }
  for (const auto &[name, node] : file) {
    Result<void> result;
    if (name == "classes")
      result = readItems("classes", node, out.Classes);
    else if (name == "accounts")
      result = readItems("accounts", node, out.Accounts);
    else
      result = fail(ErrorKind::InvalidArgument, std::string(name.str()));
    if (!result)
      return tl::unexpected(result.error());
  }
  return out;
}

std::vector<Difference> differences(const Deployment &wanted,
                                    const json &classes, const json &accounts,
                                    bool removesOthers) {
  std::vector<Difference> out;
  compare(wanted.Accounts, accounts, "accounts", removesOthers, out);
  compare(wanted.Classes, classes, "classes", removesOthers, out);
  // A class may take over the prefix of one that goes.
  std::stable_partition(out.begin(), out.end(),
                        [](const Difference &it) { return it.IsRemoval; });
  return out;
}

} // namespace acaciaroad::ctl
