// Ordered sets of small integers, used to index the cells of a pod. Insertion,
// removal and ordered search touch a few machine words, so that the cost of a
// decision does not grow with the number of servers.
#ifndef CITRONGAP_POLICY_INDEX_SET_H
#define CITRONGAP_POLICY_INDEX_SET_H

#include <cstdint>
#include <optional>
#include <vector>

namespace citrongap {

/// A set of small integers, stored as a two-level bitmap.
class IndexSet {
public:
  void insert(std::uint32_t it);
  void erase(std::uint32_t it);
  bool contains(std::uint32_t it) const;
  bool empty() const { return Size == 0; }
  std::uint32_t size() const { return Size; }
  /// Returns the smallest member that is at least `low`.
  std::optional<std::uint32_t> firstAtOrAfter(std::uint32_t low) const;

private:
  std::vector<std::uint64_t> Words;
  /// Invariant: bit i is set if and only if Words[i] is not zero.
  std::vector<std::uint64_t> Summary;
  std::uint32_t Size = 0;
};

/// Items with one rank each, searched by the lowest sufficient rank.
class RankedSet {
public:
  /// Inserts the item or changes its rank.
  void set(std::uint32_t item, std::uint32_t rank);
  void erase(std::uint32_t item);
  /// Returns the lowest item of the lowest rank that is at least `rank`.
  std::optional<std::uint32_t> firstAtLeast(std::uint32_t rank) const;
  /// Returns the rank of an item that is in the set.
  std::uint32_t rankOf(std::uint32_t item) const { return RankOf[item]; }
  /// Returns the highest rank of an item, or 0 if the set is empty.
  std::uint32_t highestRank() const;

private:
  static constexpr std::uint32_t Absent = ~std::uint32_t{0};

  std::vector<IndexSet> ByRank;
  /// Invariant: contains exactly the ranks that have an item.
  IndexSet Ranks;
  std::vector<std::uint32_t> RankOf;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_INDEX_SET_H
