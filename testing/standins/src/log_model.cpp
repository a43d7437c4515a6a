// Offsets, retention and reads of the log service.
#include "citrongap/standins/log_model.h"

#include <algorithm>

namespace citrongap::standins {

LogOffset LogModel::append(const std::string &stream,
                           std::vector<std::string> bodies, MonoTime now) {
  Stream &it = Streams[stream];
  const LogOffset first(it.Bodies.size());
  for (auto &body : bodies) {
    it.Bodies.push_back(std::move(body));
    it.AppendedAt.push_back(now);
  }
  dropOld(it, now);
  return first;
}

LogPage LogModel::read(const std::string &stream, LogOffset from,
                       ReadLimits limits, MonoTime now) {
  LogPage page;
  const auto found = Streams.find(stream);
  if (found == Streams.end())
    return page;
  Stream &it = found->second;
  dropOld(it, now);
  page.FirstRetained = LogOffset(it.FirstRetained);
  page.End = LogOffset(it.Bodies.size());
  std::size_t bytes = 0;
  for (std::size_t i = std::max<std::size_t>(from.value(), it.FirstRetained);
       i < it.Bodies.size() && page.Records.size() < limits.MaxRecords; ++i) {
    bytes += it.Bodies[i].size();
    if (bytes > limits.MaxBytes && !page.Records.empty())
      break;
    page.Records.push_back({LogOffset(i), it.Bodies[i]});
  }
  return page;
}

LogPage LogModel::dump(const std::string &stream) const {
  LogPage page;
  const auto found = Streams.find(stream);
  if (found == Streams.end())
    return page;
  const Stream &it = found->second;
  page.FirstRetained = LogOffset(it.FirstRetained);
  page.End = LogOffset(it.Bodies.size());
  for (std::size_t i = 0; i < it.Bodies.size(); ++i)
    page.Records.push_back({LogOffset(i), it.Bodies[i]});
  return page;
}

void LogModel::dropOld(Stream &stream, MonoTime now) const {
  const std::size_t size = stream.Bodies.size();
  if (size > Retention.MaxRecords)
    stream.FirstRetained =
        std::max(stream.FirstRetained, size - Retention.MaxRecords);
  while (stream.FirstRetained < size &&
         stream.AppendedAt[stream.FirstRetained] + Retention.Age <= now)
    ++stream.FirstRetained;
}

bool isStreamName(const std::string &text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

} // namespace citrongap::standins
