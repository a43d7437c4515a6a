// Numbers of seven bits a byte and texts with their length, for records whose
// size matters. Reading past the end or a malformed number makes a reader bad.
#ifndef CITRONGAP_WORKLOAD_COMPACT_BYTES_H
#define CITRONGAP_WORKLOAD_COMPACT_BYTES_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace citrongap {

class ByteWriter {
public:
  void number(std::uint64_t n) {
    while (n >= 0x80) {
      Bytes.push_back(static_cast<char>((n & 0x7F) | 0x80));
      n >>= 7;
    }
    Bytes.push_back(static_cast<char>(n));
  }
  void text(const std::string &it) {
    number(it.size());
    Bytes += it;
  }
  const std::string &bytes() const { return Bytes; }

private:
  std::string Bytes;
};

class ByteReader {
public:
  explicit ByteReader(const std::string &bytes) : Bytes(bytes) {}

  /// 0 once the reader is bad.
  std::uint64_t number() {
    std::uint64_t n = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (At >= Bytes.size())
        break;
      const auto it = static_cast<unsigned char>(Bytes[At++]);
      n |= static_cast<std::uint64_t>(it & 0x7F) << shift;
      if (it < 0x80)
        return n;
    }
    Good = false;
    return 0;
  }
  std::string text() {
    const std::uint64_t n = number();
    if (!Good || n > Bytes.size() - At) {
      Good = false;
      return {};
    }
    std::string out = Bytes.substr(At, n);
    At += n;
    return out;
  }
  bool good() const { return Good; }
  bool atEnd() const { return At == Bytes.size(); }

private:
  const std::string &Bytes;
  std::size_t At = 0;
  bool Good = true;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_COMPACT_BYTES_H
