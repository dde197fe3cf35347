#pragma once

#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/part_quarantine.h>
#include <bilberrytrail/runtime/loop.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace bilberrytrail {

// One start of a server.
struct ServerStart
{
  ServerId mId;
  std::uint64_t mStartedAtMs = 0;
  Endpoint mEndpoint;
};

// How a send ended without its answer.
enum class SendLoss : unsigned char
{
  // The connection ended.
  Broken,
  // No answer came in time.
  Silent,
  // No connection could be opened.
  Unreachable
};

// Why a server counts as ended.
enum class ServerEnd : unsigned char
{
  RefusesConnections,
  Silent,
  Restarted
};

template<>
struct EnumNames<ServerEnd>
{
  static constexpr std::array<std::string_view, 3> kNames{
    "refuses_connections",
    "silent",
    "restarted"
  };
};

// Tells servers that have ended from those that are slow, out of reach for a
// moment, or only lost connections, and holds their ends against what waited at
// them. A server counts as ended when, after a send went without its answer,
//
// - it refuses new connections,
// - nothing has come from it for a while and it does not respond to new
//   connections either, as a host that has lost power, or
// - the list of servers names another start of it.
//
// The parts of all prompts that waited at the server count as waiting at its
// death. So do the requests that were sent to it about that time, and those
// that waited at an earlier death: a request that crashes servers does so when
// it begins. A server that answers later under the same start has not ended,
// and its death is taken back.
//
//   CrashWatch::Send send(watch, start, [&] { return trace; });
//   send.OnHeard();
//   send.OnLost(SendLoss::Silent);
class CrashWatch
{
public:
  // Within this time after a send broke off, the death of its server is known
  // and another one counts as a separate death, if its host is up.
  static constexpr Duration kVerdictTime = 80ms;

  // What is held against a request whose server has ended.
  struct SendTrace
  {
    // Shared parts of the prompt, in order.
    std::vector<PartKey> mParts;
    PartKey mRequest;
    Instant mSentAt;
  };

  class Send;

  // aRefresh passes the servers that are listed now to OnServers, and returns
  // the time on the boot clock before which they lack no change.
  CrashWatch(Loop& aLoop,
             BackendPort& aBackend,
             PartQuarantine& aParts,
             PartQuarantine& aRequests,
             std::function<Instant()> aRefresh = BootNow);
  ~CrashWatch();

  // Records a send that went without its answer. Does not wait for the check of
  // the server.
  void OnLost(const ServerStart& aStart, SendTrace aTrace, SendLoss aLoss);
  // Records the servers that are listed now.
  void OnServers(std::span<const ServerRecord> aServers);
  // Returns whether a server that has just closed a connection refuses new ones
  // or doesn't respond to them. Waits for the check.
  [[nodiscard]] bool HasEnded(const Endpoint& aEndpoint);

private:
  struct Server;
  using ServerPtr = std::shared_ptr<Server>;

  ServerPtr ServerOf(const ServerStart& aStart);
  void OnHeard(const ServerPtr& aServer);
  void OnLost(const ServerPtr& aServer,
              std::optional<SendTrace> aTrace,
              SendLoss aLoss);
  void BeginCheck(const ServerPtr& aServer);
  void Check(const ServerPtr& aServer);
  [[nodiscard]] ConnectOutcome ProbeTwice(const Endpoint& aEndpoint);
  void OnUnlisted(const ServerPtr& aServer);
  void OnRestart(const ServerPtr& aServer);
  void OnEnded(Server& aServer, ServerEnd aEnd, std::optional<Instant> aAt);
  // The first of the sends become suspect, and all those suspected before.
  void ChargeRequests(DeathId aDeath,
                      std::span<const SendTrace> aSends,
                      Instant aAt);
  [[nodiscard]] bool IsHeldAgainstAny(DeathId aDeath) const;
  // Takes the death of a server that answers back, unless the list shows that
  // it has started again.
  void AwaitNoRestart(const ServerPtr& aServer);

  Loop& mLoop;
  BackendPort& mBackend;
  PartQuarantine& mParts;
  PartQuarantine& mRequests;
  const std::function<Instant()> mRefresh;
  // The current start of each server with sends.
  std::map<ServerId, ServerPtr> mServers;
};

// A request at a server. Its trace is asked for when the server has ended;
// nothing once the server has survived the request.
class CrashWatch::Send
{
public:
  using TraceSource = std::function<std::optional<SendTrace>()>;

  Send(CrashWatch& aWatch, const ServerStart& aStart, TraceSource aTrace);
  ~Send();
  Send(const Send&) = delete;
  Send& operator=(const Send&) = delete;

  // Records that bytes have come from the server itself.
  void OnHeard();
  // Records that the send has ended without its answer. The server's death no
  // longer asks for the trace.
  void OnLost(SendLoss aLoss);

private:
  friend class CrashWatch;

  CrashWatch& mWatch;
  const ServerPtr mServer;
  const TraceSource mTrace;
  // The server counted as ended before the request was sent, or has ended
  // since: nothing more is held against the request.
  bool mIsSettled;
};

} // namespace bilberrytrail
