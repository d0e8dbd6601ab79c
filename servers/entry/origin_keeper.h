// Which software version began which stream, as an entry instance knows it.
// Before the first event of a stream is passed on, its origin is with control
// instances, so that another entry instance can continue the stream at the same
// version after this one has died or was cut off.
#ifndef SERVERS_ENTRY_ORIGIN_KEEPER_H_
#define SERVERS_ENTRY_ORIGIN_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"
#include "servers/control/stream_origins.h"
#include "servers/crashes/call_traits.h"

namespace cassiausher {

/// No stream of a route with this timeout is older when its caller takes it up.
/// A service that has had one software version only for so long had it when the
/// stream began.
Duration MaxStreamAge(Duration route_timeout);

/// What callers may name a stream by when they take it up.
struct StreamNames {
  /// Request that brought the first event; empty if the caller doesn't tell.
  StreamName request;
  /// What all attempts of the caller have in common.
  StreamName content;

  auto operator<=>(const StreamNames&) const = default;
};

StreamNames NamesOf(const RequestId& request, TraitId content);

struct OriginKeeperOptions {
  DataCentreId data_centre;
  /// Control instances that keep an origin, in two data centres if there are.
  std::size_t copies = 2;
  /// An event is passed on after this time even if nobody has confirmed the
  /// copy.
  Duration copy_timeout = Milliseconds(150);
  /// A copy that isn't confirmed is sent again after this time, since messages
  /// are lost with a connection.
  Duration copy_period = Milliseconds(500);
  /// How often a copy is sent, the first time included. By then a control
  /// instance that receives nothing counts as disconnected.
  int max_copy_sends = 6;
  /// A search ends after this time if a control instance hasn't answered.
  /// Longer than the connections of an instance that was frozen take to come
  /// back.
  Duration search_timeout = Milliseconds(1500);
  /// A control instance that hasn't answered is asked again after this time,
  /// since messages are lost with a connection.
  Duration search_period = Milliseconds(200);
  /// The answers of all connected control instances are waited for this long
  /// if only the content names the stream, since streams of two versions may
  /// have the same.
  Duration agreement_timeout = Milliseconds(150);
};

/// A connected control instance that keeps origins.
struct OriginStore {
  InstanceId instance;
  /// A process that has started anew has lost what it kept.
  Incarnation process{0};
  DataCentreId data_centre;

  auto operator<=>(const OriginStore&) const = default;
};

/// Identifies a request that waits for a copy or for a search.
using OriginTicket = StrongNumber<struct OriginTicketTag, std::uint64_t>;

/// Send this origin to a control instance.
struct OriginCopy {
  InstanceId store;
  std::uint64_t number = 0;
  StreamNames names;
  StreamOrigin origin;
};

/// Ask a control instance for the origin of a stream.
struct OriginSearch {
  InstanceId store;
  std::uint64_t number = 0;
  StreamName name;
};

/// A request need not wait any longer.
struct OriginOutcome {
  OriginTicket ticket{0};
  /// After Begin(): whether a copy is confirmed.
  bool copied = false;
  /// After Search(): null if nobody knows the stream.
  std::optional<StreamOrigin> origin;
  /// After Search(): control instances that hadn't answered.
  std::size_t unanswered = 0;
};

/// Not thread safe.
class OriginKeeper {
 public:
  explicit OriginKeeper(OriginKeeperOptions options)
      : options_(std::move(options)), own_(StreamOriginsOptions{}) {}

  /// Replaces the control instances to use. Origins with too few copies among
  /// them are sent again, and searches ask those that are new.
  /// `complete`: no other control instance is known. Otherwise one that isn't
  /// connected may know a stream that the others don't.
  void SetStores(const std::set<OriginStore>& stores, bool complete, Time now);

  /// A stream begins here. The outcome follows once a copy is confirmed.
  OriginTicket Begin(const StreamNames& names, const StreamOrigin& origin,
                     Time now);
  /// A stream is taken up here. The outcome follows at once if this instance
  /// knows its request, else once the control instances have answered. Without
  /// any, one is waited for.
  OriginTicket Search(const StreamNames& names, Time now);

  void OnStored(const InstanceId& from, std::uint64_t number);
  void OnAnswer(const InstanceId& from, std::uint64_t number,
                const std::optional<StreamOrigin>& origin, Time now);
  /// Ends waits that took too long and forgets expired streams. Call at least
  /// every 25 ms.
  void CheckTimeouts(Time now);

  // What has to be sent, and what is decided, since the last call.
  std::vector<OriginCopy> TakeCopies();
  std::vector<OriginSearch> TakeSearches();
  std::vector<OriginOutcome> TakeOutcomes();

  /// Streams that this instance began or continued and may be taken up.
  std::size_t streams() const { return copies_.size(); }

 private:
  /// Where the copies of an origin are, or are on their way to.
  struct Copies {
    Time expires_at{};
    std::set<OriginStore> stores;
  };
  struct PendingCopy {
    OriginTicket ticket{0};
    Time begun_at{};
  };
  /// A copy that its control instance hasn't confirmed.
  struct UnconfirmedCopy {
    StreamNames names;
    OriginStore store;
    Time sent_at{};
    int sends = 1;
  };
  struct PendingSearch {
    OriginTicket ticket{0};
    StreamNames names;
    Time begun_at{};
    Time asked_at{};
    std::set<OriginStore> asked;
    std::set<InstanceId> unanswered;
    /// What the answers so far tell together.
    std::optional<StreamOrigin> found;
  };

  /// The name that the stream is searched by.
  static const StreamName& KeyOf(const StreamNames& names);
  void AddOwn(const StreamNames& names, const StreamOrigin& origin, Time now);
  /// Sends the origin to further control instances until there are enough
  /// copies, and returns the number of the messages.
  std::uint64_t CopyWhereMissing(const StreamNames& names,
                                 const StreamOrigin& origin, Time now);
  /// Sends copies again that were not confirmed in time.
  void RepeatCopies(Time now);
  void AskNewStores(std::uint64_t number, PendingSearch& search);
  void AskAgain(std::uint64_t number, PendingSearch& search, Time now);
  /// Whether the answers so far decide the search.
  bool IsDecided(const PendingSearch& search, Time now) const;
  /// Tells the outcome, and keeps the copies of what was found up from now on.
  void Conclude(const PendingSearch& search, Time now);
  /// The control instance for the next copy; null if there is none.
  const OriginStore* ChooseStore(const StreamName& name,
                                 const std::set<OriginStore>& used) const;
  /// Whether a copy there survives the loss of this data centre, or none can.
  bool IsSafe(const InstanceId& store) const;

  OriginKeeperOptions options_;
  std::set<OriginStore> stores_;
  bool stores_are_complete_ = false;
  StreamOrigins own_;
  std::map<StreamNames, Copies> copies_;
  /// By the number of their messages.
  std::map<std::uint64_t, PendingCopy> pending_copies_;
  std::map<std::uint64_t, PendingSearch> pending_searches_;
  /// By the number of the message and its receiver.
  std::map<std::pair<std::uint64_t, InstanceId>, UnconfirmedCopy>
      unconfirmed_copies_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::vector<OriginCopy> copies_to_send_;
  std::vector<OriginSearch> searches_to_send_;
  std::vector<OriginOutcome> outcomes_;
};

}  // namespace cassiausher

#endif  // SERVERS_ENTRY_ORIGIN_KEEPER_H_
