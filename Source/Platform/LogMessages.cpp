#include "Platform/LogMessages.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Platform/Base64.h"

namespace acaciaroad::platform {

namespace {

using Json = nlohmann::json;

/// Runs \p read over the parsed \p body; the library's exceptions end here.
template <typename Read>
auto decode(std::string_view body, Read read) -> decltype(read(Json())) {
  try {
    return read(Json::parse(body));
  } catch (const Json::exception &ec) {
    return core::fail(core::ErrorKind::CorruptMessage, ec.what());
  }
}

core::Offset offsetAt(const Json &object, const char *name) {
  const Json &value = object.at(name);
  // A negative or fractional number would be converted without a word.
  if (!value.is_number_unsigned())
    throw Json::other_error::create(0, "offset expected", &value);
  return value.get<core::Offset>();
}

core::Result<LogBatch> readBatch(const Json &object) {
  LogBatch out;
  out.First = offsetAt(object, "first");
  out.Next = offsetAt(object, "next");
  for (const Json &it : object.at("records")) {
    auto payload = decodeBase64(it.at("payload").get<std::string>());
    if (!payload)
      return tl::unexpected(payload.error());
    const core::Offset offset = offsetAt(it, "offset");
    const bool rises =
        out.Records.empty() || offset > out.Records.back().Offset;
    if (!rises || offset >= out.Next)
      return core::fail(core::ErrorKind::CorruptMessage,
                        "record offsets out of order");
    out.Records.push_back({offset, std::move(*payload)});
  }
  return out;
}

bool isStreamCharacter(unsigned char c) {
  return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

} // namespace

bool isStreamName(std::string_view name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), isStreamCharacter);
}

std::string encodeAppendAnswer(core::Offset offset) {
  return Json{{"offset", offset}}.dump();
}

std::string encodeBounds(const LogBounds &bounds) {
  return Json{{"first", bounds.First}, {"next", bounds.Next}}.dump();
}

std::string encodeBatch(const LogBatch &batch) {
  Json records = Json::array();
  for (const LogRecord &it : batch.Records)
    records.push_back(
        {{"offset", it.Offset}, {"payload", encodeBase64(it.Payload)}});
  return Json{{"first", batch.First},
              {"next", batch.Next},
              {"records", std::move(records)}}
      .dump();
}

core::Result<core::Offset> decodeAppendAnswer(std::string_view body) {
  return decode(body, [](const Json &it) -> core::Result<core::Offset> {
    return offsetAt(it, "offset");
  });
}

core::Result<LogBounds> decodeBounds(std::string_view body) {
  return decode(body, [](const Json &it) -> core::Result<LogBounds> {
    return LogBounds{offsetAt(it, "first"), offsetAt(it, "next")};
  });
}

core::Result<LogBatch> decodeBatch(std::string_view body) {
  return decode(body, readBatch);
}

} // namespace acaciaroad::platform
