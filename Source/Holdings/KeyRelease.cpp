#include "Holdings/KeyRelease.h"

#include <algorithm>
#include <utility>

#include "Holdings/KeyPlacement.h"

namespace acaciaroad::holdings {

namespace {

bool isHeld(const Heartbeat &heartbeat, const KeyRange &keys) {
  return std::any_of(
      heartbeat.Holds.begin(), heartbeat.Holds.end(),
      [&](const HeldKeys &it) { return it.Keys.intersects(keys); });
}

} // namespace

std::string_view toString(FreeCause cause) {
  switch (cause) {
  case FreeCause::Released:
    return "released";
  case FreeCause::Notice:
    return "notice";
  case FreeCause::UpstreamGone:
    return "upstream gone";
  case FreeCause::FormerProcess:
    return "former process";
  case FreeCause::NoHolder:
    return "no holder";
  }
  return "unknown";
}

void KeyRelease::plan(const Holding &row, std::string target) {
  Outgoing.push_back({row.Keys, row.Token, std::move(target), false, false});
}

void KeyRelease::withhold(const Holding &row) {
  Outgoing.push_back({row.Keys, row.Token, {}, true, true});
}

std::vector<KeyRange> KeyRelease::ranges() const {
  std::vector<KeyRange> out;
  for (const Range &it : Outgoing)
    out.push_back(it.Keys);
  return out;
}

std::vector<KeyRange> KeyRelease::withheld() const {
  std::vector<KeyRange> out;
  for (const Range &it : Outgoing)
    if (it.Withheld)
      out.push_back(it.Keys);
  return out;
}

void KeyRelease::granted() {
  for (Range &it : Outgoing)
    it.Withheld = true;
}

void KeyRelease::applyHeartbeat(const Heartbeat &heartbeat) {
  for (const FreedKeys &it : heartbeat.Freed)
    Freed.push_back(it);
  // For keys that are held again, the handover is outdated.
  std::erase_if(
      Freed, [&](const FreedKeys &it) { return isHeld(heartbeat, it.Keys); });
  for (Range &it : Outgoing)
    if (it.Withheld && !isHeld(heartbeat, it.Keys))
      it.Released = true;
}

void KeyRelease::keepOnly(std::span<const Holding> own) {
  std::erase_if(Outgoing, [&](const Range &it) {
    return std::none_of(own.begin(), own.end(),
                        [&](const Holding &row) { return isOf(it, row); });
  });
}

void KeyRelease::clear() {
  Outgoing.clear();
  Freed.clear();
}

std::vector<ReleasedKeys>
KeyRelease::released(std::span<const Holding> own) const {
  std::vector<ReleasedKeys> out;
  std::vector<KeyRange> done;
  const auto give = [&](const Holding &row, const KeyRange &keys,
                        const std::string &target) {
    for (const KeyRange &it : subtract(keys, done)) {
      out.push_back({row, target, FreeCause::Released});
      out.back().Row.Keys = it;
    }
    done.push_back(keys);
  };
  for (const Holding &row : own)
    for (const Range &it : Outgoing) {
      if (!it.Released || !isOf(it, row))
        continue;
      Holding piece = row;
      piece.Keys = it.Keys.intersection(row.Keys);
      // The last handover has the newest state of the keys.
      for (auto freed = Freed.rbegin(); freed != Freed.rend(); ++freed) {
        if (!freed->Keys.intersects(piece.Keys))
          continue;
        piece.Handover = freed->Handover;
        give(piece, freed->Keys.intersection(piece.Keys), it.Target);
      }
      piece.Handover.clear();
      give(piece, piece.Keys, it.Target);
    }
  return out;
}

} // namespace acaciaroad::holdings
