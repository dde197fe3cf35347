#pragma once

#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/server_load.h>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bilberrytrail {

// What a request asks of the choice of its server.
struct ServerQuery
{
  ServiceId mService;
  // Set for prompts.
  std::optional<ModelId> mModel;
  // Version of the model's weights to prefer; 0 for none.
  std::uint64_t mNewestVersion = 0;
  // Servers with older weights are not used while one with these is listed; 0
  // for none.
  std::uint64_t mLeastVersion = 0;
  // Requests with the same value, other than 0, go to the same server while it
  // has room, so that they find each other's KV cache.
  std::uint64_t mAffinity = 0;
  // Estimated work until the first event: tokens to read, or 1 for a request
  // without a prompt.
  double mWork = 1;
  // Tokens to read besides at a server that keeps none of the shared parts.
  double mMissWork = 0;
  // Tokens of the shared parts.
  double mSharedTokens = 0;
  // Tokens of memory that the request takes while it runs, and that a server
  // has; 0 when they are not known.
  double mMemory = 0;
  double mServerMemory = 0;
  // Requests of one kind take about the same time.
  std::uint64_t mKind = 0;
  // Time to the first event that callers expect.
  Duration mObjective = 1s;
  // 0 is the most urgent of kRanks; servers begin urgent requests first.
  unsigned mRank = 0;
  // Servers that were tried for this request.
  std::vector<ServerId> mTried;
};

// Why a server was chosen.
enum class ChoiceReason : unsigned char
{
  // The first by affinity.
  Affinity,
  // The first by affinity would answer later.
  Spilled,
  // The soonest, without affinity.
  Soonest,
  // All servers have failed of late; this one the longest ago.
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
  // Version of the model's weights that it is believed to have; 0 without a
  // model.
  std::uint64_t mWeightVersion = 0;
  ChoiceReason mReason = ChoiceReason::Soonest;
  // Estimated time to the first event.
  Duration mTime{};
  // Servers of the service that could have been chosen.
  std::size_t mCandidates = 0;
};

// How a send ended, as far as the server's health is concerned.
enum class SendOutcome : unsigned char
{
  Answered,
  // The server answered that it failed.
  ServerError,
  // The server answered that it has no room.
  Full,
  NoConnection,
  WrongServer,
  WrongVersion,
  Broken,
  // The caller left, or its time was over.
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

// A change of what the pool believes of a server's health.
struct HealthChange
{
  ServerId mServer;
  bool mEjected = false;
  SendOutcome mCause = SendOutcome::Answered;
  Duration mFor{};
};

// Times and bounds of the choice.
struct ServerPoolSettings
{
  // A server that failed is left out for mFirstEjection, twice as long after
  // each further failure up to mMaxEjection.
  Duration mFirstEjection = 400ms;
  Duration mMaxEjection = 4s;
  // Failures in a row, without a connection failing, that eject a server:
  // single answers are lost on sound servers too.
  unsigned mFailuresToEject = 3;
  // A server without room, or loading weights, is left out for mFirstFullTime,
  // twice as long each further time up to mMaxFullTime.
  Duration mFirstFullTime = 150ms;
  Duration mMaxFullTime = 1200ms;
  // The same for a server whose weights are not the newest: it probably loads
  // them, which shows in the list of servers when it is done.
  Duration mLoadingTime = 3s;
  // How long a server counts as loading that was told to load; told again
  // sooner while it does.
  Duration mNoticeTime = 1500ms;
  // A server that sent nothing for this multiple of the objective, within the
  // bounds, while a request waits at it gets no more until it does.
  double mSilenceObjectives = 2.0;
  Duration mMinSilence = 300ms;
  Duration mMaxSilence = 1200ms;
  // Tokens that a server reads in a millisecond, as the estimates assume it.
  double mTokensPerMs = 100;
  // Work of a stream that has begun, in tokens to read.
  double mRunningTokens = 150;
  // How soon an observed delay loses its weight.
  Duration mDelayLifetime = 800ms;
  // Weight of the newest observed delay.
  double mDelayWeight = 0.5;
  // Reading a prompt's shared parts again is not only slow but takes a server's
  // time from others: this multiple of its time is counted.
  double mMissFactor = 1.5;
  // Estimated time that older weights are worth, as a share of the objective.
  double mOldWeightsObjectives = 0.5;
  // The usual time of a kind counts up to this share of its objective, so that
  // it alone never keeps all of them away.
  double mUsualObjectives = 0.25;
  // All prompts of the servers go through this pool, so that it knows which
  // shared parts they read of late. Else the first server by affinity is taken
  // to keep them.
  bool mSeesAllPrompts = false;
  // Weight of the newest time for which a prompt held memory.
  double mHoldWeight = 0.05;
  // Typical time of a request without a prompt, before one was seen.
  Duration mPlainTime = 15ms;
  // Time by which a server in another zone must be sooner, for requests
  // without prompts.
  Duration mZoneTime = 4ms;
};

// Identifies one send to one server.
using SendTicket = Number<struct SendTicketTag>;

// The backend servers as this daemon knows them: the list, the work that this
// daemon has at each, and how its sends to them ended. Not thread-safe.
//
//   auto choice = pool.Choose(query, now);
//   auto ticket = pool.Begin(choice->mServer, query, now);
//   ...
//   pool.End(ticket, SendOutcome::Answered, now);
class ServerPool
{
public:
  ServerPool(ZoneId aOwnZone, const ServerPoolSettings& aSettings);
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  // Returns the server for a request, or nothing when there is none to try.
  [[nodiscard]] std::optional<ChosenServer> Choose(const ServerQuery& aQuery,
                                                   Instant aNow);

  // Takes in the list of servers. Returns the addresses of those that went.
  std::vector<Endpoint> Update(std::span<const ServerRecord> aServers,
                               Instant aNow);
  // Notes that a request is about to be sent.
  [[nodiscard]] SendTicket Begin(const ServerId& aServer,
                                 const ServerQuery& aQuery,
                                 Instant aNow);
  // Notes that bytes of an answer have come.
  void OnProgress(SendTicket aTicket, Instant aNow);
  // Notes how a send ended. Returns the change of health, if any.
  std::optional<HealthChange> End(SendTicket aTicket,
                                  SendOutcome aEnd,
                                  Instant aNow);
  // Takes in which servers load weights, as told by the daemon that orders
  // them; it counts for mNoticeTime.
  void SetLoading(const std::set<ServerId>& aServers, Instant aNow);
  // Notes that a server without room has older weights than the newest.
  void ExpectLoading(const ServerId& aServer, Instant aNow);
  // Notes the version of a model's weights that an answer named.
  void ObserveVersion(const ServerId& aServer,
                      const ModelId& aModel,
                      std::uint64_t aVersion);
  // Notes that a server has not the version that it was believed to have.
  void DenyVersion(const ServerId& aServer,
                   const ModelId& aModel,
                   std::uint64_t aVersion,
                   std::uint64_t aNewestVersion);

private:
  struct Server;
  struct Send;
  using Candidates = std::vector<Server*>;

  [[nodiscard]] std::uint64_t LeastVersion(const ServerQuery& aQuery) const;
  [[nodiscard]] Candidates Usable(const ServerQuery& aQuery,
                                  Instant aNow,
                                  Candidates& aEjected);
  [[nodiscard]] bool IsSilent(const Server& aServer,
                              Duration aObjective,
                              Instant aNow) const;
  // Work that a server does before it begins a request of a rank, as far as
  // this daemon gave it the work.
  [[nodiscard]] double WorkBefore(const Server& aServer,
                                  unsigned aRank,
                                  Instant aNow) const noexcept;
  [[nodiscard]] Duration TimeOf(double aTokens) const noexcept;
  // The usual time of a kind of prompts beyond the known work.
  [[nodiscard]] Duration UsualTimeOf(const ServerQuery& aQuery) const;
  // Tokens to read besides at a server, by whether it keeps the shared parts.
  [[nodiscard]] double MissAt(const ServerQuery& aQuery,
                              const Server& aServer,
                              std::size_t aPlace) const;
  // The time until requests that run at a server, of the same or more urgent
  // ranks, have left memory for one more.
  [[nodiscard]] Duration MemoryTime(const ServerQuery& aQuery,
                                    const Server& aServer) const;
  // The delay that requests of a rank meet at a server beyond their usual time
  // and the known work, by those of late and those that still wait. Less
  // urgent requests wait for others that they meet, so that their delays say
  // nothing here.
  [[nodiscard]] Duration DelayOf(const Server& aServer,
                                 unsigned aRank,
                                 Instant aNow) const;
  // The estimated time to the first event at a server; aPlace is its place by
  // affinity.
  [[nodiscard]] Duration TimeAt(const ServerQuery& aQuery,
                                const Server& aServer,
                                std::size_t aPlace,
                                Instant aNow) const;
  // The estimated time, and what older weights are worth.
  [[nodiscard]] Duration CostAt(const ServerQuery& aQuery,
                                const Server& aServer,
                                std::size_t aPlace,
                                Instant aNow) const;
  // Sorts by affinity, or takes turns without.
  void Order(const ServerQuery& aQuery, Candidates& aCandidates);
  [[nodiscard]] ChosenServer ToChoice(const ServerQuery& aQuery,
                                      const Server& aServer,
                                      ChoiceReason aReason,
                                      std::size_t aCandidates) const;
  // Learns from the time to the first bytes of an answer.
  void NoteBegin(Server& aServer, const Send& aSend, Instant aNow);
  std::optional<HealthChange> Fail(Server& aServer,
                                   SendOutcome aEnd,
                                   Instant aNow);

  const ZoneId mOwnZone;
  const ServerPoolSettings mSettings;
  std::map<ServerId, std::unique_ptr<Server>> mServers;
  std::map<SendTicket, Send> mSends;
  // By kind of request.
  std::map<std::uint64_t, UsualTime> mUsual;
  // Time for which prompts hold memory, on average of late.
  Duration mHoldTime{};
  std::uint64_t mLastTicket = 0;
  std::uint64_t mTurn = 0;
};

} // namespace bilberrytrail
