// The checks behind `check`, one function a rule or a small group of them.
#ifndef CITRONGAP_SCENARIO_SRC_HISTORY_CHECKS_H
#define CITRONGAP_SCENARIO_SRC_HISTORY_CHECKS_H

#include "citrongap/history/checker.h"

namespace citrongap::history {

using Violations = std::vector<Violation>;

void checkAtMostOnce(const History &history, Violations &out);
void checkNotRun(const History &history, Violations &out);
void checkFailed(const History &history, Violations &out);
void checkAnswers(const History &history, Violations &out);
void checkOneResult(const History &history, Violations &out);
void checkGangs(const History &history, const Bounds &bounds, Violations &out);
void checkDoubleRuns(const History &history, const Bounds &bounds,
                     Violations &out);
void checkMonotone(const History &history, Violations &out);
void checkConvergence(const History &history, Violations &out);
void checkLeaving(const History &history, const Bounds &bounds,
                  Violations &out);
void checkCuts(const History &history, Violations &out);
void checkAnswered(const History &history, Violations &out);

} // namespace citrongap::history

#endif // CITRONGAP_SCENARIO_SRC_HISTORY_CHECKS_H
