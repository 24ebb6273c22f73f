#include "Codec/StoredAnswer.h"

#include "Codec/Generated/Control.pb.h"

namespace acaciaroad::codec {

std::string encode(const StoredAnswer &answer) {
  pb::StoredAnswer out;
  out.set_status(static_cast<std::uint32_t>(answer.Head.Status));
  for (const wire::Header &it : answer.Head.Headers) {
    auto &header = *out.add_headers();
    header.set_name(it.Name);
    header.set_value(it.Value);
  }
  out.set_body(answer.Body);
  return out.SerializeAsString();
}

core::Result<StoredAnswer> decodeStoredAnswer(std::string_view bytes) {
  pb::StoredAnswer in;
  if (bytes.empty() ||
      !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return core::fail(core::ErrorKind::CorruptMessage);
  StoredAnswer answer;
  answer.Head.Status = static_cast<int>(in.status());
  for (const pb::StoredHeader &it : in.headers())
    answer.Head.Headers.push_back({it.name(), it.value()});
  answer.Body = in.body();
  return answer;
}

} // namespace acaciaroad::codec
