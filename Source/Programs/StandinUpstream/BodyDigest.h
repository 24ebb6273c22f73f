/// \file
/// SHA-256 of a body that is streamed.

#ifndef ACACIAROAD_STANDINUPSTREAM_BODYDIGEST_H
#define ACACIAROAD_STANDINUPSTREAM_BODYDIGEST_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <openssl/evp.h>

namespace acaciaroad::standinupstream {

/// Adds up a body piece by piece.
class BodyDigest {
public:
  BodyDigest();

  void add(std::string_view bytes);

  std::uint64_t length() const { return Length; }

  /// Returns 64 hexadecimal digits; called once, at the end.
  std::string finish();

private:
  struct Free {
    void operator()(EVP_MD_CTX *it) const { EVP_MD_CTX_free(it); }
  };

  std::unique_ptr<EVP_MD_CTX, Free> Context;
  std::uint64_t Length = 0;
};

} // namespace acaciaroad::standinupstream

#endif
