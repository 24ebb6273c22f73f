#include "Programs/Ctl/Output.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace acaciaroad::ctl {

using nlohmann::json;

namespace {

using Row = std::vector<std::string>;

std::string cell(const json &value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool isListOfObjects(const json &value) {
  return value.is_array() && (value.empty() || value.front().is_object());
}

std::vector<Row> rowsOfList(const json &list) {
  std::vector<Row> rows;
  if (list.empty())
    return rows;
  Row header;
  for (const auto &[name, value] : list.front().items())
    header.push_back(name);
  rows.push_back(header);
  for (const json &it : list) {
    Row row;
    for (const std::string &name : header)
      row.push_back(it.contains(name) ? cell(it[name]) : "");
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<Row> rowsOfMembers(const json &answer) {
  std::vector<Row> rows;
  for (const auto &[name, value] : answer.items())
    if (!isListOfObjects(value))
      rows.push_back({name, cell(value)});
  return rows;
}

std::string toTable(const std::vector<Row> &rows) {
  std::vector<std::size_t> widths;
  for (const Row &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n)
      widths[n] = std::max(widths[n], row[n].size());
  }
  std::string out;
  for (const Row &row : rows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n)
      line += fmt::format("{:<{}}", row[n], widths[n] + 2);
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

std::string csvCell(const std::string &text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos)
    return text;
  std::string out = "\"";
  for (char it : text) {
    if (it == '"')
      out.push_back('"');
    out.push_back(it);
  }
  return out + "\"";
}

std::string toCsv(const std::vector<Row> &rows) {
  std::string out;
  for (const Row &row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n)
      out += (n == 0 ? "" : ",") + csvCell(row[n]);
    out += "\r\n";
  }
  return out;
}

std::string renderRows(const std::vector<Row> &rows, OutputFormat format) {
  return format == OutputFormat::Csv ? toCsv(rows) : toTable(rows);
}

} // namespace

std::optional<OutputFormat> outputFormat(std::string_view name) {
  if (name == "table")
    return OutputFormat::Table;
  if (name == "json")
    return OutputFormat::Json;
  if (name == "csv")
    return OutputFormat::Csv;
  return std::nullopt;
}

std::string render(const json &answer, OutputFormat format) {
  if (format == OutputFormat::Json)
    return answer.dump(2) + "\n";
  std::string out = renderRows(rowsOfMembers(answer), format);
  for (const auto &[name, value] : answer.items()) {
    if (!isListOfObjects(value))
      continue;
    if (!out.empty())
      out += "\n";
    out += renderRows(rowsOfList(value), format);
  }
  return out;
}

} // namespace acaciaroad::ctl
