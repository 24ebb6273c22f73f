#include "Programs/Load/LatencyPlot.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <fmt/format.h>

namespace acaciaroad::load {

namespace {

// In SVG user units.
constexpr double Width = 960;
constexpr double Height = 420;
constexpr double Left = 60;
constexpr double Right = 20;
constexpr double Top = 50;
constexpr double Bottom = 40;
constexpr double MarkStep = 12;
constexpr int MarkRows = 3;

/// Ends of the latency axis, in powers of ten of a millisecond.
constexpr int LowestPower = -1;
constexpr int HighestPower = 4;
constexpr int TimeLabels = 10;

double secondsOf(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Collects the elements of the picture.
class Canvas {
public:
  explicit Canvas(core::Duration length) : Length(secondsOf(length)) {}

  double x(double seconds) const {
    return Left + (Width - Left - Right) * seconds / Length;
  }

  /// For a latency.
  double y(core::Duration latency) const {
    const double ms = secondsOf(latency) * 1e3;
    const double power = std::clamp(std::log10(std::max(ms, 1e-9)),
                                    static_cast<double>(LowestPower),
                                    static_cast<double>(HighestPower));
    return yOfShare((power - LowestPower) / (HighestPower - LowestPower));
  }

  /// For a share of the height, 0 to 1.
  static double yOfShare(double share) {
    return Height - Bottom - (Height - Top - Bottom) * share;
  }

  void line(double x1, double y1, double x2, double y2,
            std::string_view style) {
    fmt::format_to(std::back_inserter(Body),
                   "<line x1='{:.1f}' y1='{:.1f}' x2='{:.1f}' y2='{:.1f}' "
                   "style='{}'/>\n",
                   x1, y1, x2, y2, style);
  }

  void rectangle(double x1, double y1, double x2, double y2,
                 std::string_view style) {
    fmt::format_to(std::back_inserter(Body),
                   "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' "
                   "height='{:.1f}' style='{}'/>\n",
                   x1, y1, x2 - x1, y2 - y1, style);
  }

  void text(double atX, double atY, std::string_view anchor,
            std::string_view label) {
    fmt::format_to(std::back_inserter(Body),
                   "<text x='{:.1f}' y='{:.1f}' text-anchor='{}'>{}</text>\n",
                   atX, atY, anchor, escape(label));
  }

  void path(std::string_view points, std::string_view colour) {
    fmt::format_to(std::back_inserter(Body),
                   "<polyline points='{}' style='fill:none;stroke:{};"
                   "stroke-width:1.5'/>\n",
                   points, colour);
  }

  std::string finish() const {
    return fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{0}' "
                       "height='{1}' viewBox='0 0 {0} {1}' "
                       "font-family='sans-serif' font-size='10'>\n"
                       "<rect width='100%' height='100%' fill='white'/>\n"
                       "{2}</svg>\n",
                       Width, Height, Body);
  }

private:
  static std::string escape(std::string_view text) {
    std::string out;
    for (const char c : text)
      switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += c;
      }
    return out;
  }

  double Length;
  std::string Body;
};

void drawAxes(Canvas &canvas, const Experiment &experiment) {
  constexpr std::string_view Grid = "stroke:#dddddd";
  for (int power = LowestPower; power <= HighestPower; ++power) {
    const double ms = std::pow(10.0, power);
    const double y =
        canvas.y(core::Duration(static_cast<std::int64_t>(ms * 1e6)));
    canvas.line(Left, y, Width - Right, y, Grid);
    canvas.text(Left - 5, y + 3, "end", fmt::format("{:g} ms", ms));
  }
  const double length = secondsOf(experiment.Length);
  for (int n = 0; n <= TimeLabels; ++n) {
    const double seconds = length * n / TimeLabels;
    canvas.text(canvas.x(seconds), Height - Bottom + 15, "middle",
                fmt::format("{:.3g} s", seconds));
  }
  canvas.text(Left, Height - 8, "start",
              fmt::format("{}: blue p50, orange p99, red p99.9 of served "
                          "requests; grey: share not served",
                          experiment.Name));
}

void drawUnserved(Canvas &canvas, const Report &report) {
  for (const Interval &it : report.Seconds) {
    const double share = 1 - it.Group.servedShare();
    const double start = secondsOf(it.Start);
    if (share > 0)
      canvas.rectangle(canvas.x(start), Canvas::yOfShare(share),
                       canvas.x(start + 1), Canvas::yOfShare(0),
                       "fill:#cccccc;fill-opacity:0.6");
  }
}

void drawCurve(Canvas &canvas, const Report &report,
               core::Duration LatencySummary::*member,
               std::string_view colour) {
  std::string points;
  for (const Interval &it : report.Seconds)
    if (it.Group.count(Outcome::Served) != 0)
      fmt::format_to(std::back_inserter(points), "{:.1f},{:.1f} ",
                     canvas.x(secondsOf(it.Start) + 0.5),
                     canvas.y(it.Group.Latency.*member));
  canvas.path(points, colour);
}

void drawMark(Canvas &canvas, double seconds, std::string_view label,
              int number) {
  const double x = canvas.x(seconds);
  canvas.line(x, Top, x, Height - Bottom,
              "stroke:#228822;stroke-dasharray:4 3");
  canvas.text(x + 2, Top - 5 - MarkStep * (number % MarkRows), "start", label);
}

} // namespace

std::string renderPlot(const Experiment &experiment, const Report &report,
                       std::span<const ActionResult> actions) {
  Canvas canvas(experiment.Length);
  drawUnserved(canvas, report);
  drawAxes(canvas, experiment);
  drawCurve(canvas, report, &LatencySummary::P50, "#1f77b4");
  drawCurve(canvas, report, &LatencySummary::P99, "#ff7f0e");
  drawCurve(canvas, report, &LatencySummary::P999, "#d62728");
  int number = 0;
  for (const ActionResult &it : actions)
    drawMark(canvas, secondsOf(it.Time), it.Label, number++);
  for (const Phase &it : experiment.Phases)
    drawMark(canvas, secondsOf(it.Start), it.Name, number++);
  return canvas.finish();
}

} // namespace acaciaroad::load
