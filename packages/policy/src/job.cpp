// Text form of service classes.
#include "citrongap/policy/job.h"

namespace citrongap {

std::string_view toString(ServiceClass it) {
  switch (it) {
  case ServiceClass::Urgent:
    return "urgent";
  case ServiceClass::Standard:
    return "standard";
  case ServiceClass::Background:
    return "background";
  }
  return "unknown";
}

std::optional<ServiceClass> serviceClassFrom(std::string_view text) {
  for (const auto it :
       {ServiceClass::Urgent, ServiceClass::Standard, ServiceClass::Background})
    if (toString(it) == text)
      return it;
  return std::nullopt;
}

} // namespace citrongap
