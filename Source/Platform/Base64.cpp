#include "Platform/Base64.h"

#include <openssl/evp.h>

namespace acaciaroad::platform {

namespace {

/// Bytes before and characters after encoding of one group.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

unsigned char *writable(std::string &buf) {
  return reinterpret_cast<unsigned char *>(buf.data());
}

const unsigned char *readable(std::string_view bytes) {
  return reinterpret_cast<const unsigned char *>(bytes.data());
}

std::size_t paddingOf(std::string_view text) {
  const std::size_t last = text.find_last_not_of('=');
  return last == std::string_view::npos ? text.size() : text.size() - last - 1;
}

} // namespace

std::string encodeBase64(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + GroupBytes - 1) / GroupBytes;
  std::string out(groups * GroupCharacters, '\0');
  // OpenSSL ends its output with a zero, where std::string keeps one as well.
  EVP_EncodeBlock(writable(out), readable(bytes),
                  static_cast<int>(bytes.size()));
  return out;
}

core::Result<std::string> decodeBase64(std::string_view text) {
  const std::size_t padding = paddingOf(text);
  std::string out(text.size() / GroupCharacters * GroupBytes, '\0');
  const int n = EVP_DecodeBlock(writable(out), readable(text),
                                static_cast<int>(text.size()));
  // OpenSSL trims white space, which is no part of the encoding here.
  const bool isWhole = text.size() % GroupCharacters == 0 && n >= 0 &&
                       static_cast<std::size_t>(n) == out.size();
  if (!isWhole || padding >= GroupBytes || padding > out.size())
    return core::fail(core::ErrorKind::CorruptMessage, "malformed base64");
  out.resize(out.size() - padding);
  return out;
}

} // namespace acaciaroad::platform
