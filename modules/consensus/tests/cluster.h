// Simulates a cluster of replicated logs on a network that loses, delays,
// reorders and duplicates messages, and on disks that lose unsynced data. Every
// step checks that all instances have the same history and that it contains
// every acknowledged command.

#ifndef FULMAR_CONSENSUS_CLUSTER_H
#define FULMAR_CONSENSUS_CLUSTER_H

#include "../../journal/tests/memoryfilesystem.h"
#include "fulmar/consensus/replicatedlog.h"

#include "fulmar/testing/property.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::consensus {

/// Returns the number of seeds to run a test with. The sanitizer build is many
/// times slower and runs only a quarter of \p Count.
constexpr std::uint64_t seedCount(std::uint64_t Count) {
#ifdef NDEBUG
  return Count;
#else
  return (Count + 3) / 4;
#endif
}

/// Reference state machine that records all applied commands in order.
class recording_state_machine final : public istate_machine {
public:
  std::vector<std::string> History;
  /// Number of commands already compared with the cluster's history.
  std::size_t Checked = 0;

  std::string apply(log_index /*Index*/, std::string_view Command) override {
    History.emplace_back(Command);
    return std::to_string(History.size());
  }
  [[nodiscard]] std::string snapshot() const override {
    std::string Lines;
    for (const std::string &Command : History)
      Lines += Command + "\n";
    return Lines;
  }
  base::result<void> restore(std::string_view Snapshot) override {
    History.clear();
    Checked = 0;
    for (std::size_t End = 0; !Snapshot.empty();
         Snapshot.remove_prefix(End + 1)) {
      End = Snapshot.find('\n');
      History.emplace_back(Snapshot.substr(0, End));
    }
    return base::success();
  }
};

class cluster {
public:
  struct instance {
    journal::memory_filesystem Files;
    recording_state_machine Machine;
    std::unique_ptr<replicated_log> Log;
    /// Offset of the instance's clock; different on every instance.
    base::duration ClockOrigin{};
    bool Paused = false;
    /// Pending commands by ticket, since the last start.
    std::map<ticket, std::string> Proposed;
    std::set<ticket> FinishedReads;
    std::optional<base::error> Fatal;
  };

  struct faults {
    /// Number per 1000 messages.
    unsigned Lost = 0;
    unsigned Duplicated = 0;
    unsigned MaxDelaySteps = 1;
  };

  static constexpr base::duration Step = std::chrono::milliseconds(10);

  explicit cluster(std::vector<replica_id> InitialVoters,
                   std::uint64_t Seed = 1,
                   std::uint64_t EntriesPerSnapshot = 1000)
      : Random(Seed), Initial(std::move(InitialVoters)),
        SnapshotIntervalEntries(EntriesPerSnapshot) {
    for (const replica_id &Id : Initial)
      start(Id);
  }

  faults Faults;
  /// Applies to instances started after it is set.
  base::duration InitialElectionTimeoutMax =
      replica_options().InitialElectionTimeoutMax;
  std::map<replica_id, instance> Instances;
  std::set<std::pair<replica_id, replica_id>> BlockedLinks;
  /// Acknowledged commands and their positions in the history.
  std::map<std::string, std::size_t> Acknowledged;
  std::set<std::string> Refused;
  std::set<std::string> UnknownOutcome;
  base::random_source Random;

  void start(const replica_id &Id) {
    instance &Instance = Instances[Id];
    Instance.ClockOrigin = std::chrono::seconds(Random() % 100000);
    Instance.Machine = {};
    Instance.Proposed.clear();
    Instance.Fatal.reset();
    Instance.Paused = false;
    auto Opened = replicated_log::open(
        {.Replica = {.Id = Id,
                     .Bootstrap = true,
                     .InitialVoters = Initial,
                     .InitialElectionTimeoutMax = InitialElectionTimeoutMax,
                     .MaxBatchEntries = 16,
                     .SnapshotChunkBytes = 100,
                     .TrailingEntries = 8,
                     .Seed = Random()},
         .Folder = "data",
         .SnapshotIntervalEntries = SnapshotIntervalEntries,
         .SegmentBytes = 2000},
        Instance.Files, Instance.Machine, clockOf(Instance));
    CHECK_TRUE_TEXT(Opened.has_value(),
                    Opened ? "" : Opened.error().Message.c_str());
    Instance.Log = std::move(Opened.value());
  }

  void stop(const replica_id &Id) {
    Instances[Id].Log.reset();
    Instances[Id].Files.restart(Random);
    std::erase_if(InFlight, [&Id](const auto &Sent) { return Sent.To == Id; });
  }

  void wipeDisk(const replica_id &Id) {
    stop(Id);
    Instances[Id].Files.wipe();
  }

  void isolate(const replica_id &Id) {
    for (const auto &[Other, Instance] : Instances) {
      BlockedLinks.insert({Id, Other});
      BlockedLinks.insert({Other, Id});
    }
  }

  replicated_log &at(const replica_id &Id) { return *Instances[Id].Log; }
  log_status status(const replica_id &Id) {
    return at(Id).status(clockOf(Instances[Id]));
  }
  base::instant clockOf(const instance &Instance) const {
    return Now + Instance.ClockOrigin;
  }

  /// Proposes a new unique command; empty if the proposal was rejected.
  std::optional<std::string> propose(const replica_id &Id) {
    instance &Instance = Instances[Id];
    const std::string Command = "command " + std::to_string(++Commands);
    const auto Ticket = Instance.Log->propose(Command, clockOf(Instance));
    if (!Ticket) {
      Refused.insert(Command);
      return std::nullopt;
    }
    Instance.Proposed[Ticket.value()] = Command;
    return Command;
  }

  void runStep() {
    Now += Step;
    deliverDue();
    for (auto &[Id, Instance] : Instances) {
      if (!Instance.Log || Instance.Paused)
        continue;
      Instance.Log->tick(clockOf(Instance));
      flush(Id, Instance);
    }
    checkInvariants();
  }

  void run(base::duration Time) {
    for (base::duration Passed{}; Passed < Time; Passed += Step)
      runStep();
  }

  /// Runs until \p Reached holds; fails the test after 30 simulated seconds.
  template <typename Condition> void runUntil(Condition Reached) {
    constexpr int MaxSteps = 3000;
    for (int I = 0; I < MaxSteps; ++I) {
      if (Reached())
        return;
      runStep();
    }
    FAIL("condition not reached within 30 simulated seconds");
  }

  /// Returns the running leader with the highest term; empty if there is none.
  replica_id leader() {
    replica_id Found;
    log_term Term = 0;
    for (const auto &[Id, Instance] : Instances) {
      if (!Instance.Log || Instance.Paused)
        continue;
      const log_status Status = status(Id);
      if (Status.Role == role::Leader && Status.Term > Term) {
        Found = Id;
        Term = Status.Term;
      }
    }
    return Found;
  }

  /// Returns whether the cluster is formed with \p Voters voters, all of them
  /// started with the storage that the configuration lists.
  bool hasVoters(std::size_t Voters) {
    const replica_id Leader = leader();
    if (Leader.empty())
      return false;
    const configuration Members = status(Leader).Members;
    return Members.Formed && Members.Learners.empty() &&
           Members.Voters.size() == Voters && isFullyCommitted(Leader) &&
           std::all_of(Members.Voters.begin(), Members.Voters.end(),
                       [this](const member &Voter) {
                         return Instances[Voter.Id].Log &&
                                status(Voter.Id).StorageId == Voter.StorageId;
                       });
  }

  bool isFullyCommitted(const replica_id &Leader) {
    const log_status Status = status(Leader);
    return Status.Commit == Status.LastIndex && !Leader.empty();
  }

  void waitForVoters(std::size_t Voters) {
    runUntil([&] { return hasVoters(Voters); });
  }

  /// Proposes \p Count commands to the leader, one after the other, and runs
  /// until each is acknowledged or its outcome is unknown.
  void commitCommands(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      runUntil([&] { return !leader().empty(); });
      const auto Command = propose(leader());
      if (Command)
        runUntil([&] {
          return Acknowledged.contains(*Command) ||
                 UnknownOutcome.contains(*Command);
        });
      else
        runStep();
    }
  }

  bool converged() {
    return std::all_of(Instances.begin(), Instances.end(), [&](auto &Entry) {
      return !Entry.second.Log || Entry.second.Machine.History == History;
    });
  }

  /// Flushes the instance but discards its messages and completions.
  void flushAndDiscard(const replica_id &Id) {
    (void)at(Id).flush(clockOf(Instances[Id]));
  }

private:
  struct in_flight {
    base::instant Due;
    replica_id From;
    replica_id To;
    std::string Bytes;
  };

  void deliverDue() {
    std::vector<in_flight> Sent;
    std::swap(Sent, InFlight);
    for (in_flight &Message : Sent) {
      const auto Target = Instances.find(Message.To);
      if (Target == Instances.end() || !Target->second.Log ||
          BlockedLinks.contains({Message.From, Message.To}))
        continue;
      // A paused process reads its sockets after it resumes.
      if (Message.Due > Now || Target->second.Paused)
        InFlight.push_back(std::move(Message));
      else
        Target->second.Log->deliver(Message.From, Message.Bytes,
                                    clockOf(Target->second));
    }
  }

  void flush(const replica_id &Id, instance &Instance) {
    flush_result Result = Instance.Log->flush(clockOf(Instance));
    Instance.Fatal = Result.Fatal;
    for (const completion &Done : Result.Completions)
      complete(Instance, Done);
    for (outgoing_message &Message : Result.Messages) {
      const unsigned Copies = Random() % 1000 < Faults.Duplicated ? 2 : 1;
      for (unsigned I = 0; I < Copies; ++I) {
        if (Random() % 1000 >= Faults.Lost)
          InFlight.push_back(
              {Now + Step * (Random() % Faults.MaxDelaySteps + 1), Id,
               Message.To, Message.Bytes});
      }
    }
    if (Faults.MaxDelaySteps > 1)
      std::shuffle(InFlight.begin(), InFlight.end(), Random);
  }

  void complete(instance &Instance, const completion &Done) {
    const auto Found = Instance.Proposed.find(Done.Ticket);
    if (Found == Instance.Proposed.end()) {
      if (!Done.Error)
        Instance.FinishedReads.insert(Done.Ticket);
      return;
    }
    if (!Done.Error)
      recordAcknowledged(Found->second, std::stoul(Done.Reply));
    else if (Done.Error->Kind == base::error_kind::NoQuorum)
      UnknownOutcome.insert(Found->second);
    else
      Refused.insert(Found->second);
    Instance.Proposed.erase(Found);
  }

  void recordAcknowledged(const std::string &Command, std::size_t Position) {
    Acknowledged[Command] = Position;
    NewlyAcknowledged.push_back(Command);
    if (!AcknowledgedAt.empty())
      Position = std::max(Position, AcknowledgedAt.back().second);
    AcknowledgedAt.push_back({Now, Position});
  }

  void checkInvariants() {
    std::map<log_term, replica_id> Leaders;
    for (auto &[Id, Instance] : Instances) {
      if (!Instance.Log)
        continue;
      const log_status Status = status(Id);
      if (Status.Role == role::Leader)
        CHECK(Leaders.emplace(Status.Term, Id).second);
      checkHistory(Instance);
      checkProof(Instance, Status);
    }
    // The history only grows, so each command needs checking only once.
    for (const std::string &Command : NewlyAcknowledged) {
      const std::size_t Position = Acknowledged[Command];
      CHECK(Position <= History.size() && History[Position - 1] == Command);
    }
    NewlyAcknowledged.clear();
  }

  void checkHistory(instance &Instance) {
    const auto &Own = Instance.Machine.History;
    for (std::size_t &I = Instance.Machine.Checked; I < Own.size(); ++I) {
      if (I == History.size()) {
        CHECK(UniqueCommands.insert(Own[I]).second);
        CHECK(!Refused.contains(Own[I]));
        History.push_back(Own[I]);
      }
      CHECK(Own[I] == History[I]);
    }
  }

  /// Checks that a quorum proof covers all commands acknowledged before it.
  void checkProof(const instance &Instance, const log_status &Status) {
    if (!Status.ProofAge)
      return;
    const base::instant Proved = Now - *Status.ProofAge;
    const auto Later =
        std::upper_bound(AcknowledgedAt.begin(), AcknowledgedAt.end(), Proved,
                         [](base::instant Time, const auto &Entry) {
                           return Time < Entry.first;
                         });
    if (Later != AcknowledgedAt.begin())
      CHECK(std::prev(Later)->second <= Instance.Machine.History.size());
  }

  std::vector<replica_id> Initial;
  std::uint64_t SnapshotIntervalEntries;
  base::instant Now{};
  std::vector<in_flight> InFlight;
  std::size_t Commands = 0;
  std::vector<std::string> History;
  std::set<std::string> UniqueCommands;
  std::vector<std::string> NewlyAcknowledged;
  /// Acknowledgement times with the highest position acknowledged by then.
  std::vector<std::pair<base::instant, std::size_t>> AcknowledgedAt;
};

} // namespace fulmar::consensus

#endif // FULMAR_CONSENSUS_CLUSTER_H
