/// \file
/// Seeded mutation of bytes for fuzz tests with the same verdict each run.

#ifndef ACACIAROAD_TESTS_SUPPORT_MUTATION_H
#define ACACIAROAD_TESTS_SUPPORT_MUTATION_H

#include <random>
#include <string>

namespace acaciaroad::tests {

/// Returns \p bytes with one to eight edits: flipped bits, replaced, inserted,
/// removed or repeated bytes, or a cut.
inline std::string mutate(std::string bytes, std::mt19937_64 &random) {
  const auto edits = random() % 8 + 1;
  for (std::uint64_t n = 0; n < edits && !bytes.empty(); ++n) {
    const std::size_t at = random() % bytes.size();
    const auto byte = static_cast<char>(random());
    switch (random() % 6) {
    case 0:
      bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
      break;
    case 1:
      bytes[at] = byte;
      break;
    case 2:
      bytes.insert(at, 1, byte);
      break;
    case 3:
      bytes.erase(at, random() % 4 + 1);
      break;
    case 4:
      bytes.insert(at, bytes.substr(at, random() % 16));
      break;
    default:
      bytes.resize(at);
    }
  }
  return bytes;
}

} // namespace acaciaroad::tests

#endif
