// Tests of CellPool: choice of the smallest enclosing cell, preservation of
// large cells, and exact release.
#include "citrongap/policy/cells.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace citrongap;

namespace {

/// An idle pod. Must not be moved, because the pool refers to the layout.
struct CleanPod {
  CleanPod(std::uint32_t racks, std::uint32_t perRack, std::uint32_t slots) {
    for (std::uint32_t i = 0; i < racks; ++i) {
      const RackIndex rack = Layout.addRack();
      for (std::uint32_t n = 0; n < perRack; ++n)
        Pool.setAvailable(Layout.addServer(rack, n, {slots}),
                          allSlots({slots}));
    }
  }
  PodLayout Layout;
  CellPool Pool{Layout};

  GangCells allocate(std::uint32_t gang) {
    const auto cells = Pool.find({gang});
    BOOST_REQUIRE(cells.has_value());
    Pool.allocate(*cells);
    return *cells;
  }
  std::set<std::uint32_t> racksOf(const GangCells &cells) const {
    std::set<std::uint32_t> racks;
    for (const ServerCells &it : cells)
      racks.insert(Layout.rackOf(it.Server).Value);
    return racks;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(small_gang_splits_the_smallest_block) {
  CleanPod pod(1, 2, 8);
  BOOST_TEST(pod.allocate(2)[0].Slots == 0b11U);
  BOOST_TEST(pod.allocate(1)[0].Slots == 0b100U);
  BOOST_TEST(pod.allocate(4)[0].Slots == 0b11110000U);
  BOOST_TEST(pod.allocate(8)[0].Server.Value == 1U);
  BOOST_TEST(pod.allocate(1)[0].Slots == 0b1000U);
  BOOST_TEST(!pod.Pool.find({1}).has_value());
}

BOOST_AUTO_TEST_CASE(gang_of_16_takes_adjacent_servers_of_the_fullest_rack) {
  CleanPod pod(3, 6, 8);
  pod.Pool.setAvailable({6}, 0);
  pod.Pool.setAvailable({8}, 0);
  const GangCells cells = pod.allocate(16);
  BOOST_REQUIRE(cells.size() == 2U);
  BOOST_TEST(cells[0].Server.Value == 9U);
  BOOST_TEST(cells[1].Server.Value == 10U);
}

BOOST_AUTO_TEST_CASE(gang_of_128_takes_adjacent_racks_or_waits) {
  CleanPod pod(5, 6, 8);
  for (const std::uint32_t it : {6U, 7U, 8U, 9U, 10U, 11U})
    pod.Pool.setAvailable({it}, 0);
  BOOST_CHECK(
      (pod.racksOf(pod.allocate(128)) == std::set<std::uint32_t>{2, 3, 4}));
  BOOST_TEST(!pod.Pool.find({64}).has_value());
  BOOST_TEST(pod.Pool.largestGang({128}).Count == 48U);
}

BOOST_AUTO_TEST_CASE(gang_no_larger_than_a_server_never_spans_two) {
  CleanPod pod(1, 2, 8);
  pod.Pool.setAvailable({0}, 0b1111);
  pod.Pool.setAvailable({1}, 0b0111);
  BOOST_TEST(!pod.Pool.find({5}).has_value());
  BOOST_TEST(pod.Pool.find({4}).has_value());
}

BOOST_AUTO_TEST_CASE(cells_are_whole_distinct_and_restored_exactly) {
  const bool passed = rc::check([] {
    CleanPod pod(*rc::gen::inRange(1U, 6U), *rc::gen::element(2U, 6U, 8U),
                 *rc::gen::element(2U, 6U, 8U, 16U));
    std::vector<SlotMask> clean;
    for (std::uint32_t i = 0; i < pod.Layout.serverCount(); ++i)
      clean.push_back(pod.Pool.availableOn({i}));
    const std::uint32_t total = pod.Pool.available().Count;
    std::vector<GangCells> allocated;
    const auto sizes = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange(1U, 129U));
    for (const std::uint32_t gang : sizes) {
      const auto cells = pod.Pool.find({gang});
      if (cells) {
        RC_ASSERT(slotCount(*cells) == gang);
        for (const ServerCells &it : *cells)
          RC_ASSERT((pod.Pool.availableOn(it.Server) & it.Slots) == it.Slots);
        const std::uint32_t before = pod.Pool.available().Count;
        pod.Pool.allocate(*cells);
        RC_ASSERT(pod.Pool.available().Count == before - gang);
        allocated.push_back(*cells);
      } else if (!allocated.empty()) {
        std::swap(allocated[gang % allocated.size()], allocated.back());
        pod.Pool.release(allocated.back());
        allocated.pop_back();
      }
    }
    for (const GangCells &it : allocated)
      pod.Pool.release(it);
    RC_ASSERT(pod.Pool.available().Count == total);
    for (std::uint32_t i = 0; i < clean.size(); ++i)
      RC_ASSERT(pod.Pool.availableOn({i}) == clean[i]);
  });
  BOOST_TEST(passed);
}
