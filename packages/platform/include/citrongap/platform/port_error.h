// Why a call to an outside system gave no result.
#ifndef CITRONGAP_PLATFORM_PORT_ERROR_H
#define CITRONGAP_PLATFORM_PORT_ERROR_H

#include "citrongap/base/ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace citrongap {

/// No answer, or none that can be trusted: the call may have taken effect.
struct NoAnswer {
  std::string Reason;
};

/// The other side refused; the call took no effect.
struct Rejected {
  int Status = 0;
  std::string Reason;
  /// Set by a backend server whose lease another token holds.
  FencingToken CurrentToken;
  std::int64_t RemainingMs = 0;
};

template <typename T> using PortResult = std::variant<T, Rejected, NoAnswer>;
template <typename T> using PortCallback = std::function<void(PortResult<T>)>;

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_PORT_ERROR_H
