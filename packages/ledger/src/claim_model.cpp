// Steps of the claim model.
#include "claim_model.h"

#include <algorithm>
#include <cstring>

namespace citrongap::testing {

namespace {

const JobId Job{ClientAccountId("guild"), RequestKey("proof")};
const char *const Names[] = {"A", "B", "S"};

PodId podOf(std::uint8_t p) { return PodId(p == B ? "two" : "one"); }
std::size_t serverOf(std::uint8_t p) { return p == B ? 1 : 0; }
std::size_t serverOfStart(std::size_t start) { return start == StartB ? 1 : 0; }
std::uint8_t code(RecordCode base, std::uint8_t p) {
  return static_cast<std::uint8_t>(base + p);
}

/// The record was read: its place matters no more.
ModelState consumed(ModelState state, std::uint8_t record) {
  state.Unread[record] = false;
  state.Views[record] = {};
  return state;
}

bool tokenIsCurrent(const ModelState &state, Process p) {
  return state.Tokens[p] >= state.ServerTokens[serverOf(p)];
}

ModelState answered(ModelState state, Process p, Answer answer,
                    std::uint8_t heldBy = Nobody) {
  state.Answers[p] = answer;
  state.HeldAtAnswer[p] = heldBy;
  state.Stages[p] = Stage::Finished;
  return state;
}

ModelState sent(ModelState state, std::uint8_t record, Process p, Stage next) {
  state.Landings[record] = 1;
  state.Stages[p] = next;
  return state;
}

/// Whether the writer still waits to read its record.
bool awaited(const ModelState &state, std::uint8_t record) {
  if (record < VoidBy)
    return state.Stages[record] == Stage::Claiming;
  if (record < EndedBy)
    return state.Stages[record - VoidBy] == Stage::Voiding;
  if (record < VoidOfAByS)
    return state.Stages[record - EndedBy] == Stage::Ending;
  if (record == VoidOfAByS)
    return state.Successor == Succession::Releasing;
  if (record == EndedOfAByS)
    return state.Successor == Succession::Ending;
  return state.Successor == Succession::Sent;
}

ModelState moved(ModelState state, Succession next) {
  state.Successor = next;
  return state;
}

} // namespace

std::string ModelState::bytes() const {
  std::string buf(sizeof *this, '\0');
  std::memcpy(buf.data(), this, sizeof *this);
  return buf;
}

ModelState ClaimModel::initial() {
  ClaimLedger ledger;
  ledger.apply(LogOffset(0), recordOf(TakeOverByA));
  ledger.apply(LogOffset(1), recordOf(TakeOverByB));
  ModelState state;
  state.Ledger = indexOf(ledger);
  return state;
}

JobRecord ClaimModel::recordOf(std::uint8_t record) const {
  const WallTime end = wallFromMillis(1000);
  // Without a take-over S writes under the term of A.
  const PodTerm terms[] = {PodTerm(0), PodTerm(0),
                           PodTerm(With.TakeOverRecord ? 1 : 0)};
  const auto claimId = [](std::uint8_t p) { return ClaimId(Names[p]); };
  const auto by = [&](std::uint8_t p) {
    return PodHolding{EntryVmId(With.TakeOverRecord || p != S ? Names[p] : "A"),
                      terms[p]};
  };
  const auto ended = [&](std::uint8_t claim, std::uint8_t p) {
    return JobEnded{Job, EndedClaim{claimId(claim), podOf(p), terms[p], {}},
                    end, Done{"whole"}};
  };
  const auto makeVoid = [&](std::uint8_t claim, std::uint8_t p) {
    return ClaimVoid{claimId(claim), Job, podOf(p), terms[p], end, {}};
  };
  const auto takeOver = [&](std::uint8_t p) {
    return PodTakeOver{podOf(p), by(p)};
  };
  JobRecord out;
  if (record < VoidBy)
    out.Body =
        JobClaim{claimId(record), Job, podOf(record), by(record), end, end};
  else if (record < EndedBy)
    out.Body = makeVoid(record - VoidBy, record - VoidBy);
  else if (record < VoidOfAByS)
    out.Body = ended(record - EndedBy, record - EndedBy);
  else if (record == VoidOfAByS)
    out.Body = makeVoid(A, S);
  else if (record == EndedOfAByS)
    out.Body = ended(A, S);
  else
    out.Body = takeOver(record == TakeOverByS   ? S
                        : record == TakeOverByA ? A
                                                : B);
  return out;
}

std::uint16_t ClaimModel::indexOf(const ClaimLedger &ledger) {
  const auto next = static_cast<std::uint16_t>(Ledgers.size());
  const auto [it, added] = Indexes.try_emplace(ledger.digest(), next);
  if (added)
    Ledgers.push_back(ledger);
  return it->second;
}

LogView ClaimModel::viewOf(std::uint16_t ledger) const {
  LogView view;
  const JobEntry *entry = Ledgers[ledger].find(Job);
  view.HasResult = entry && entry->Result;
  for (std::uint8_t p = A; entry && entry->Claim && p <= S; ++p)
    if (entry->Claim->Id.str() == Names[p])
      view.Holder = p;
  return view;
}

const ClaimModel::Landing &ClaimModel::landing(std::uint16_t from,
                                               std::uint8_t record) {
  const auto [it, added] = Landings.try_emplace({from, record});
  if (!added)
    return it->second;
  ClaimLedger ledger = Ledgers[from];
  const bool effective = ledger.apply(ledger.next(), recordOf(record));
  it->second.Ledger = indexOf(ledger);
  it->second.View = viewOf(it->second.Ledger);
  it->second.View.Effective = effective;
  return it->second;
}

std::vector<ModelState> ClaimModel::successors(const ModelState &state) {
  Out.clear();
  logSteps(state);
  serverSteps(state);
  for (const Process p : {A, B, S}) {
    claimSteps(state, p);
    ownerSteps(state, p);
    voidSteps(state, p);
    endingSteps(state, p);
  }
  successionSteps(state);
  return std::move(Out);
}

/// An append lands, now or never.
void ClaimModel::logSteps(const ModelState &state) {
  for (std::uint8_t i = 0; i < RecordCodes; ++i) {
    if (state.Landings[i] == 0)
      continue;
    const Landing &at = landing(state.Ledger, i);
    ModelState next = state;
    --next.Landings[i];
    next.Ledger = at.Ledger;
    if (awaited(state, i) && !state.Unread[i]) {
      next.Unread[i] = true;
      next.Views[i] = at.View;
    }
    Out.push_back(next);
  }
}

/// A start or an acknowledgement arrives; a task ends.
void ClaimModel::serverSteps(const ModelState &state) {
  for (std::size_t i = 0; i < state.Tasks.size(); ++i) {
    const std::uint8_t token = state.ServerTokens[serverOfStart(i)];
    if (state.StartTokens[i] > 0) {
      ModelState next = state;
      if (state.StartTokens[i] >= token)
        next.Tasks[i] = Task::Running;
      next.StartTokens[i] = 0;
      Out.push_back(next);
    }
    if (state.AckTokens[i] > 0) {
      ModelState next = state;
      if (state.AckTokens[i] >= token)
        next.Tasks[i] = Task::Forgotten;
      next.AckTokens[i] = 0;
      Out.push_back(next);
    }
    if (state.Tasks[i] == Task::Running) {
      ModelState next = state;
      next.Tasks[i] = Task::Ended;
      Out.push_back(next);
    }
  }
}

void ClaimModel::claimSteps(const ModelState &state, Process p) {
  const bool holds = p != S || state.Successor >= Succession::Fenced;
  if (state.Stages[p] == Stage::Idle && holds) {
    ModelState next = sent(state, code(ClaimOf, p), p, Stage::Claiming);
    // A's append is repeated after a lost answer: two copies may land.
    next.Landings[code(ClaimOf, p)] = p == A ? 2 : 1;
    Out.push_back(next);
  }
  if (state.Stages[p] != Stage::Claiming)
    return;
  const std::uint8_t record = code(ClaimOf, p);
  const ModelState read = consumed(state, record);
  if (With.VoidBeforeNotRun)
    Out.push_back(sent(read, code(VoidBy, p), p, Stage::Voiding));
  else
    Out.push_back(answered(read, p, Answer::NotRun));
  if (!state.Unread[record])
    return;
  const LogView &view = state.Views[record];
  ModelState next = read;
  next.Stages[p] = Stage::Won;
  if (view.Effective || !With.FirstClaimWins)
    Out.push_back(next);
  else if (view.Holder != Nobody || view.HasResult)
    Out.push_back(answered(read, p, Answer::Unknown));
  else
    Out.push_back(answered(read, p, Answer::NotRun));
}

/// A claim that was read as won: start it, or give it back.
void ClaimModel::ownerSteps(const ModelState &state, Process p) {
  ModelState next = state;
  if (state.Stages[p] == Stage::Won) {
    next.StartTokens[p] = state.Tokens[p];
    next.Stages[p] = Stage::Started;
    Out.push_back(next);
    Out.push_back(sent(state, code(VoidBy, p), p, Stage::Voiding));
  }
  if (state.Stages[p] == Stage::Fenced)
    Out.push_back(sent(state, code(VoidBy, p), p, Stage::Voiding));
  if (state.Stages[p] != Stage::Started)
    return;
  Out.push_back(answered(state, p, Answer::Unknown));
  if (!tokenIsCurrent(state, p))
    return;
  if (state.Tasks[p] == Task::Ended) {
    Out.push_back(sent(state, code(EndedBy, p), p, Stage::Ending));
    if (!With.AcknowledgeAfterOutcome)
      Out.back().AckTokens[p] = state.Tokens[p];
  }
  if (state.Tasks[p] != Task::None)
    return;
  if (With.FenceBeforeRelease)
    next.Tokens[p] = ++next.ServerTokens[serverOf(p)];
  next.Stages[p] = Stage::Fenced;
  Out.push_back(next);
}

void ClaimModel::voidSteps(const ModelState &state, Process p) {
  if (state.Stages[p] != Stage::Voiding)
    return;
  const std::uint8_t record = code(VoidBy, p);
  const ModelState read = consumed(state, record);
  Out.push_back(answered(read, p, Answer::Unknown));
  if (!state.Unread[record])
    return;
  const LogView &view = state.Views[record];
  const bool held = view.Holder != Nobody || view.HasResult;
  if (!With.ReadHolderBeforeAnswer || (view.Effective && !held))
    Out.push_back(answered(read, p, Answer::NotRun, view.Holder));
}

void ClaimModel::endingSteps(const ModelState &state, Process p) {
  const std::uint8_t record = code(EndedBy, p);
  if (state.Stages[p] != Stage::Ending || !state.Unread[record])
    return;
  const ModelState read = consumed(state, record);
  if (!state.Views[record].Effective) {
    Out.push_back(answered(read, p, Answer::Unknown));
    return;
  }
  ModelState next = answered(read, p, Answer::Done);
  next.AckTokens[p] = state.Tokens[p];
  Out.push_back(next);
}

void ClaimModel::successionSteps(const ModelState &state) {
  if (state.Successor < Succession::Fenced)
    takeOverSteps(state);
  else
    adoptionSteps(state);
}

/// S takes the pod over from A: first in the log, then at the server.
void ClaimModel::takeOverSteps(const ModelState &state) {
  ModelState next = state;
  if (state.Successor == Succession::None) {
    next.Landings[TakeOverByS] = With.TakeOverRecord ? 1 : 0;
    if (!With.TakeOverRecord)
      next.Taken = viewOf(state.Ledger);
    next.Successor = With.TakeOverRecord ? Succession::Sent : Succession::Held;
    Out.push_back(next);
  }
  if (state.Successor == Succession::Sent && state.Unread[TakeOverByS] &&
      state.Views[TakeOverByS].Effective) {
    next = consumed(state, TakeOverByS);
    next.Taken = state.Views[TakeOverByS];
    Out.push_back(moved(next, Succession::Held));
  }
  if (state.Successor == Succession::Held) {
    if (With.FenceBeforeAct)
      ++next.ServerTokens[0];
    next.Tokens[S] = next.ServerTokens[0];
    Out.push_back(moved(next, Succession::Fenced));
  }
}

/// S sees to the claim that A left.
void ClaimModel::adoptionSteps(const ModelState &state) {
  if (state.Taken.Holder != A || state.Taken.HasResult)
    return;
  const Task left = state.Tasks[StartA];
  const bool seen =
      With.AskServers && (left == Task::Running || left == Task::Ended);
  const auto start =
      state.Successor == Succession::Started ? StartSForA : StartA;
  ModelState next = state;
  switch (state.Successor) {
  case Succession::Fenced:
    Out.push_back(
        moved(next, seen ? Succession::Adopted : Succession::NothingRuns));
    break;
  case Succession::NothingRuns:
    next.Landings[VoidOfAByS] = 1;
    Out.push_back(moved(next, Succession::Releasing));
    next = state;
    next.StartTokens[StartSForA] = state.Tokens[S];
    Out.push_back(moved(next, Succession::Started));
    break;
  case Succession::Adopted:
  case Succession::Started:
    if (state.Tasks[start] != Task::Ended)
      break;
    next.Landings[EndedOfAByS] = 1;
    Out.push_back(moved(next, Succession::Ending));
    break;
  case Succession::Releasing:
    if (state.Unread[VoidOfAByS] && state.Views[VoidOfAByS].Effective)
      Out.push_back(moved(consumed(state, VoidOfAByS), Succession::Released));
    break;
  case Succession::Ending:
    if (!state.Unread[EndedOfAByS] || !state.Views[EndedOfAByS].Effective)
      break;
    next = consumed(state, EndedOfAByS);
    for (const auto it : {StartA, StartSForA})
      if (state.Tasks[it] == Task::Ended)
        next.AckTokens[it] = state.Tokens[S];
    Out.push_back(moved(next, Succession::Finished));
    break;
  default:
    break;
  }
}

std::string ClaimModel::violation(const ModelState &state) {
  const auto ran = [&](std::size_t start) {
    return state.Tasks[start] != Task::None;
  };
  const auto claimRan = [&](std::uint8_t p) {
    return ran(p) || (p == A && ran(StartSForA));
  };
  if (ran(StartA) + ran(StartB) + ran(StartS) + ran(StartSForA) > 1)
    return "the job ran twice";
  for (const Process p : {A, B, S}) {
    if (state.Answers[p] != Answer::NotRun)
      continue;
    if (claimRan(p))
      return "it ran under a claim that was answered as not run";
    const std::uint8_t other = state.HeldAtAnswer[p];
    if (other != Nobody && claimRan(other))
      return "it ran under a claim that stood before \"not run\" was read";
  }
  if (state.Successor == Succession::Released && claimRan(A))
    return "it ran under a claim that the successor gave back";
  return {};
}

} // namespace citrongap::testing
