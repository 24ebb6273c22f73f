#include "Wire/ForwardFrame.h"

#include <limits>
#include <utility>

#include "Wire/Generated/Forward.pb.h"

namespace acaciaroad::wire {

namespace {

constexpr int LowestStatus = 100;
constexpr int HighestStatus = 999;
/// Microseconds; a longer time left is no deadline of any class.
constexpr std::uint64_t LongestDeadline = 24ULL * 3600 * 1'000'000;

using HeaderFields = google::protobuf::RepeatedPtrField<pb::HttpHeader>;

void encodeHeaders(const std::vector<Header> &headers, HeaderFields &out) {
  out.Reserve(static_cast<int>(headers.size()));
  for (const Header &it : headers) {
    pb::HttpHeader *field = out.Add();
    field->set_name(it.Name);
    field->set_value(it.Value);
  }
}

std::vector<Header> decodeHeaders(HeaderFields &fields) {
  std::vector<Header> out;
  out.reserve(static_cast<std::size_t>(fields.size()));
  for (pb::HttpHeader &it : fields)
    out.push_back(
        {std::move(*it.mutable_name()), std::move(*it.mutable_value())});
  return out;
}

/// Encodes one kind of frame into the oneof of \p Out.
struct Encoder {
  pb::Frame &Out;

  void operator()(const OpenFrame &frame) const {
    pb::Open &out = *Out.mutable_open();
    const ForwardHead &head = frame.Head;
    out.set_request_id(head.RequestId);
    out.set_method(head.Method);
    out.set_target(head.Target);
    encodeHeaders(head.Headers, *out.mutable_headers());
    out.set_work_class(head.WorkClass);
    out.set_account(head.Account);
    out.set_service(head.Service);
    out.set_key_hash(head.KeyHash);
    out.set_slice_index(head.SliceIndex);
    out.set_idempotency_key(head.IdempotencyKey);
    out.set_deadline_remaining_us(
        static_cast<std::uint64_t>(head.DeadlineRemaining.count()));
    out.set_body_mode(static_cast<std::uint32_t>(head.Body));
    out.set_body_length(head.BodyLength);
    out.set_body_complete(frame.BodyComplete);
  }

  void operator()(const DataFrame &frame) const {
    Out.mutable_data()->set_last(frame.Last);
  }

  void operator()(const CreditFrame &frame) const {
    Out.mutable_credit()->set_bytes(frame.Bytes);
  }

  void operator()(const AnswerFrame &frame) const {
    pb::AnswerHead &out = *Out.mutable_answer();
    out.set_request_id(frame.RequestId);
    out.set_status(static_cast<std::uint32_t>(frame.Head.Status));
    encodeHeaders(frame.Head.Headers, *out.mutable_headers());
    out.set_body_mode(static_cast<std::uint32_t>(frame.Head.Body));
    out.set_body_length(frame.Head.BodyLength);
    out.set_body_complete(frame.BodyComplete);
  }

  void operator()(const RefusalFrame &frame) const {
    pb::Refusal &out = *Out.mutable_refusal();
    out.set_request_id(frame.RequestId);
    const std::string_view name = core::answerFor(frame.Why.Kind).Name;
    out.set_kind(name.data(), name.size());
    out.set_detail(frame.Why.Detail);
  }

  void operator()(const CancelFrame & /*frame*/) const { Out.mutable_cancel(); }
};

core::Result<ForwardFrame> corrupt(const char *why) {
  return core::fail(core::ErrorKind::CorruptMessage, why);
}

core::Result<ForwardFrame> decodeOpen(ForwardFrame out, pb::Open &open) {
  if (open.request_id().empty() || open.method().empty() ||
      open.body_mode() >= BodyModeCount ||
      open.deadline_remaining_us() > LongestDeadline)
    return corrupt("open frame out of range");
  OpenFrame frame;
  ForwardHead &head = frame.Head;
  head.RequestId = std::move(*open.mutable_request_id());
  head.Method = std::move(*open.mutable_method());
  head.Target = std::move(*open.mutable_target());
  head.Headers = decodeHeaders(*open.mutable_headers());
  head.WorkClass = std::move(*open.mutable_work_class());
  head.Account = std::move(*open.mutable_account());
  head.Service = std::move(*open.mutable_service());
  head.KeyHash = open.key_hash();
  head.SliceIndex = open.slice_index();
  head.IdempotencyKey = std::move(*open.mutable_idempotency_key());
  head.DeadlineRemaining = std::chrono::microseconds(
      static_cast<std::int64_t>(open.deadline_remaining_us()));
  head.Body = static_cast<BodyMode>(open.body_mode());
  head.BodyLength = open.body_length();
  frame.BodyComplete = open.body_complete();
  out.Kind = std::move(frame);
  return out;
}

core::Result<ForwardFrame> decodeAnswer(ForwardFrame out,
                                        pb::AnswerHead &answer) {
  const auto status = static_cast<std::int64_t>(answer.status());
  if (status < LowestStatus || status > HighestStatus ||
      answer.body_mode() >= BodyModeCount)
    return corrupt("answer frame out of range");
  AnswerFrame frame;
  frame.RequestId = std::move(*answer.mutable_request_id());
  frame.Head.Status = static_cast<int>(status);
  frame.Head.Headers = decodeHeaders(*answer.mutable_headers());
  frame.Head.Body = static_cast<BodyMode>(answer.body_mode());
  frame.Head.BodyLength = answer.body_length();
  frame.BodyComplete = answer.body_complete();
  out.Kind = std::move(frame);
  return out;
}

core::Result<ForwardFrame> decodeRefusal(ForwardFrame out,
                                         pb::Refusal &refusal) {
  const auto kind = core::errorKindFromName(refusal.kind());
  if (!kind)
    return corrupt("refusal of an unknown kind");
  out.Kind =
      RefusalFrame{std::move(*refusal.mutable_request_id()),
                   core::Error{*kind, std::move(*refusal.mutable_detail())}};
  return out;
}

} // namespace

std::string encodeFrame(const ForwardFrame &frame) {
  pb::Frame out;
  out.set_call(frame.Call);
  out.set_request_check(frame.RequestCheck);
  out.set_to_owner(frame.ToOwner);
  std::visit(Encoder{out}, frame.Kind);
  return out.SerializeAsString();
}

core::Result<ForwardFrame> decodeFrame(std::string_view bytes) {
  pb::Frame in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return corrupt("no frame");
  ForwardFrame out;
  out.Call = in.call();
  out.RequestCheck = in.request_check();
  out.ToOwner = in.to_owner();
  switch (in.kind_case()) {
  case pb::Frame::kOpen:
    return decodeOpen(std::move(out), *in.mutable_open());
  case pb::Frame::kData:
    out.Kind = DataFrame{in.data().last()};
    return out;
  case pb::Frame::kCredit:
    out.Kind = CreditFrame{in.credit().bytes()};
    return out;
  case pb::Frame::kAnswer:
    return decodeAnswer(std::move(out), *in.mutable_answer());
  case pb::Frame::kRefusal:
    return decodeRefusal(std::move(out), *in.mutable_refusal());
  case pb::Frame::kCancel:
    out.Kind = CancelFrame{};
    return out;
  case pb::Frame::KIND_NOT_SET:
    break;
  }
  return corrupt("frame without a kind");
}

} // namespace acaciaroad::wire
