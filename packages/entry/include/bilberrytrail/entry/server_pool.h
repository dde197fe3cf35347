#pragma once

#include <bilberrytrail/entry/avoided_servers.h>
#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/rate_gate.h>
#include <bilberrytrail/entry/reading_speed.h>
#include <bilberrytrail/entry/server_load.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bilberrytrail {

// Requirements of a request on the choice of its server.
struct ServerQuery
{
  ServiceId mService;
  // Set for prompts.
  std::optional<ModelId> mModel;
  // Version of the model's weights to prefer; 0 for none.
  std::uint64_t mNewestVersion = 0;
  // Servers with older weights are not used, even when no server has this
  // version; 0 for no limit.
  std::uint64_t mLeastVersion = 0;
  // Requests with the same value other than 0 go to the same server while it
  // can take them, so that they reuse each other's KV cache.
  std::uint64_t mAffinity = 0;
  // Estimated work until the first event, in tokens to read; 1 for a request
  // without a prompt.
  double mWork = 1;
  // Additional tokens to read at a server that keeps none of the shared parts.
  double mMissWork = 0;
  // Tokens of the shared parts.
  double mSharedTokens = 0;
  // Memory that the request takes while it runs, and memory of a server, in
  // tokens; 0 when unknown.
  double mMemory = 0;
  double mServerMemory = 0;
  // Identifies requests that take about the same time.
  std::uint64_t mKind = 0;
  // Time to the first event that callers expect.
  Duration mObjective = 1s;
  // Rank below kRanks; 0 is the most urgent, and servers start urgent requests
  // first.
  unsigned mRank = 0;
  // Servers that the request may not be sent to: those that were already tried
  // for it, and those that its daemon avoids.
  std::vector<ServerId> mTried;
};

// Why a server was chosen.
enum class ChoiceReason : unsigned char
{
  // The first server in affinity order.
  Affinity,
  // A later server in affinity order, since the first one would answer later.
  Spilled,
  // The server with the lowest estimate, for a request without affinity.
  Soonest,
  // All servers are excluded, for example after failures; this one is due back
  // first.
  LastResort
};

template<>
struct EnumNames<ChoiceReason>
{
  static constexpr std::array<std::string_view, 4> kNames{ "affinity",
                                                           "spilled",
                                                           "soonest",
                                                           "last_resort" };
};

// A chosen server.
struct ChosenServer
{
  ServerId mServer;
  Endpoint mEndpoint;
  ZoneId mZone;
  // Version of the model's weights that the server probably has loaded; 0 for a
  // request without a model.
  std::uint64_t mWeightVersion = 0;
  ChoiceReason mReason = ChoiceReason::Soonest;
  // Estimated time to the first event.
  Duration mTime{};
  // Estimated time to the first event of a prompt of the average size of its
  // kind; equal to mTime for other requests.
  Duration mAdmissionTime{};
  // Number of servers that could have been chosen.
  std::size_t mCandidates = 0;
  // Start of the server's incarnation, as in its record.
  std::uint64_t mStartedAtMs = 0;
};

// How a send ended, as far as it affects the server's health.
enum class SendOutcome : unsigned char
{
  Answered,
  // The server answered with an error.
  ServerError,
  // The server answered that it has no room.
  Full,
  NoConnection,
  WrongServer,
  WrongVersion,
  Broken,
  // The caller left, or its deadline passed.
  Abandoned
};

template<>
struct EnumNames<SendOutcome>
{
  static constexpr std::array<std::string_view, 8> kNames{
    "answered",     "server_error",  "full",   "no_connection",
    "wrong_server", "wrong_version", "broken", "abandoned"
  };
};

// A server was ejected, or returned after an ejection.
struct HealthChange
{
  ServerId mServer;
  bool mEjected = false;
  SendOutcome mCause = SendOutcome::Answered;
  // Duration of an ejection that begins.
  Duration mEjectionTime{};
};

// Times and limits for the choice of servers.
struct ServerPoolSettings
{
  // A failed server is ejected for mFirstEjection; the time doubles with each
  // further ejection up to mMaxEjection.
  Duration mFirstEjection = 400ms;
  Duration mMaxEjection = 4s;
  // Consecutive failures, other than failed connections and wrong servers, that
  // eject a server: healthy servers lose single answers too.
  unsigned mFailuresToEject = 3;
  // Back-off for a server without room; doubles each further time up to
  // mMaxFullBackOff.
  Duration mFirstFullBackOff = 150ms;
  Duration mMaxFullBackOff = 1200ms;
  // Back-off for a server without room whose weights are not the newest: it is
  // probably loading them, and the list of servers shows when it has finished.
  Duration mLoadingTime = 3s;
  // Time for which a notice of loading holds; the sender repeats the notice
  // within this time while the server is loading.
  Duration mLoadingNoticeTime = 1500ms;
  // A server at which a request waits and that sent nothing for this multiple
  // of the objective, in bounds, gets no further requests until it sends
  // something.
  double mSilenceObjectives = 2.0;
  Duration mMinSilence = 300ms;
  Duration mMaxSilence = 1200ms;
  // Tokens that a server is assumed to read per millisecond, before its service
  // has shown how fast it is.
  double mTokensPerMs = 100;
  // Work that a running stream causes, in tokens to read.
  double mRunningTokens = 150;
  // Time constant with which an observed delay decays.
  Duration mDelayLifetime = 800ms;
  // Weight of a new sample of the delay.
  double mDelayWeight = 0.5;
  // Reading a prompt's shared parts again also delays the other requests of the
  // server, so its time is multiplied by this factor.
  double mMissFactor = 1.5;
  // Penalty on the estimate for older weights, as a share of the objective.
  double mOldWeightsObjectives = 0.5;
  // Penalty on the estimate for a server that has started or recovered and has
  // as much waiting as it is known to bear, as a share of the objective: it is
  // used beyond only when the others are further behind.
  double mPacedObjectives = 0.5;
  // Limit of a kind's baseline in the estimate, as a share of the objective, so
  // that a high baseline alone never gets all prompts of a kind refused.
  double mBaselineObjectives = 0.25;
  // Set when all prompts for the servers go through this pool, so that it knows
  // which shared parts they read recently. Otherwise the first server in
  // affinity order is assumed to keep them.
  bool mSeesAllPrompts = false;
  // Share of a server's memory that prompts may fill which are not the most
  // urgent: those that come later must not preempt them.
  double mLessUrgentMemory = 0.85;
  // Weight of a new sample of the time for which a prompt holds memory.
  double mHoldWeight = 0.05;
  // Assumed least time of a request without a prompt.
  Duration mPlainRequestTime = 15ms;
  // Penalty on the estimate for a server in another availability zone, for
  // requests without prompts.
  Duration mZonePenalty = 4ms;
};

// Identifies one send to one server.
using SendTicket = Number<struct SendTicketTag>;

// The backend servers as this daemon knows them: the list, the work that this
// daemon sent to each, and the outcomes of its sends. Not thread-safe.
//
//   auto choice = pool.Choose(query, now);
//   auto ticket = pool.Begin(choice->mServer, query, now);
//   ...
//   pool.End(ticket, SendOutcome::Answered, now);
class ServerPool
{
public:
  // aGate paces the requests to servers that name a rate limit, and may be
  // null; the owner records in it what is sent. The servers in aAvoided, which
  // may be null, are not chosen.
  ServerPool(ZoneId aOwnZone,
             const ServerPoolSettings& aSettings,
             RateGate* aGate = nullptr,
             const AvoidedServers* aAvoided = nullptr);
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  // Chooses the server for a request; returns nothing when no server is left to
  // try.
  [[nodiscard]] std::optional<ChosenServer> Choose(const ServerQuery& aQuery,
                                                   Instant aNow);

  // Returns the Retry-After for a request for which Choose found no server
  // because of rate limits; nothing when limits are not the reason.
  [[nodiscard]] std::optional<Duration> LimitDelay(const ServerQuery& aQuery,
                                                   Instant aNow);

  // Replaces the list of servers. Returns the endpoints of the servers that
  // were removed or restarted.
  std::vector<Endpoint> Update(std::span<const ServerRecord> aServers,
                               Instant aNow);
  // Records that a request is about to be sent.
  [[nodiscard]] SendTicket Begin(const ServerId& aServer,
                                 const ServerQuery& aQuery,
                                 Instant aNow);
  // Records that bytes of an answer have arrived.
  void OnProgress(SendTicket aTicket, Instant aNow);
  // Records how a send ended. Returns the change of the server's health, if
  // any.
  std::optional<HealthChange> End(SendTicket aTicket,
                                  SendOutcome aOutcome,
                                  Instant aNow);
  // Sets which servers are loading weights, as announced by the daemon that
  // orders the loading; it holds for mLoadingNoticeTime. A server that no
  // longer is has those that were the newest when it began, until it denies
  // that.
  void SetLoading(const std::set<ServerId>& aServers, Instant aNow);
  // Records that a server without room has weights older than the newest.
  void ExpectLoading(const ServerId& aServer, Instant aNow);
  // Records the version of a model's weights that an answer named.
  void ObserveVersion(const ServerId& aServer,
                      const ModelId& aModel,
                      std::uint64_t aVersion);
  // Records that a server does not have the version that it was assumed to
  // have.
  void DenyVersion(const ServerId& aServer,
                   const ModelId& aModel,
                   std::uint64_t aVersion,
                   std::uint64_t aNewestVersion);

private:
  struct Server;
  struct Send;
  using Candidates = std::vector<Server*>;

  // Returns whether a server can run the query at all, whatever its state.
  [[nodiscard]] bool IsEligible(const ServerQuery& aQuery,
                                const Server& aServer,
                                Instant aNow) const;
  [[nodiscard]] Candidates Usable(const ServerQuery& aQuery,
                                  Instant aNow,
                                  Candidates& aExcluded);
  [[nodiscard]] bool IsSilent(const Server& aServer,
                              Duration aObjective,
                              Instant aNow) const;
  // Returns the work in tokens, as far as this daemon sent it, that a server
  // does before it starts a request of this rank.
  [[nodiscard]] double WorkAheadOf(const Server& aServer,
                                   unsigned aRank,
                                   Instant aNow) const noexcept;
  // Returns the speed of a service's servers in tokens per millisecond.
  [[nodiscard]] double SpeedOf(const ServiceId& aService) const;
  [[nodiscard]] Duration TimeOf(const ServiceId& aService,
                                double aTokens) const;
  // Returns the baseline for prompts of the query's kind, limited by
  // mBaselineObjectives.
  [[nodiscard]] Duration BaselineTimeOf(const ServerQuery& aQuery) const;
  // Returns the additional tokens to read at a server, depending on whether it
  // keeps the shared parts; aPlace is its place in affinity order.
  [[nodiscard]] double MissAt(const ServerQuery& aQuery,
                              const Server& aServer,
                              std::size_t aPlace) const;
  // Returns the time until the requests that run at a server, of the same or
  // more urgent ranks, have released enough memory for this one.
  [[nodiscard]] Duration MemoryTime(const ServerQuery& aQuery,
                                    const Server& aServer) const;
  // Returns the delay of requests of a rank at a server beyond the known work
  // and the baseline, from recent answers and from sends that still wait. Only
  // the same and more urgent ranks count: less urgent requests wait for urgent
  // ones, so their delays say nothing about this rank.
  [[nodiscard]] Duration DelayOf(const Server& aServer,
                                 unsigned aRank,
                                 Instant aNow) const;
  // Returns the estimated time to the first event at a server; aPlace is its
  // place in affinity order.
  [[nodiscard]] Duration TimeAt(const ServerQuery& aQuery,
                                const Server& aServer,
                                std::size_t aPlace,
                                Instant aNow) const;
  // Returns the query with its work and memory scaled to the average size of
  // its kind. Admission uses it, so that prompts of all sizes are refused
  // equally often.
  [[nodiscard]] ServerQuery ScaledToAverage(const ServerQuery& aQuery) const;
  // Returns the estimated time, plus the penalties for older weights and for a
  // server that has as much waiting as its pace allows.
  [[nodiscard]] Duration CostAt(const ServerQuery& aQuery,
                                const Server& aServer,
                                std::size_t aPlace,
                                Instant aNow) const;
  // Returns the sends that wait at a server for their first event, of the same
  // or more urgent ranks.
  [[nodiscard]] std::size_t WaitingUpTo(const Server& aServer,
                                        unsigned aRank) const;
  // Sorts the candidates by affinity, or rotates them for a request without
  // affinity.
  void Order(const ServerQuery& aQuery, Candidates& aCandidates);
  [[nodiscard]] ChosenServer ToChoice(const ServerQuery& aQuery,
                                      const Server& aServer,
                                      ChoiceReason aReason,
                                      std::size_t aCandidates) const;
  void NoteSpeed(Server& aServer, const Send& aSend, Instant aNow);
  // Updates the baseline and the delay from the time to the first bytes of an
  // answer.
  void NoteBegin(Server& aServer, const Send& aSend, Instant aNow);
  // Tells the gate whether the server was reached.
  void NoteReached(const ServerId& aServer, SendOutcome aOutcome, Instant aNow);
  void AssumeLoaded(Server& aServer);
  std::optional<HealthChange> Fail(Server& aServer,
                                   SendOutcome aOutcome,
                                   Instant aNow);

  const ZoneId mOwnZone;
  const ServerPoolSettings mSettings;
  RateGate* const mGate;
  const AvoidedServers* const mAvoided;
  std::map<ServerId, std::unique_ptr<Server>> mServers;
  std::map<SendTicket, Send> mSends;
  // Sizes of the prompts that asked for a server, admitted or not, by kind of
  // request.
  std::map<std::uint64_t, AverageTokens> mSizes;
  // Newest versions that requests named.
  std::map<ModelId, std::uint64_t> mNewest;
  // Baselines by kind of request.
  std::map<std::uint64_t, BaselineTime> mBaseline;
  std::map<ServiceId, ReadingSpeed> mSpeeds;
  // Moving average of the time for which prompts hold memory.
  Duration mHoldTime{};
  std::uint64_t mLastTicket = 0;
  std::uint64_t mRoundRobin = 0;
  std::uint64_t mLastGeneration = 0;
  // Servers that come later have started since.
  bool mHasList = false;
};

} // namespace bilberrytrail
