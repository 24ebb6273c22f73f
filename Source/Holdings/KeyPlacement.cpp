#include "Holdings/KeyPlacement.h"

#include <algorithm>
#include <cstdint>

namespace acaciaroad::holdings {

namespace {

struct Recipient {
  const Member *Node = nullptr;
  /// Number of keys missing to the common level; negative above it.
  std::int64_t KeyDeficit = 0;
};

/// Returns the common number of keys to which \p free keys can fill up the
/// recipients, rounded up. \p own has their present numbers, sorted.
std::int64_t fillLevel(std::span<const std::int64_t> own, std::int64_t free) {
  std::int64_t sum = free;
  std::int64_t n = 0;
  for (const std::int64_t it : own) {
    // A recipient above the level of the previous ones gets no keys.
    if (n > 0 && it * n >= sum)
      break;
    sum += it;
    ++n;
  }
  return n == 0 ? 0 : (sum + n - 1) / n;
}

std::vector<Recipient>
computeDeficits(std::span<const Holding> free, std::span<const Holding> rows,
                std::span<const Member *const> recipients) {
  std::int64_t total = 0;
  for (const Holding &it : free)
    total += it.Keys.size();
  std::vector<std::int64_t> own;
  for (const Member *it : recipients)
    own.push_back(countKeys(rows, it->Record.Name));
  std::vector<std::int64_t> sorted = own;
  std::sort(sorted.begin(), sorted.end());
  const std::int64_t level = fillLevel(sorted, total);
  std::vector<Recipient> out;
  for (std::size_t n = 0; n < recipients.size(); ++n)
    out.push_back({recipients[n], level - own[n]});
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

std::vector<Holding> without(std::span<const Holding> rows,
                             std::span<const KeyRange> taken) {
  std::vector<Holding> out;
  for (const Holding &row : rows)
    for (const KeyRange &it : subtract(row.Keys, taken)) {
      out.push_back(row);
      out.back().Keys = it;
    }
  return out;
}

Key countKeys(std::span<const Holding> rows, std::string_view node) {
  Key out = 0;
  for (const Holding &it : rows)
    if (it.Node == node)
      out += it.Keys.size();
  return out;
}

std::vector<Holding> distributeKeys(std::span<const Holding> free,
                                    std::span<const Holding> rows,
                                    std::span<const Member *const> recipients,
                                    FencingToken token) {
  std::vector<Recipient> deficits = computeDeficits(free, rows, recipients);
  std::vector<Holding> out;
  for (const Holding &it : free) {
    Key from = it.Keys.From;
    while (from <= it.Keys.To) {
      const auto recipient =
          std::max_element(deficits.begin(), deficits.end(),
                           [](const Recipient &a, const Recipient &b) {
                             return a.KeyDeficit < b.KeyDeficit;
                           });
      const std::int64_t left = it.Keys.To - from + 1;
      const std::int64_t n = recipient->KeyDeficit > 0
                                 ? std::min(left, recipient->KeyDeficit)
                                 : left;
      const Key to = from + static_cast<Key>(n) - 1;
      out.push_back({{from, to},
                     recipient->Node->Record.Name,
                     recipient->Node->Record.Process,
                     token,
                     it.Handover});
      recipient->KeyDeficit -= n;
      from = to + 1;
    }
  }
  return out;
}

std::vector<HoldingPart> changedParts(std::span<const Holding> before,
                                      std::span<const Holding> after) {
  const auto split = [](std::span<const Holding> rows) {
    std::vector<HoldingPart> out(PartCount);
    for (Key n = 0; n < PartCount; ++n)
      out[n].Number = n;
    for (const Holding &row : rows)
      for (Key from = row.Keys.From; from <= row.Keys.To;) {
        HoldingPart &part = out[from / KeysPerPart];
        const Key to =
            std::min(row.Keys.To, (part.Number + 1) * KeysPerPart - 1);
        part.Rows.push_back(row);
        part.Rows.back().Keys = {from, to};
        from = to + 1;
      }
    return out;
  };
  const auto known = split(before);
  auto out = split(after);
  std::erase_if(out,
                [&](const HoldingPart &it) { return it == known[it.Number]; });
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
      const bool isSame = last.Node == it.Node && last.Process == it.Process &&
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
