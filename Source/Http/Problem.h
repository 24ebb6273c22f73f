/// \file
/// Problem documents (RFC 9457).

#ifndef ACACIAROAD_HTTP_PROBLEM_H
#define ACACIAROAD_HTTP_PROBLEM_H

#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::http {

inline constexpr std::string_view ProblemContentType =
    "application/problem+json";

/// Returns the JSON text for \p error. `kind` and `ran` are members of its
/// own: the stable name of the kind, and whether the order has run.
std::string problemDocument(const core::Error &error,
                            std::string_view requestId);

} // namespace acaciaroad::http

#endif
