// Ends of runs of jobs that the owner has left out, since it can't read their
// state. They are kept in the store for a later owner that can.
#ifndef CITRONGAP_CONTROL_STORED_RUN_ENDS_H
#define CITRONGAP_CONTROL_STORED_RUN_ENDS_H

#include "citrongap/control/fleet_port.h"
#include "citrongap/store/store_port.h"

#include <optional>
#include <string>

namespace citrongap {

struct StoredRunEnd {
  ServerIncarnation Server;
  RunEndReport End;
};

KeyedRecord storedRunEnd(const ServerIncarnation &server,
                         const RunEndReport &end);
/// The job that the key of such a record names.
WorkId workOfRunEnd(const std::string &key);
/// Gives findings for a record of another version, too.
Checked<StoredRunEnd> decodeRunEnd(const std::string &key,
                                   const std::string &value);

} // namespace citrongap

#endif // CITRONGAP_CONTROL_STORED_RUN_ENDS_H
