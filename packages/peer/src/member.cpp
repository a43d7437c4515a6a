// Names of member states.
#include "citrongap/peer/member.h"

namespace citrongap {

const char *toString(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Leaving:
    return "leaving";
  }
  return "unknown";
}

} // namespace citrongap
