// cereal input archive over untrusted bytes. It reads what cereal's portable
// binary output archive writes in little endian, and allocates no more than a
// small multiple of the input, whatever sizes the input claims.
#ifndef CITRONGAP_BASE_BOUNDED_INPUT_ARCHIVE_H
#define CITRONGAP_BASE_BOUNDED_INPUT_ARCHIVE_H

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace citrongap {

static_assert(std::endian::native == std::endian::little,
              "messages are little endian");

/// Throws cereal::Exception on malformed input, as cereal's archives do.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), Bytes(bytes) {
    std::uint8_t littleEndian = 0;
    read(&littleEndian, sizeof littleEndian);
    if (littleEndian != 1)
      throw cereal::Exception("not little endian");
  }

  void read(void *data, std::size_t size) {
    checkSize(size);
    if (size > 0)
      std::memcpy(data, Bytes.data(), size);
    Bytes.remove_prefix(size);
  }

  /// Bytes not read yet.
  std::size_t remaining() const { return Bytes.size(); }

  /// Every element takes at least a byte, so no count exceeds the rest.
  void checkSize(std::uint64_t size) const {
    if (size > Bytes.size())
      throw cereal::Exception("size beyond the end of the input");
  }

private:
  std::string_view Bytes;
};

// The functions below are cereal's customization points for an archive.

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &ar, T &value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t buf = 0;
    ar.read(&buf, sizeof buf);
    if (buf > 1)
      throw cereal::Exception("not a bool");
    value = buf == 1;
  } else {
    ar.read(&value, sizeof value);
  }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &ar,
                                    cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &ar,
                                    cereal::SizeTag<T> &tag) {
  ar(tag.size);
  ar.checkSize(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &ar,
                               cereal::BinaryData<T> &data) {
  ar.read(data.data, static_cast<std::size_t>(data.size));
}

/// Grows with the elements that are really there: cereal's own loader would
/// allocate all of the claimed size first.
template <typename T, typename A>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &ar,
                               std::vector<T, A> &elements) {
  cereal::size_type size = 0;
  ar(cereal::make_size_tag(size));
  elements.clear();
  for (cereal::size_type i = 0; i < size; ++i) {
    T element{};
    ar(element);
    elements.push_back(std::move(element));
  }
}

} // namespace citrongap

// cereal pairs the archives by this trait; its macro would also redefine the
// pair of the output archive.
template <>
struct cereal::traits::detail::get_output_from_input<
    citrongap::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif // CITRONGAP_BASE_BOUNDED_INPUT_ARCHIVE_H
