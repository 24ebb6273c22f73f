#include "Programs/Replay/TraceEvent.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

#include <nlohmann/json.hpp>

namespace acaciaroad::replay {

using nlohmann::json;

namespace {

int digits(std::string_view text, std::size_t at, std::size_t n) {
  int out = -1;
  const char *begin = text.data() + at;
  const auto [it, ec] = std::from_chars(begin, begin + n, out);
  return ec == std::errc() && it == begin + n ? out : -1;
}

std::string textOf(const json &line, const char *field) {
  const auto it = line.find(field);
  return it != line.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t numberOf(const json &line, const char *field) {
  const auto it = line.find(field);
  return it != line.end() && it->is_number_unsigned() ? it->get<std::uint64_t>()
                                                      : 0;
}

std::int64_t timeOf(const json &line, TraceClock clock) {
  if (clock == TraceClock::Wall)
    return parseTimestamp(textOf(line, "ts"));
  return line.contains("boot_ns")
             ? static_cast<std::int64_t>(numberOf(line, "boot_ns"))
             : -1;
}

std::optional<TraceEvent> readLine(std::string_view text, TraceClock clock) {
  const auto line = json::parse(text, nullptr, false);
  if (!line.is_object())
    return std::nullopt;
  TraceEvent out;
  out.Time = timeOf(line, clock);
  out.Event = textOf(line, "event");
  if (out.Time < 0 || out.Event.empty())
    return std::nullopt;
  out.Instance = textOf(line, "instance");
  out.DataCentre = textOf(line, "data_centre");
  out.RequestId = textOf(line, "request_id");
  out.Account = textOf(line, "account");
  out.Class = textOf(line, "class");
  out.KeyId = textOf(line, "key_id");
  out.IdempotencyKey = textOf(line, "idempotency_key");
  out.Slice = textOf(line, "slice");
  out.Ran = textOf(line, "ran");
  out.SentPath = textOf(line, "sent_path");
  out.EchoedPath = textOf(line, "echoed_path");
  out.Epoch = numberOf(line, "epoch");
  out.InFlight = numberOf(line, "in_flight");
  out.Bearable = numberOf(line, "bearable");
  out.SharePermille = numberOf(line, "share_permille");
  const auto cold = line.find("cold");
  out.Cold = cold != line.end() && cold->is_boolean() && cold->get<bool>();
  return out;
}

} // namespace

std::int64_t parseTimestamp(std::string_view text) {
  using namespace std::chrono;
  constexpr std::string_view Shape = "0000-00-00T00:00:00.000Z";
  if (text.size() != Shape.size())
    return -1;
  for (std::size_t n = 0; n < Shape.size(); ++n)
    if (Shape[n] != '0' && text[n] != Shape[n])
      return -1;
  const int parts[] = {digits(text, 0, 4),  digits(text, 5, 2),
                       digits(text, 8, 2),  digits(text, 11, 2),
                       digits(text, 14, 2), digits(text, 17, 2),
                       digits(text, 20, 3)};
  if (std::any_of(std::begin(parts), std::end(parts),
                  [](int it) { return it < 0; }))
    return -1;
  const year_month_day date{year{parts[0]},
                            month{static_cast<unsigned>(parts[1])},
                            day{static_cast<unsigned>(parts[2])}};
  const nanoseconds time = sys_days(date).time_since_epoch() + hours(parts[3]) +
                           minutes(parts[4]) + seconds(parts[5]) +
                           milliseconds(parts[6]);
  return time.count();
}

Trace readTrace(std::span<const std::string> texts, TraceClock clock) {
  Trace out;
  for (std::string_view rest : texts) {
    while (!rest.empty()) {
      const std::size_t n = rest.find('\n');
      const std::string_view text = rest.substr(0, n);
      rest.remove_prefix(n == std::string_view::npos ? rest.size() : n + 1);
      if (text.empty())
        continue;
      auto event = readLine(text, clock);
      if (event)
        out.Events.push_back(std::move(*event));
      else
        ++out.SkippedLines;
    }
  }
  std::stable_sort(
      out.Events.begin(), out.Events.end(),
      [](const TraceEvent &a, const TraceEvent &b) { return a.Time < b.Time; });
  return out;
}

} // namespace acaciaroad::replay
