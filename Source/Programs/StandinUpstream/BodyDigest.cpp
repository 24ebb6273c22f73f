#include "Programs/StandinUpstream/BodyDigest.h"

#include <array>
#include <iterator>

#include <fmt/format.h>

namespace acaciaroad::standinupstream {

BodyDigest::BodyDigest() : Context(EVP_MD_CTX_new()) {
  EVP_DigestInit_ex(Context.get(), EVP_sha256(), nullptr);
}

void BodyDigest::add(std::string_view bytes) {
  EVP_DigestUpdate(Context.get(), bytes.data(), bytes.size());
  Length += bytes.size();
}

std::string BodyDigest::finish() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int size = 0;
  EVP_DigestFinal_ex(Context.get(), buf.data(), &size);
  std::string out;
  for (unsigned int n = 0; n < size; ++n)
    fmt::format_to(std::back_inserter(out), "{:02x}", buf[n]);
  return out;
}

} // namespace acaciaroad::standinupstream
