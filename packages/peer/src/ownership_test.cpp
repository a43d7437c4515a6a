// Ownership of pods: who counts, and what moves.
#include "citrongap/peer/ownership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace citrongap;

namespace {

constexpr std::size_t PodCount = 400;
constexpr std::size_t MemberCount = 8;
const DataCentreId Here("lahore-1");

std::vector<Member> group() {
  std::vector<Member> out;
  for (std::size_t n = 0; n < MemberCount; ++n) {
    Member it;
    it.Id = EntryVmId("vm-" + std::to_string(n));
    it.DataCentre = Here;
    out.push_back(it);
  }
  return out;
}

std::map<PodId, EntryVmId> owners(const std::vector<Member> &members) {
  std::map<PodId, EntryVmId> out;
  for (std::size_t n = 0; n < PodCount; ++n) {
    const PodId pod("pod-" + std::to_string(n));
    out[pod] = ownerOf(pod, members, Here).value();
  }
  return out;
}

/// Pods that moved; each must have belonged to `from`.
std::size_t moved(const std::map<PodId, EntryVmId> &before,
                  const std::map<PodId, EntryVmId> &after,
                  const EntryVmId &from) {
  std::size_t n = 0;
  for (const auto &[pod, owner] : before)
    if (after.at(pod) != owner) {
      BOOST_TEST(owner.str() == from.str());
      ++n;
    }
  return n;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership)

BOOST_AUTO_TEST_CASE(dead_or_leaving_member_gives_up_exactly_its_pods) {
  for (const auto state : {MemberState::Dead, MemberState::Leaving}) {
    auto members = group();
    const auto before = owners(members);
    const EntryVmId gone = members[2].Id;
    const auto held =
        std::count_if(before.begin(), before.end(),
                      [&](const auto &it) { return it.second == gone; });
    members[2].State = state;
    const auto after = owners(members);
    BOOST_TEST(moved(before, after, gone) == static_cast<std::size_t>(held));
    BOOST_TEST(held > 0);
  }
}

BOOST_AUTO_TEST_CASE(suspect_keeps_its_pods) {
  auto members = group();
  const auto before = owners(members);
  members[2].State = MemberState::Suspect;
  BOOST_TEST((owners(members) == before));
}

BOOST_AUTO_TEST_CASE(order_of_members_does_not_matter) {
  auto members = group();
  const auto before = owners(members);
  std::shuffle(members.begin(), members.end(), std::mt19937_64(5));
  BOOST_TEST((owners(members) == before));
}

BOOST_AUTO_TEST_CASE(pods_are_spread_over_the_members) {
  std::map<EntryVmId, std::size_t> held;
  for (const auto &[pod, owner] : owners(group()))
    ++held[owner];
  BOOST_TEST(held.size() == MemberCount);
  for (const auto &[owner, n] : held)
    BOOST_TEST(n <= 2 * PodCount / MemberCount);
}

BOOST_AUTO_TEST_CASE(members_elsewhere_never_own) {
  auto members = group();
  for (Member &it : members)
    it.DataCentre = DataCentreId("quetta-1");
  BOOST_TEST(!ownerOf(PodId("pod-1"), members, Here).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
