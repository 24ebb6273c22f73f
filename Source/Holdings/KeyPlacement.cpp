#include "Holdings/KeyPlacement.h"

#include <algorithm>
#include <cstdint>

namespace acaciaroad::holdings {

namespace {

struct Taker {
  const Member *Who = nullptr;
  /// Keys below its fair share; may be negative.
  std::int64_t Lacks = 0;
};

std::vector<Taker> weigh(std::span<const Holding> free,
                         std::span<const Holding> rows,
                         std::span<const Member *const> takers) {
  std::vector<Taker> out;
  std::int64_t total = 0;
  for (const Holding &it : free)
    total += it.Keys.size();
  for (const Member *it : takers) {
    const std::int64_t own = keysOf(rows, it->Record.Name);
    total += own;
    out.push_back({it, -own});
  }
  const auto n = static_cast<std::int64_t>(takers.size());
  for (Taker &it : out)
    it.Lacks += (total + n - 1) / n;
  return out;
}

} // namespace

std::vector<KeyRange> subtract(const KeyRange &range,
                               std::span<const KeyRange> taken) {
  std::vector<KeyRange> out{range};
  for (const KeyRange &cut : taken) {
    std::vector<KeyRange> left;
    for (const KeyRange &it : out) {
      if (!it.intersects(cut)) {
        left.push_back(it);
        continue;
      }
      if (it.From < cut.From)
        left.push_back({it.From, cut.From - 1});
      if (cut.To < it.To)
        left.push_back({cut.To + 1, it.To});
    }
    out = std::move(left);
  }
  return out;
}

Key keysOf(std::span<const Holding> rows, std::string_view node) {
  Key out = 0;
  for (const Holding &it : rows)
    if (it.Node == node)
      out += it.Keys.size();
  return out;
}

std::vector<Holding> spread(std::span<const Holding> free,
                            std::span<const Holding> rows,
                            std::span<const Member *const> takers,
                            Fence token) {
  std::vector<Taker> weighed = weigh(free, rows, takers);
  std::vector<Holding> out;
  for (const Holding &it : free) {
    Key from = it.Keys.From;
    while (from <= it.Keys.To) {
      const auto taker = std::max_element(
          weighed.begin(), weighed.end(),
          [](const Taker &a, const Taker &b) { return a.Lacks < b.Lacks; });
      const std::int64_t left = it.Keys.To - from + 1;
      const std::int64_t n =
          taker->Lacks > 0 ? std::min(left, taker->Lacks) : left;
      const Key to = from + static_cast<Key>(n) - 1;
      out.push_back({{from, to},
                     taker->Who->Record.Name,
                     taker->Who->Record.Life,
                     token,
                     it.Handover});
      taker->Lacks -= n;
      from = to + 1;
    }
  }
  return out;
}

void normalize(std::vector<Holding> &rows) {
  std::sort(rows.begin(), rows.end(), [](const Holding &a, const Holding &b) {
    return a.Keys.From < b.Keys.From;
  });
  std::vector<Holding> out;
  for (Holding &it : rows) {
    if (!out.empty()) {
      Holding &last = out.back();
      const bool isSame = last.Node == it.Node && last.Life == it.Life &&
                          last.Token == it.Token &&
                          last.Handover == it.Handover;
      if (isSame && last.Keys.To + 1 == it.Keys.From) {
        last.Keys.To = it.Keys.To;
        continue;
      }
    }
    out.push_back(std::move(it));
  }
  rows = std::move(out);
}

} // namespace acaciaroad::holdings
