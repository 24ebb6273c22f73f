#include "Core/PercentEncoding.h"

#include <fmt/format.h>

namespace acaciaroad::core {

std::string percentEncode(std::string_view text, std::string_view kept) {
  constexpr std::string_view Marks = "-._~";
  std::string out;
  for (const char it : text) {
    const bool isPlain = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
                         (it >= '0' && it <= '9') ||
                         Marks.find(it) != std::string_view::npos ||
                         kept.find(it) != std::string_view::npos;
    if (isPlain)
      out.push_back(it);
    else
      out += fmt::format("%{:02X}", static_cast<unsigned char>(it));
  }
  return out;
}

} // namespace acaciaroad::core
