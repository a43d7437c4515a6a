// Bounds that keep the encoded state of each job small enough for one record of
// the store. A task that is done or was never started takes one byte of it; one
// that was started and is not done takes several.
#ifndef CITRONGAP_WORKLOAD_STATE_ROOM_H
#define CITRONGAP_WORKLOAD_STATE_ROOM_H

#include "citrongap/workload/work_state.h"

#include <cstddef>

namespace citrongap {

/// Largest encoded specification or state of a job, in bytes. Below the store's
/// bound on a record, by more than the longest key.
inline constexpr std::size_t MaxEncodedBytes = 256000;
/// Usual length of a checkpoint.
inline constexpr std::size_t UsualCheckpointBytes = 16;
/// Bytes reserved in a state for each task that was started and is not done,
/// with its server and a checkpoint of the usual length.
inline constexpr std::size_t StartedTaskBytes = 48;
/// Largest state of a job of which no task is started, in bytes.
inline constexpr std::size_t MaxUnstartedBytes = 100000;
/// Tasks of any accepted job that can be started at the same time.
inline constexpr std::size_t MaxTasksTogether =
    (MaxEncodedBytes - MaxUnstartedBytes) / StartedTaskBytes;

/// Upper bound on the state of the job after all but one of its occurrences are
/// done, if no task is started, in bytes.
std::size_t unstartedBytes(const WorkSpec &spec);
/// The same, of one occurrence.
std::size_t unstartedOccurrenceBytes(const WorkSpec &spec);
/// The same, of the occurrences in the record.
std::size_t unstartedBytes(const WorkRecord &record);

/// Findings on a job that could not run to its end within the bounds above.
Findings checkStateRoom(const WorkSpec &spec);
/// Whether each step of the job can run, if need be with few tasks at a time.
/// True of every job without findings.
bool canRunWithinState(const WorkSpec &spec);

/// Tasks of the job that may be started for the first time now.
std::size_t firstStartsWithinState(const WorkRecord &record);

/// Longest checkpoint that each task of the job may have at the same time, at
/// least the usual length.
std::size_t maxCheckpointBytes(const WorkRecord &record);

/// Makes room in the record for another occurrence by removing the steps of
/// occurrences that are done; false if there is still none.
bool makeStateRoom(const WorkSpec &spec, WorkRecord &record);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_STATE_ROOM_H
