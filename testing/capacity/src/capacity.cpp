// Measures what a unit of each load costs (a server, a job, an account, a
// change, a claim, a renewal), at several sizes, for docs/CAPACITY.md.
#include "measure.h"

#include <fstream>
#include <unistd.h>

using namespace citrongap;

namespace {

/// Resident memory of the process, code and libraries included.
double residentBytes() {
  double pages = 0;
  double resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

int main() {
  fmt::print("| what | figure at each size | slope |\n| --- | --- | --- |\n");
  printFigure("resident memory of this program before any load",
              residentBytes(), "B");
  measureScheduler();
  measurePlanner();
  measureConfigurationLog();
  measureClaimLedger();
  measureLeases();
  measureVmList();
  measureMessages();
  return 0;
}
