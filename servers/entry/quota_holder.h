// Quotas of client accounts at one entry instance: admits requests by itself
// while an account is open, asks the issuer while it is closed, and keeps to
// this instance's share while no issuer answers.
#ifndef SERVERS_ENTRY_QUOTA_HOLDER_H_
#define SERVERS_ENTRY_QUOTA_HOLDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/accounts/client_account.h"
#include "servers/control/quota_issuer.h"

namespace cassiausher {

struct QuotaHolderOptions {
  /// An issuer that doesn't answer for this long isn't asked until it sends the
  /// states of accounts.
  Duration answer_timeout = Milliseconds(100);
  /// The same holds for one that hasn't told the states of accounts for this
  /// long, which it does twice a second.
  Duration state_lifetime = Milliseconds(1200);
  /// Without an issuer for this long, an instance keeps to its part of
  /// `equal_part` only: its share is no longer withheld from the others.
  Duration share_lifetime = Seconds(30);
  /// Part of a quota that instances without recent use share equally.
  double equal_part = 0.1;
  /// What was admitted is reported at least this often.
  Duration report_period = Milliseconds(500);
  /// More than `early_report_share` of the burst is reported this soon after
  /// the last report.
  Duration early_report_period = Milliseconds(50);
  double early_report_share = 0.01;
  /// After a refusal the account is refused here for at most this long without
  /// asking again, which bounds the messages under overload.
  Duration refusal_pause = Milliseconds(250);
  Duration history_length = Seconds(10);
  std::uint64_t random_seed = 1;
};

/// Identifies a request that waits for the issuer's answer.
using QuotaTicket = StrongNumber<struct QuotaTicketTag, std::uint64_t>;

enum class QuotaVerdict {
  kAdmitted,
  kAsked,    ///< The issuer's answer comes within some ten milliseconds.
  kRefused,  ///< The quota is used up.
};

struct QuotaResult {
  QuotaVerdict verdict = QuotaVerdict::kAdmitted;
  QuotaTicket ticket{0};   ///< If asked.
  Duration retry_after{};  ///< If refused.
};

/// A request that waited need not wait any longer.
struct QuotaOutcome {
  QuotaTicket ticket{0};
  bool admitted = false;
  Duration retry_after{};
};

/// An ask to send to the issuer.
struct QuotaAsk {
  std::uint64_t number = 0;
  QuotaDemand demand;
};

struct QuotaReply {
  std::uint64_t number = 0;
  AccountId account;
  QuotaGrant grant;
};

/// What this instance admitted of an account since the last report.
struct QuotaReportEntry {
  AccountId account;
  double units = 0;
};

/// Not thread safe.
class QuotaHolder {
 public:
  explicit QuotaHolder(QuotaHolderOptions options)
      : options_(options), random_(options.random_seed) {}

  QuotaResult Take(const QuotaCost& cost, Time now);
  /// A request that was admitted hasn't run and won't.
  void Return(const AccountId& account, double units, Time now);
  void Cancel(QuotaTicket ticket);

  /// Sets the control instance to ask, empty if there is none, the term under
  /// which it issues, and by how many entry instances a quota is shared if it
  /// hasn't said so. Returns whether the issuer must be sent the history.
  bool SetIssuer(const InstanceId& issuer, std::uint64_t term,
                 std::uint32_t entry_instances, Time now);
  const InstanceId& issuer() const { return issuer_; }
  /// The issuer has collected the histories. `states`: its accounts that are
  /// closed, or that this instance used lately.
  void OnStates(const InstanceId& from, const std::vector<QuotaState>& states,
                Time now);
  /// Accounts that were just opened or closed.
  void OnChanged(const InstanceId& from, const std::vector<QuotaState>& states);
  void OnReply(const InstanceId& from, const QuotaReply& reply, Time now);
  /// The issuer answered that it issues nothing now.
  void OnNotIssuer(const InstanceId& from, Time now);

  std::vector<QuotaAsk> TakeAsks(Time now);
  /// What is due to be reported; empty if nothing is.
  std::vector<QuotaReportEntry> TakeReport(Time now);
  /// What was admitted of each account lately. Counts as reported.
  std::map<AccountId, std::vector<QuotaUse>> TakeHistory(Time now);
  /// Gives up on unanswered asks. Call at least every 25 ms.
  void CheckTimeouts(Time now);
  std::vector<QuotaOutcome> TakeOutcomes();

 private:
  struct Waiting {
    QuotaTicket ticket{0};
    double units = 0;
  };
  struct Ask {
    std::uint64_t number = 0;
    Time sent_at{};
  };
  struct Account {
    AccountQuota quota;
    bool open = true;
    /// Share of the quota without an issuer; 0 if the issuer didn't say.
    double share = 0;
    /// Admitted and not reported yet.
    double unreported = 0;
    /// Reported, and the issuer may not have charged it yet.
    double unconfirmed = 0;
    /// Admitted, by second of this process' clock.
    std::map<std::int64_t, double> history;
    std::deque<Waiting> waiting;
    /// At most one is on its way.
    std::optional<Ask> ask;
    /// The issuer refused; it isn't asked before.
    Time refused_until{};
    /// When it expects room.
    Time room_at{};
    /// Without an issuer: units that this instance may admit.
    double own_level = 0;
    Time own_refilled_at{};
    bool own_begun = false;
  };

  bool IssuerAnswers(Time now) const {
    return !issuer_.empty() && ready_ && !ask_timed_out_ &&
           now - issuer_states_at_ < options_.state_lifetime;
  }
  void Admit(Account& account, double units, Time now);
  /// Units that are admitted between two reports without asking.
  double OpenAllowance(const Account& account, Time now) const;
  double ShareOf(const Account& account, Time now) const;
  /// Jittered, so that requests that are refused together don't return
  /// together.
  Duration Spread(Duration wait);
  QuotaResult TakeOwnShare(Account& account, double units, Time now);
  /// No issuer answers: requests that wait get a part of the own share.
  void FallBackToOwnShare(Time now);

  QuotaHolderOptions options_;
  Random random_;
  InstanceId issuer_;
  std::uint64_t term_ = 0;
  /// The issuer has told the states of the accounts.
  bool ready_ = false;
  /// The issuer hasn't answered an ask in time.
  bool ask_timed_out_ = false;
  /// When any issuer last sent the states of accounts; null if none has.
  std::optional<Time> last_states_at_;
  /// When the present issuer last sent them.
  Time issuer_states_at_{};
  std::uint32_t entry_instances_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_ask_ = 1;
  Time reported_at_{};
  std::map<AccountId, Account> accounts_;
  std::vector<QuotaOutcome> outcomes_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_QUOTA_HOLDER_H_
