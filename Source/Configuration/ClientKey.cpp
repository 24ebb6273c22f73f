#include "Configuration/ClientKey.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace acaciaroad::configuration {

namespace {

constexpr std::size_t IdBytes = 8;
constexpr std::size_t SecretBytes = 24;

std::string toHex(std::span<const std::byte> bytes) {
  std::string out;
  for (std::byte it : bytes)
    out += fmt::format("{:02x}", std::to_integer<unsigned>(it));
  return out;
}

std::string toText(std::span<const std::byte> bytes) {
  std::string out;
  for (std::byte it : bytes)
    out.push_back(static_cast<char>(it));
  return out;
}

} // namespace

HashArray hashSecret(std::string_view salt, std::string_view secret) {
  std::string input(salt);
  input.append(secret);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  EVP_Digest(input.data(), input.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  OPENSSL_cleanse(input.data(), input.size());
  HashArray out{};
  for (std::size_t n = 0; n < out.size(); ++n)
    out[n] = static_cast<char>(digest[n]);
  return out;
}

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool systemRandom(std::span<std::byte> out) {
  auto *data = reinterpret_cast<unsigned char *>(out.data());
  return RAND_bytes(data, static_cast<int>(out.size())) == 1;
}

core::Result<KeyGrant> KeyGrant::create(ChangeOrigin origin,
                                        std::string_view account,
                                        std::uint64_t basis,
                                        const RandomFunction &random) {
  std::array<std::byte, IdBytes + SecretBytes + SaltBytes> buf{};
  if (!random(buf))
    return core::fail(core::ErrorKind::Internal,
                      "the random number generator failed");
  const std::span<const std::byte> bytes(buf);
  const std::string secret = toHex(bytes.subspan(IdBytes, SecretBytes));
  KeyGrant grant;
  grant.Record.Origin = std::move(origin);
  grant.Record.Basis = basis;
  grant.Record.KeyId = toHex(bytes.first(IdBytes));
  grant.Record.Account = account;
  grant.Record.Salt = toText(bytes.last(SaltBytes));
  const HashArray hash = hashSecret(grant.Record.Salt, secret);
  grant.Record.Hash.assign(hash.begin(), hash.end());
  grant.Bearer = grant.Record.KeyId + "." + secret;
  return grant;
}

} // namespace acaciaroad::configuration
