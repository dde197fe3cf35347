#pragma once

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/entry/request_flow.h>

#include <algorithm>

namespace bilberrytrail {

// Returns a share of a time, in bounds.
[[nodiscard]] inline Duration
ShareOf(Duration aTime, double aShare, Duration aLeast, Duration aMost)
{
  return std::clamp(FromMillis(ToMillis(aTime) * aShare), aLeast, aMost);
}

// Handles one request from its arrival to its end.
class RequestRun
{
public:
  RequestRun(FlowContext& aContext,
             const CallerRequest& aRequest,
             CallerSink& aSink)
    : mContext(aContext)
    , mRequest(aRequest)
    , mSink(aSink)
    , mArrivedAt(MonotonicNow())
    , mArrivedAtBoot(BootNow())
    , mDeadline(mArrivedAt)
  {
  }

  void Run();
  // Ends the request while Run is in progress, since the daemon exits. Call on
  // the loop's thread.
  void Stop();
  // Refuses the request, since the daemon exits soon.
  void RefuseStopping();

private:
  // A request with less time left is not sent.
  static constexpr Duration kMinTimeLeft = 10ms;
  static constexpr unsigned kFirstNonSuccessStatus = 300;
  static constexpr unsigned kFirstServerErrorStatus = 500;

  // What to do after a send has ended.
  enum class Next : unsigned char
  {
    Send,
    Done
  };

  bool FindRoute();
  bool FindAccount();
  bool LookUpRoute();
  bool LookUpAccount();
  bool AwaitEvidence();
  // Takes the newest view, and what it rests on.
  void TakeView();
  bool SetDeadline();
  void SendUntilAnswered();
  Next SendOnce();
  Next OnFailure(const SendFailure& aFailure);
  Next OnAnswer(BackendAnswer& aAnswer);
  Next RelayWhole(BackendAnswer& aAnswer);
  Next RelayStream(BackendAnswer& aAnswer);
  Next OnStreamBroken(const Error& aError);
  // Returns whether the end of the answer is that of its server's process.
  // Waits for a check of the server.
  [[nodiscard]] bool HasEndedWithServer(const BackendAnswer& aAnswer);
  // Returns why a stream that has ended was broken off; null if it is whole.
  [[nodiscard]] const char* EndFault(const BackendAnswer& aAnswer);
  Next EndStream(const std::string& aRest);
  bool ChooseServer();
  // Places the request through a home. Returns nothing when this daemon must
  // choose the server itself, else whether a server was chosen; if not, the
  // request has been refused.
  std::optional<bool> ChooseByHome();
  // Refuses a request for which no server is left.
  void RefuseUnserved();
  // Refuses a request that is in quarantine, or a prompt with a part that is.
  // Returns whether it did.
  bool RefuseQuarantined();
  // Returns the key by which the request is recognized when it comes again.
  [[nodiscard]] PartKey RequestKey();
  // Before a request that may have crashed servers is sent once more, waits
  // until that is known.
  void AwaitVerdict();
  // Records that bytes of the answer to the current send have come.
  void NoteProgress();
  // Records that the answer to the current send goes on.
  void NoteAnswerGoesOn(bool aIsWhole);
  // Records how the current send ended without its answer, or that the server
  // turned it away.
  void NoteFailure(SendFault aFault);
  // Returns what the current send holds against the request if its server ends
  // now; nothing once its answer goes on.
  [[nodiscard]] std::optional<CrashWatch::SendTrace> Trace();
  // Refuses a prompt that could not be answered in time.
  void RefuseLate(Duration aRetryDelay);
  // Refuses a request since the servers have reached their rate limits.
  void RefuseLimited(Duration aRetryDelay);
  // Records whether the server's answer to the current send names a rate limit.
  void ObserveLimit(std::optional<double> aLimit);
  // Refuses a request since all servers of the service have asked for a pause.
  void RefusePaused(Duration aRetryDelay);
  // Records whether the server's answer to the current send says that it is
  // leaving or wants no requests for a time.
  void ObserveAvoidance(bool aIsLeaving, std::optional<Duration> aPause);
  // Returns the time until a server of the service may be used again; nothing
  // unless all of them are avoided and one of them pauses.
  [[nodiscard]] std::optional<Duration> PauseDelay() const;
  [[nodiscard]] ServerQuery MakeQuery() const;
  [[nodiscard]] BackendCall MakeCall();
  [[nodiscard]] std::string CacheSalt(std::uint64_t aWeightVersion) const;
  // Returns the newest version announced for the prompt's model; 0 when there
  // is none.
  [[nodiscard]] std::uint64_t NewestWeights() const;
  [[nodiscard]] double Work() const noexcept;
  // Returns the rank of the request; 0 is the most urgent.
  [[nodiscard]] unsigned Rank() const noexcept;
  // Returns whether the request may run more than once.
  [[nodiscard]] bool IsIdempotent() const noexcept;
  [[nodiscard]] bool MayRetry() const noexcept;
  [[nodiscard]] bool TryRetry();
  [[nodiscard]] Duration TimeLeft() const noexcept;
  [[nodiscard]] Duration HeadTimeout() const noexcept;
  // Returns the bound for requests that begin on the chosen server's weights;
  // nothing when no newer ones are announced.
  [[nodiscard]] std::optional<Instant> WeightsBound() const;
  // Returns whether the bound is so near that the chosen server must not get
  // the request.
  [[nodiscard]] bool IsPastWeightsBound() const;
  // Limits a call, and the wait for the server's first answer, so that the
  // server does not begin the request after the bound.
  void LimitToWeights(BackendCall& aCall);
  // Returns the time left to wait for the server to begin the request.
  [[nodiscard]] Duration BeginTimeLeft() const noexcept;
  // Logs that the request has begun on older weights than the newest.
  void NoteOldWeights();
  void EndSend(SendOutcome aOutcome);
  // Reports the end of the grant to its home.
  void EndGrant(SendOutcome aOutcome);
  void CutStream(RefusalReason aReason);
  // Refuses the request, or cuts its stream when the stream has begun.
  void Refuse(RefusalReason aReason,
              std::string aText,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void RefuseUnknownSite(std::string aText);
  [[nodiscard]] Duration RetryDelay() const noexcept;
  void NoteDone(unsigned aStatus);
  void NoteCallerLeft();
  // Ends a request that was cancelled, by its caller or by Stop.
  void EndCancelled();
  [[nodiscard]] SeriesLabels Labels() const;
  // Returns the version of the configuration that the request is handled by; 0
  // without one.
  [[nodiscard]] std::uint64_t ConfigVersion() const noexcept;
  // Returns the time for which that configuration may have been outdated when
  // the request arrived; negative when its evidence is younger.
  [[nodiscard]] LogField EvidenceField() const;
  // Returns the tokens of the prompt; 0 for a request without one.
  [[nodiscard]] std::uint64_t PromptTokens() const noexcept;

  FlowContext& mContext;
  const CallerRequest& mRequest;
  CallerSink& mSink;
  const Instant mArrivedAt;
  const Instant mArrivedAtBoot;
  Instant mDeadline;
  // The view in force when the request arrived; its route and account hold
  // until the request has ended.
  std::shared_ptr<const SiteView> mView;
  SiteEvidence mEvidence;
  // The view in force when the server of the current send was chosen.
  std::shared_ptr<const SiteView> mSendView;
  const Route* mRoute = nullptr;
  const ClientAccount* mAccount = nullptr;
  ServiceId mService;
  AttemptLedger mLedger;
  HttpCancel mCancel;
  bool mIsStopped = false;
  // Parts of the prompt that other prompts may have too.
  std::vector<PartKey> mParts;
  std::optional<PartKey> mRequestKey;
  // Sends whose connections were lost before the answer.
  std::size_t mBrokenSends = 0;
  ServerQuery mQuery;
  ChosenServer mChoice;
  SendTicket mTicket;
  // When the current send began.
  Instant mSentAt;
  // Until when the server may begin the current send.
  Instant mBeginBy;
  // First event of the answer to the current send.
  std::optional<Instant> mAnswerBegunAt;
  // Whether the server of the current send went on after it had begun to
  // answer.
  bool mHasAnswerGoneOn = false;
  // The current send, to the watch over its server.
  std::optional<CrashWatch::Send> mWatched;
  // Ticket of the home's grant for the current send.
  std::optional<std::uint64_t> mGrant;
  // Whether a home chose the server of the current send.
  bool mIsByHome = false;
  std::vector<ServerId> mTried;
  // Addresses to which the request was sent.
  std::vector<Endpoint> mSentTo;
  std::size_t mSends = 0;
  // Sends that the servers may have run.
  std::size_t mRuns = 0;
  std::size_t mRefusedSends = 0;
  std::size_t mFailedConnections = 0;
  EventSplitter mEvents;
  bool mStreamHasBegun = false;
  std::optional<Instant> mFirstAt;
};

} // namespace bilberrytrail
