/// \file
/// The error and result types that every module returns.

#ifndef ACACIAROAD_CORE_ERROR_H
#define ACACIAROAD_CORE_ERROR_H

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "Core/ErrorKind.h"

namespace acaciaroad::core {

/// An error: its kind, and a detail for logs and problem documents. The detail
/// never holds a caller's key.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

/// A value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// Returns the failure branch of a Result.
inline tl::unexpected<Error> fail(ErrorKind kind, std::string detail = {}) {
  return tl::unexpected<Error>(Error{kind, std::move(detail)});
}

} // namespace acaciaroad::core

#endif
