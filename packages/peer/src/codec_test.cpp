// Encoding of messages: round trips, and malformed bytes.
#include "citrongap/peer/codec.h"

#include "citrongap/base/random.h"
#include "citrongap/peer/member.h"

#include <boost/test/unit_test.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>
#include <limits>
#include <map>
#include <variant>

using namespace citrongap;

namespace {

/// One field of each kind that messages use.
struct Sample {
  std::vector<Member> Members;
  std::vector<std::uint64_t> Numbers;
  std::map<std::string, std::string> Names;
  std::optional<PodId> Pod;
  std::variant<Revision, std::string> Either;
  bool Flag = false;

  template <typename Archive> void serialize(Archive &ar) {
    ar(Members, Numbers, Names, Pod, Either, Flag);
  }
};

Sample sample() {
  Sample out;
  for (int i = 0; i < 3; ++i) {
    Member it;
    it.Id = EntryVmId("vm" + std::to_string(i));
    it.DataCentre = DataCentreId("lahore-1");
    it.Address = {"127.0.0.1", 7000};
    it.State = MemberState::Leaving;
    it.Incarnation = 99;
    it.InForce = Revision(12);
    out.Members.push_back(it);
  }
  out.Numbers = {1, 2, 3};
  out.Names = {{"a", "b"}};
  out.Pod = PodId("pod-1");
  out.Either = std::string("text");
  out.Flag = true;
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(message_survives_a_round_trip) {
  const std::string bytes = encode(sample());
  const auto back = decode<Sample>(bytes);
  BOOST_REQUIRE(back);
  BOOST_TEST(encode(*back) == bytes);
  BOOST_TEST(back->Members.at(2).Id.str() == "vm2");
  BOOST_TEST(back->Members.at(2).InForce.value() == 12U);
}

BOOST_AUTO_TEST_CASE(every_truncation_is_refused) {
  const std::string bytes = encode(sample());
  for (std::size_t n = 0; n < bytes.size(); ++n)
    BOOST_TEST(!decode<Sample>(std::string_view(bytes).substr(0, n)));
}

BOOST_AUTO_TEST_CASE(trailing_bytes_are_refused) {
  BOOST_TEST(!decode<Sample>(encode(sample()) + '\0'));
}

BOOST_AUTO_TEST_CASE(claimed_sizes_beyond_the_input_are_refused) {
  for (const std::uint64_t size :
       {std::uint64_t(1) << 20U, std::uint64_t(1) << 40U,
        std::numeric_limits<std::uint64_t>::max()}) {
    const std::string claim = encode(size);
    BOOST_TEST(!decode<std::string>(claim));
    BOOST_TEST(!decode<std::vector<std::uint64_t>>(claim));
    BOOST_TEST(!decode<std::vector<Member>>(claim));
    BOOST_TEST(!decode<Sample>(claim));
  }
}

BOOST_AUTO_TEST_CASE(random_bytes_are_decoded_or_refused) {
  constexpr int Rounds = 20000;
  Random random(20261204);
  const std::string good = encode(sample());
  for (int i = 0; i < Rounds; ++i) {
    std::string bytes = good;
    const auto changes = random.between(1, 8);
    for (std::uint64_t j = 0; j < changes; ++j)
      bytes[random.between(1, bytes.size() - 1)] =
          static_cast<char>(random.between(0, 255));
    // A change inside a text stays readable; then it encodes to the same.
    if (const auto back = decode<Sample>(bytes))
      BOOST_TEST(encode(*back).size() <= bytes.size());
    std::string noise(random.between(0, 200), '\0');
    for (char &it : noise)
      it = static_cast<char>(random.between(0, 255));
    noise.insert(noise.begin(), '\1');
    if (const auto back = decode<Sample>(noise))
      BOOST_TEST(encode(*back).size() <= noise.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()
