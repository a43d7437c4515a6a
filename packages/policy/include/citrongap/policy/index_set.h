// Ordered sets of small whole numbers: the indexes behind the cells of a pod.
// Insertion, removal and ordered search touch a handful of machine words, so
// that a decision does not grow with the number of servers.
#ifndef CITRONGAP_POLICY_INDEX_SET_H
#define CITRONGAP_POLICY_INDEX_SET_H

#include <cstdint>
#include <optional>
#include <vector>

namespace citrongap {

/// A set of numbers as a bitmap of two levels.
class IndexSet {
public:
  void insert(std::uint32_t it);
  void erase(std::uint32_t it);
  bool contains(std::uint32_t it) const;
  bool empty() const { return Size == 0; }
  std::uint32_t size() const { return Size; }
  /// The lowest member that is not below `low`.
  std::optional<std::uint32_t> firstFrom(std::uint32_t low) const;

private:
  std::vector<std::uint64_t> Words;
  /// Invariant: a bit is set for each word that is not zero.
  std::vector<std::uint64_t> Summary;
  std::uint32_t Size = 0;
};

/// Items with a rank each, searched by the lowest sufficient rank.
class RankedSet {
public:
  /// Adds the item or moves it to another rank.
  void set(std::uint32_t item, std::uint32_t rank);
  void erase(std::uint32_t item);
  /// The lowest item of the lowest rank that is at least `rank`.
  std::optional<std::uint32_t> firstAtLeast(std::uint32_t rank) const;
  /// Rank of a known item.
  std::uint32_t rankOf(std::uint32_t item) const { return RankOf[item]; }
  /// 0 when the set is empty.
  std::uint32_t highestRank() const;

private:
  static constexpr std::uint32_t Absent = ~std::uint32_t{0};

  std::vector<IndexSet> ByRank;
  /// Invariant: exactly the ranks that have an item.
  IndexSet Ranks;
  std::vector<std::uint32_t> RankOf;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_INDEX_SET_H
