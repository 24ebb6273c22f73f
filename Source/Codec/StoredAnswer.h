/// \file
/// The stored answer of a request that runs at most once.

#ifndef ACACIAROAD_CODEC_STOREDANSWER_H
#define ACACIAROAD_CODEC_STOREDANSWER_H

#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::codec {

struct StoredAnswer {
  wire::AnswerHead Head;
  std::string Body;
};

/// Returns the encoding of \p answer.
std::string encode(const StoredAnswer &answer);

/// Inverse of encode. CorruptMessage for anything else.
core::Result<StoredAnswer> decodeStoredAnswer(std::string_view bytes);

} // namespace acaciaroad::codec

#endif
