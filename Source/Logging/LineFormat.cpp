#include "Logging/LineFormat.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace acaciaroad::logging {

namespace {

/// Whether \p c stands for itself within a JSON string.
bool isPlain(char c) { return c >= ' ' && c < '\x7f' && c != '"' && c != '\\'; }

class LineBuilder {
public:
  void text(std::string_view value) {
    if (std::all_of(value.begin(), value.end(), isPlain)) {
      fmt::format_to(std::back_inserter(Out), "\"{}\"", value);
      return;
    }
    using Json = nlohmann::json;
    Out += Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  void name(std::string_view value) {
    Out += Out.empty() ? '{' : ',';
    text(value);
    Out += ':';
  }

  void operator()(std::string_view value) { text(value); }
  void operator()(bool value) { Out += value ? "true" : "false"; }

  void operator()(double value) {
    if (std::isfinite(value))
      fmt::format_to(std::back_inserter(Out), "{}", value);
    else
      Out += "null";
  }

  void operator()(std::integral auto value) {
    fmt::format_to(std::back_inserter(Out), "{}", value);
  }

  std::string finish() {
    Out += "}\n";
    return std::move(Out);
  }

private:
  std::string Out;
};

/// Returns \p time as RFC 3339 in UTC with milliseconds.
std::string formatTime(std::chrono::system_clock::time_point time) {
  using namespace std::chrono;
  const auto whole = floor<seconds>(time);
  const auto millis = duration_cast<milliseconds>(time - whole).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(system_clock::to_time_t(whole)), millis);
}

} // namespace

std::string formatLine(const LineHead &head, std::span<const Field> fields) {
  LineBuilder out;
  out.name("ts");
  out.text(formatTime(head.Time));
  out.name("level");
  out.text(toString(head.LineLevel));
  out.name("event");
  out.text(head.Event);
  out.name("instance");
  out.text(head.Instance);
  for (const Field &it : fields) {
    out.name(it.Name);
    std::visit(out, it.Value);
  }
  return out.finish();
}

} // namespace acaciaroad::logging
