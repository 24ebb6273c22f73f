#include "Http/HeadCheck.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ListSpace = " \t";
/// Digits of the longest size of a chunk, in base 16.
constexpr std::size_t ChunkDigits = 15;
/// Digits of the longest length that fits 64 bits.
constexpr std::size_t LengthDigits = 19;

constexpr std::array<std::string_view, 9> HopByHop{
    "Connection", "Keep-Alive",          "Proxy-Connection",
    "TE",         "Transfer-Encoding",   "Trailer",
    "Upgrade",    "Proxy-Authorization", "Proxy-Authenticate"};

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

bool isTokenChar(char c) {
  constexpr std::string_view Special = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || Special.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isControl(char c) {
  return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
}

bool hasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), isControl);
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(ListSpace);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(ListSpace) - first + 1);
}

/// Takes the next line, without its end, off \p rest.
std::string_view takeLine(std::string_view &rest) {
  const std::size_t end = rest.find(LineEnd);
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(std::min(rest.size(), line.size() + LineEnd.size()));
  return line;
}

core::Result<Header> checkHeaderLine(std::string_view line,
                                     const HeadLimits &limits) {
  if (line.size() > limits.LineBytes)
    return core::fail(ErrorKind::HeaderTooLarge, "a header line is too long");
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
    return core::fail(ErrorKind::MalformedRequest, "a header has no name");
  const std::string_view value = trim(line.substr(colon + 1));
  if (hasControl(value))
    return core::fail(ErrorKind::MalformedRequest,
                      "a header holds control characters");
  return Header{std::string(line.substr(0, colon)), std::string(value)};
}

core::Result<std::vector<Header>> checkHeaderLines(std::string_view lines,
                                                   const HeadLimits &limits) {
  std::vector<Header> out;
  for (std::string_view line = takeLine(lines); !line.empty();
       line = takeLine(lines)) {
    if (out.size() == limits.Headers)
      return core::fail(ErrorKind::HeaderTooLarge, "too many headers");
    core::Result<Header> header = checkHeaderLine(line, limits);
    if (!header)
      return tl::unexpected(header.error());
    out.push_back(std::move(*header));
  }
  return out;
}

std::size_t countOf(std::span<const Header> headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [&](const Header &it) { return isSame(it.Name, name); }));
}

/// Whether the list in the Connection headers holds \p option.
bool hasConnectionOption(std::span<const Header> headers,
                         std::string_view option) {
  for (const Header &it : headers) {
    if (!isSame(it.Name, "Connection"))
      continue;
    std::string_view rest = it.Value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      if (isSame(trim(rest.substr(0, comma)), option))
        return true;
      rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                         : comma + 1);
    }
  }
  return false;
}

core::Result<std::uint64_t> checkLength(std::string_view text,
                                        const HeadLimits &limits) {
  std::uint64_t length = 0;
  const char *end = text.data() + text.size();
  if (text.empty() || !std::all_of(text.begin(), text.end(),
                                   [](char c) { return c >= '0' && c <= '9'; }))
    return core::fail(ErrorKind::MalformedRequest,
                      "Content-Length is not a number");
  if (text.size() > LengthDigits ||
      std::from_chars(text.data(), end, length).ec != std::errc{} ||
      length > limits.BodyBytes)
    return core::fail(ErrorKind::BodyTooLarge,
                      "Content-Length is beyond every limit");
  return length;
}

struct BodyFraming {
  Framing Kind = Framing::None;
  std::uint64_t Length = 0;
};

core::Result<BodyFraming> checkFraming(std::span<const Header> headers,
                                       const HeadLimits &limits) {
  const std::size_t lengths = countOf(headers, "Content-Length");
  const std::size_t encodings = countOf(headers, "Transfer-Encoding");
  if (lengths + encodings > 1)
    return core::fail(ErrorKind::MalformedRequest,
                      "the length of the body is stated twice");
  if (encodings == 1) {
    if (!isSame(*findHeader(headers, "Transfer-Encoding"), "chunked"))
      return core::fail(ErrorKind::MalformedRequest,
                        "Transfer-Encoding is not chunked");
    return BodyFraming{Framing::Chunked, 0};
  }
  if (lengths == 0)
    return BodyFraming{};
  const auto length =
      checkLength(*findHeader(headers, "Content-Length"), limits);
  if (!length)
    return tl::unexpected(length.error());
  return BodyFraming{Framing::Sized, *length};
}

/// Returns the origin form of \p target, or nothing if it has none.
std::optional<std::string_view> originForm(std::string_view target) {
  constexpr std::string_view Scheme = "http://";
  if (target == "*" || target.starts_with('/'))
    return target;
  if (!isSame(target.substr(0, Scheme.size()), Scheme))
    return std::nullopt;
  target.remove_prefix(Scheme.size());
  const std::size_t slash = target.find('/');
  return slash == std::string_view::npos ? "/" : target.substr(slash);
}

core::Result<RequestHead> checkRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  const auto malformed = [] {
    return core::fail(ErrorKind::MalformedRequest, "the request line");
  };
  if (first == std::string_view::npos || first == last)
    return malformed();
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  const auto origin = originForm(target);
  if (!isToken(method) || method == "CONNECT" || !origin ||
      hasControl(target) || target.find_first_of(" \t") != target.npos)
    return malformed();
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return malformed();
  RequestHead out;
  out.Method = method;
  out.Target = *origin;
  out.IsVersion11 = version == "HTTP/1.1";
  return out;
}

bool isKeptAlive(std::span<const Header> headers, bool isVersion11) {
  if (isVersion11)
    return !hasConnectionOption(headers, "close");
  return hasConnectionOption(headers, "keep-alive");
}

/// Whether an answer with \p status to \p method has no body, whatever its
/// headers say.
bool isBodiless(int status, std::string_view method) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return method == "HEAD" || status == NoContent || status == NotModified ||
         status < 200;
}

core::Result<ResponseHead> checkStatusLine(std::string_view line) {
  constexpr std::string_view Prefix = "HTTP/1.";
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t StatusDigits = 3;
  ResponseHead out;
  const std::string_view digits = line.size() < StatusAt + StatusDigits
                                      ? std::string_view()
                                      : line.substr(StatusAt, StatusDigits);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), out.Status);
  if (!line.starts_with(Prefix) || digits.empty() ||
      parsed.ptr != digits.data() + digits.size() || out.Status < 100)
    return core::fail(ErrorKind::AnswerIncomplete, "the status line");
  out.KeepAlive = line[Prefix.size()] == '1';
  return out;
}

} // namespace

std::optional<std::size_t> headLength(std::string_view bytes) {
  const std::size_t end = bytes.find(HeadEnd);
  if (end == std::string_view::npos)
    return std::nullopt;
  return end + HeadEnd.size();
}

bool isHeadTooLong(std::string_view bytes, const HeadLimits &limits) {
  const std::size_t lastLine = bytes.rfind(LineEnd);
  const std::size_t open = lastLine == std::string_view::npos
                               ? bytes.size()
                               : bytes.size() - lastLine - LineEnd.size();
  return bytes.size() > limits.HeadBytes || open > limits.LineBytes + 1;
}

core::Result<RequestHead> checkRequestHead(std::string_view head,
                                           const HeadLimits &limits) {
  if (head.size() > limits.HeadBytes)
    return core::fail(ErrorKind::HeaderTooLarge, "the head is too long");
  const std::string_view line = takeLine(head);
  if (line.size() > limits.LineBytes)
    return core::fail(ErrorKind::HeaderTooLarge, "the request line");
  core::Result<RequestHead> out = checkRequestLine(line);
  if (!out)
    return out;
  auto headers = checkHeaderLines(head, limits);
  if (!headers)
    return tl::unexpected(headers.error());
  const auto framing = checkFraming(*headers, limits);
  if (!framing)
    return tl::unexpected(framing.error());
  const std::size_t hosts = countOf(*headers, "Host");
  if (hosts > 1 || (hosts == 0 && out->IsVersion11))
    return core::fail(ErrorKind::MalformedRequest, "one Host is needed");
  if (framing->Kind == Framing::Chunked && !out->IsVersion11)
    return core::fail(ErrorKind::MalformedRequest, "chunked needs HTTP/1.1");
  out->Body = framing->Kind;
  out->BodyLength = framing->Length;
  out->KeepAlive = isKeptAlive(*headers, out->IsVersion11);
  const auto expect = findHeader(*headers, "Expect");
  out->ExpectsContinue =
      expect && out->IsVersion11 && isSame(*expect, "100-continue");
  stripHopByHop(*headers);
  std::erase_if(*headers, [](const Header &it) {
    return isSame(it.Name, "Expect") || isSame(it.Name, "Content-Length");
  });
  out->Headers = std::move(*headers);
  return out;
}

core::Result<ResponseHead> checkResponseHead(std::string_view head,
                                             std::string_view method,
                                             const HeadLimits &limits) {
  core::Result<ResponseHead> out = checkStatusLine(takeLine(head));
  if (!out)
    return out;
  auto headers = checkHeaderLines(head, limits);
  if (!headers)
    return core::fail(ErrorKind::AnswerIncomplete, headers.error().Detail);
  const bool bodiless = isBodiless(out->Status, method);
  const auto framing = checkFraming(*headers, limits);
  if (!framing && !bodiless)
    return core::fail(ErrorKind::AnswerIncomplete, framing.error().Detail);
  out->KeepAlive = isKeptAlive(*headers, out->KeepAlive);
  if (bodiless)
    out->Body = Framing::None;
  else if (framing->Kind != Framing::None)
    out->Body = framing->Kind;
  out->BodyLength = framing ? framing->Length : 0;
  stripHopByHop(*headers);
  if (!bodiless)
    std::erase_if(*headers, [](const Header &it) {
      return isSame(it.Name, "Content-Length");
    });
  out->Headers = std::move(*headers);
  return out;
}

bool isSame(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> findHeader(std::span<const Header> headers,
                                           std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const Header &header) {
        return isSame(header.Name, name);
      });
  if (it == headers.end())
    return std::nullopt;
  return it->Value;
}

void stripHopByHop(std::vector<Header> &headers) {
  const std::vector<Header> all = headers;
  std::erase_if(headers, [&](const Header &it) {
    return std::any_of(
               HopByHop.begin(), HopByHop.end(),
               [&](std::string_view name) { return isSame(it.Name, name); }) ||
           (!isSame(it.Name, "Content-Length") &&
            hasConnectionOption(all, it.Name));
  });
}

core::Result<std::uint64_t> checkChunkLine(std::string_view line) {
  const std::string_view digits = trim(line.substr(0, line.find(';')));
  std::uint64_t size = 0;
  const char *end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, size, 16);
  if (digits.empty() || digits.size() > ChunkDigits || parsed.ptr != end ||
      hasControl(line))
    return core::fail(ErrorKind::MalformedRequest, "the size of a chunk");
  return size;
}

} // namespace acaciaroad::http
