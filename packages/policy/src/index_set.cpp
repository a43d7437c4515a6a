// Two-level bitmaps and the ranked sets built on them.
#include "citrongap/policy/index_set.h"

#include <bit>
#include <cstddef>

namespace citrongap {

namespace {

constexpr std::uint32_t WordBits = 64;

std::uint64_t bitOf(std::uint32_t it) {
  return std::uint64_t{1} << (it % WordBits);
}

/// Returns the index of the lowest set bit of `words` at or after `low`.
std::optional<std::uint32_t> nextBit(const std::vector<std::uint64_t> &words,
                                     std::uint32_t low) {
  std::size_t at = low / WordBits;
  if (at >= words.size())
    return std::nullopt;
  std::uint64_t word = words[at] & (~std::uint64_t{0} << (low % WordBits));
  while (word == 0) {
    if (++at >= words.size())
      return std::nullopt;
    word = words[at];
  }
  return static_cast<std::uint32_t>(at) * WordBits +
         static_cast<std::uint32_t>(std::countr_zero(word));
}

} // namespace

void IndexSet::insert(std::uint32_t it) {
  const std::uint32_t word = it / WordBits;
  if (word >= Words.size())
    Words.resize(word + 1);
  if (word / WordBits >= Summary.size())
    Summary.resize(word / WordBits + 1);
  if ((Words[word] & bitOf(it)) != 0)
    return;
  Words[word] |= bitOf(it);
  Summary[word / WordBits] |= bitOf(word);
  ++Size;
}

void IndexSet::erase(std::uint32_t it) {
  if (!contains(it))
    return;
  const std::uint32_t word = it / WordBits;
  Words[word] &= ~bitOf(it);
  if (Words[word] == 0)
    Summary[word / WordBits] &= ~bitOf(word);
  --Size;
}

bool IndexSet::contains(std::uint32_t it) const {
  const std::uint32_t word = it / WordBits;
  return word < Words.size() && (Words[word] & bitOf(it)) != 0;
}

std::optional<std::uint32_t> IndexSet::firstAtOrAfter(std::uint32_t low) const {
  const std::uint32_t word = low / WordBits;
  if (word >= Words.size())
    return std::nullopt;
  const std::uint64_t rest =
      Words[word] & (~std::uint64_t{0} << (low % WordBits));
  if (rest != 0)
    return word * WordBits + static_cast<std::uint32_t>(std::countr_zero(rest));
  const auto next = nextBit(Summary, word + 1);
  if (!next)
    return std::nullopt;
  return *next * WordBits +
         static_cast<std::uint32_t>(std::countr_zero(Words[*next]));
}

void RankedSet::set(std::uint32_t item, std::uint32_t rank) {
  if (item >= RankOf.size())
    RankOf.resize(item + 1, Absent);
  if (RankOf[item] == rank)
    return;
  erase(item);
  if (rank >= ByRank.size())
    ByRank.resize(rank + 1);
  ByRank[rank].insert(item);
  Ranks.insert(rank);
  RankOf[item] = rank;
}

void RankedSet::erase(std::uint32_t item) {
  if (item >= RankOf.size() || RankOf[item] == Absent)
    return;
  IndexSet &peers = ByRank[RankOf[item]];
  peers.erase(item);
  if (peers.empty())
    Ranks.erase(RankOf[item]);
  RankOf[item] = Absent;
}

std::optional<std::uint32_t> RankedSet::firstAtLeast(std::uint32_t rank) const {
  const auto found = Ranks.firstAtOrAfter(rank);
  if (!found)
    return std::nullopt;
  return ByRank[*found].firstAtOrAfter(0);
}

std::uint32_t RankedSet::highestRank() const {
  for (auto rank = static_cast<std::uint32_t>(ByRank.size()); rank-- > 0;)
    if (!ByRank[rank].empty())
      return rank;
  return 0;
}

} // namespace citrongap
