// Simulates a replicated register service in virtual time: Raft on file logs, a
// network that drops, delays, duplicates and reorders messages, processes that
// crash and lose unsynced data, clocks that jump, disks that fill up, machines
// that are permanently lost and replaced. Deterministic for a given seed.
#ifndef TESTS_CONSENSUS_SIMULATION_H_
#define TESTS_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "modules/file_log/file_log.h"
#include "servers/consensus/raft.h"
#include "tests/consensus/linearizability.h"
#include "tests/modules/fault_file_system.h"

namespace cassiausher {

/// Events of a run, to verify that the faults actually occurred.
struct SimulationCounts {
  std::uint64_t elections = 0;
  std::uint64_t committed = 0;
  std::uint64_t crashes = 0;
  std::uint64_t replacements = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t failed_syncs = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed);

  /// Runs with faults, then without. Returns the first violation, or "".
  std::string Run();
  const SimulationCounts& counts() const { return counts_; }

 private:
  /// Probabilities of the faults. A random subset per seed finds more faults in
  /// the code than all of them at once.
  struct Faults {
    double drop = 0;
    double duplicate = 0;
    double long_delay = 0;
    double partition = 0;  ///< This and the following are per step.
    double heal = 0;
    double crash = 0;
    double restart = 0;
    double clock_jump = 0;
    double disk_full = 0;
    double transfer = 0;
    double slow_sync = 0;
    bool replacement = false;
    /// The leader replaces voters with an empty disk by itself.
    bool automatic_replacement = false;
  };
  struct Process {
    std::unique_ptr<FileLog> log;
    std::unique_ptr<Raft> raft;
    std::map<int, std::uint64_t> registers;
    LogIndex applied = 0;
    LogIndex compacted = 0;
    std::deque<RaftOutput> batches;
    bool writing = false;
    Time write_ends;
    std::uint64_t id = 0;
  };
  struct Machine {
    FaultDisk disk;
    std::unique_ptr<Process> process;
    Duration clock{0};
    std::uint64_t new_storage_id = 0;
    Term highest_sent_term = 0;
  };
  struct Client {
    bool waiting = false;
    std::string machine;
    std::uint64_t process_id = 0;
    std::size_t operation = 0;
    int key = 0;
    LogIndex index = 0;
    Term term = 0;
    std::uint64_t read = 0;
    Time deadline;
  };

  void Step();
  void InjectFaults();
  void Heal();
  /// True if the replacement is complete and all voters have applied the log up
  /// to an entry of the current leader.
  bool HasConverged();
  void AddMachine(const std::string& name);
  void Start(const std::string& name);
  void Crash(const std::string& name);
  void LoseMachine(const std::string& name);
  void DriveReplacement();

  void Send(Machine& machine, std::vector<proto::RaftMessage>& messages);
  void CheckSent(Machine& machine, const proto::RaftMessage& message);
  void Deliver();
  void Collect(const std::string& name);
  void Write(Machine& machine);
  void Apply(const std::string& name, const LogEntry& entry);
  void CheckLeader(const Raft& raft);
  void CheckLogsMatch();
  void CheckHistories();

  void DriveClients();
  void StartOperation(Client& client);
  void FinishRead(const std::string& name, const ReadResult& result);
  void FinishWrite(const std::string& name, const LogEntry& entry);

  std::string Leader() const;
  Time LocalTime(const Machine& machine) const { return now_ + machine.clock; }
  void ReportViolation(const std::string& what);

  Random random_;
  Faults faults_;
  Time now_{Seconds(100)};
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::multimap<Time, proto::RaftMessage> network_;
  std::set<std::pair<std::string, std::string>> blocked_;
  std::uint64_t next_storage_ = 100;
  std::uint64_t next_process_id_ = 1;

  std::optional<std::pair<ReplicaId, std::string>> pending_replacement_;
  int losses_left_ = 0;

  std::vector<LogEntry> committed_;
  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<ReplicaId, Term>, ReplicaId> votes_;

  std::vector<Client> clients_;
  std::map<int, std::vector<RegisterOperation>> histories_;
  std::uint64_t next_value_ = 1;
  std::uint64_t next_read_ = 1;

  std::string violation_;
  SimulationCounts counts_;
};

}  // namespace cassiausher

#endif  // TESTS_CONSENSUS_SIMULATION_H_
