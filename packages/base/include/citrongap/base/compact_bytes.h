// Compact binary encoding: unsigned integers as LEB128 varints (7 bits a byte)
// and strings prefixed with their length. A read past the end, or of a
// malformed varint, puts the reader in a failed state.
#ifndef CITRONGAP_BASE_COMPACT_BYTES_H
#define CITRONGAP_BASE_COMPACT_BYTES_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace citrongap {

class ByteWriter {
public:
  void writeVarint(std::uint64_t n) {
    while (n >= 0x80) {
      Bytes.push_back(static_cast<char>((n & 0x7F) | 0x80));
      n >>= 7;
    }
    Bytes.push_back(static_cast<char>(n));
  }
  void writeString(const std::string &it) {
    writeVarint(it.size());
    Bytes += it;
  }
  const std::string &bytes() const { return Bytes; }

private:
  std::string Bytes;
};

class ByteReader {
public:
  explicit ByteReader(const std::string &bytes) : Bytes(bytes) {}

  /// Returns 0 on failure.
  std::uint64_t readVarint() {
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
  std::string readString() {
    const std::uint64_t n = readVarint();
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

#endif // CITRONGAP_BASE_COMPACT_BYTES_H
