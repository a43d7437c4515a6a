// Log texts of store errors.
#include "citrongap/store/store_port.h"

#include "citrongap/base/outcome.h"

#include <fmt/format.h>

namespace citrongap {

std::string describe(const StoreError &error) {
  return std::visit(
      Overloaded{
          [](const StoreBusy &it) { return fmt::format("busy {}", it.Status); },
          [](const StoreOutcomeUnknown &it) {
            return "no answer: " + it.Reason;
          },
          [](const StoreFenced &) { return std::string("fenced"); },
          [](const StoreOutOfSequence &it) {
            return fmt::format("expected sequence number {}", it.Expected);
          },
          [](const StoreTruncated &it) {
            return fmt::format("truncated before offset {}", it.First.value());
          },
          [](const StoreRefused &it) {
            return fmt::format("refused {} {}", it.Status, it.Detail);
          }},
      error);
}

} // namespace citrongap
