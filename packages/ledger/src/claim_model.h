// A small model of claiming and starting one job, for exhaustive search: two
// pods with one server each, their owners A and B, and a successor S of A.
// Appends and starts arrive late or never; the log's side is ClaimLedger.
#ifndef CITRONGAP_LEDGER_SRC_CLAIM_MODEL_H
#define CITRONGAP_LEDGER_SRC_CLAIM_MODEL_H

#include "citrongap/ledger/claim_ledger.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citrongap::testing {

/// What the processes do to keep the promises; each can be left out.
struct Protections {
  bool FirstClaimWins = true;
  bool FenceBeforeAct = true;
  bool AskServers = true;
  bool TakeOverRecord = true;
  bool ReadHolderBeforeAnswer = true;
  bool FenceBeforeRelease = true;
  bool VoidBeforeNotRun = true;
  /// A server forgets a task only once its outcome counts in the log.
  bool AcknowledgeAfterOutcome = true;
};

enum Process : std::uint8_t { A, B, S };
/// A start of the job: by A, B and S under their own claims, and by S under
/// the claim that it took over from A.
enum Start : std::uint8_t { StartA, StartB, StartS, StartSForA };

enum RecordCode : std::uint8_t {
  ClaimOf, // + process
  VoidBy = 3,
  EndedBy = 6,
  VoidOfAByS = 9,
  EndedOfAByS,
  TakeOverByS,
  TakeOverByA,
  TakeOverByB,
  RecordCodes
};

enum class Stage : std::uint8_t {
  Idle,
  Claiming,
  Voiding,
  Won,
  Started,
  Fenced,
  Ending,
  Finished
};

enum class Succession : std::uint8_t {
  None,
  Sent,
  Held,
  Fenced,
  NothingRuns,
  Adopted,
  Started,
  Releasing,
  Released,
  Ending,
  Finished
};

enum class Answer : std::uint8_t { None, NotRun, Unknown, Done };
enum class Task : std::uint8_t { None, Running, Ended, Forgotten };

inline constexpr std::uint8_t Nobody = 9;

/// What the log says of the job at one place.
struct LogView {
  /// Whether the place's own record is in effect.
  bool Effective = false;
  /// The process whose claim holds the job, or Nobody.
  std::uint8_t Holder = Nobody;
  bool HasResult = false;
};

/// Bytes only, so that states compare by content.
struct ModelState {
  /// Index of the ledger that the log gives.
  std::uint16_t Ledger = 0;
  /// Whether a record has landed and is not read yet, and what its first
  /// copy's place says.
  std::array<bool, RecordCodes> Unread{};
  std::array<LogView, RecordCodes> Views{};
  /// How often an append that was sent may still land.
  std::array<std::uint8_t, RecordCodes> Landings{};
  std::array<Stage, 3> Stages{};
  std::array<Answer, 3> Answers{};
  /// The claim that held the job where "not run" was read.
  std::array<std::uint8_t, 3> HeldAtAnswer{Nobody, Nobody, Nobody};
  std::array<std::uint8_t, 3> Tokens{1, 1, 0};
  std::array<std::uint8_t, 2> ServerTokens{1, 1};
  /// Tokens of starts and acknowledgements on the way; 0 for none.
  std::array<std::uint8_t, 4> StartTokens{};
  std::array<std::uint8_t, 4> AckTokens{};
  std::array<Task, 4> Tasks{};
  Succession Successor = Succession::None;
  /// What S had read when it took over.
  LogView Taken;

  std::string bytes() const;
};
static_assert(std::has_unique_object_representations_v<ModelState>);

class ClaimModel {
public:
  explicit ClaimModel(Protections protections) : With(protections) {}

  ModelState initial();
  std::vector<ModelState> successors(const ModelState &state);
  /// Empty when both promises hold.
  static std::string violation(const ModelState &state);

private:
  void logSteps(const ModelState &state);
  void serverSteps(const ModelState &state);
  void claimSteps(const ModelState &state, Process p);
  void ownerSteps(const ModelState &state, Process p);
  void voidSteps(const ModelState &state, Process p);
  void endingSteps(const ModelState &state, Process p);
  void successionSteps(const ModelState &state);
  void takeOverSteps(const ModelState &state);
  void adoptionSteps(const ModelState &state);

  struct Landing {
    std::uint16_t Ledger = 0;
    LogView View;
  };

  const Landing &landing(std::uint16_t from, std::uint8_t code);
  std::uint16_t indexOf(const ClaimLedger &ledger);
  LogView viewOf(std::uint16_t ledger) const;
  JobRecord recordOf(std::uint8_t code) const;

  Protections With;
  std::vector<ModelState> Out;
  /// One for each digest, in order of discovery.
  std::vector<ClaimLedger> Ledgers;
  std::unordered_map<std::string, std::uint16_t> Indexes;
  std::map<std::pair<std::uint16_t, std::uint8_t>, Landing> Landings;
};

} // namespace citrongap::testing

#endif // CITRONGAP_LEDGER_SRC_CLAIM_MODEL_H
