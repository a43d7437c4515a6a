// Resource vector: the amounts a task requests and a backend server provides.
#ifndef CITRONGAP_WORKLOAD_RESOURCES_H
#define CITRONGAP_WORKLOAD_RESOURCES_H

#include <cstdint>

namespace citrongap {

struct Resources {
  /// Thousandths of a CPU core.
  std::int64_t CpuMillis = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t GpuCount = 0;

  bool fitsIn(const Resources &room) const {
    return CpuMillis <= room.CpuMillis && MemoryMb <= room.MemoryMb &&
           GpuCount <= room.GpuCount;
  }
  Resources &operator+=(const Resources &other) {
    CpuMillis += other.CpuMillis;
    MemoryMb += other.MemoryMb;
    GpuCount += other.GpuCount;
    return *this;
  }
  Resources &operator-=(const Resources &other) {
    CpuMillis -= other.CpuMillis;
    MemoryMb -= other.MemoryMb;
    GpuCount -= other.GpuCount;
    return *this;
  }
  bool operator==(const Resources &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(CpuMillis, MemoryMb, GpuCount);
  }
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_RESOURCES_H
