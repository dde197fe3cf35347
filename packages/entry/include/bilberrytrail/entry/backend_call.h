#pragma once

#include <bilberrytrail/entry/caller_request.h>
#include <bilberrytrail/entry/server_record.h>

#include <bilberrytrail/runtime/http_client.h>

#include <memory>

namespace bilberrytrail {

// Where a server reads the KV cache of one part of a prompt from, and where it
// keeps it.
struct CachePlace
{
  // Empty when the part is not read, or not kept.
  std::optional<Endpoint> mFrom;
  std::optional<Endpoint> mTo;
};

// One attempt at a request, as sent to a backend server.
struct BackendCall
{
  ServerId mServer;
  Endpoint mEndpoint;
  // Time until the caller's deadline.
  Duration mTimeLeft{};
  // The caller's client account; empty for requests without a key.
  AccountId mAccount;
  // Prompts share kept KV cache only when they have the same salt.
  std::string mCacheSalt;
  // Version of the weights that the server must have; 0 for any.
  std::uint64_t mWeightVersion = 0;
  // 0 is the most urgent of 10 ranks.
  std::optional<unsigned> mPriority;
  // Id of the last event that the caller received; empty to start the stream
  // from its beginning.
  std::string mResumeAfter;
  // One entry for each part of the prompt, or none at all.
  std::vector<CachePlace> mCache;
  // Time at which the server gives up reading kept KV cache, on the servers'
  // clock in milliseconds; none for no limit.
  std::optional<std::uint64_t> mCacheReadDeadlineMs;
  // The request was sent to this address before: what comes on a connection
  // kept since then may answer the earlier send.
  bool mIsRepeat = false;
  // Connect timeout.
  Duration mConnectTime = 250ms;
};

// Why an attempt failed.
enum class SendFault : unsigned char
{
  // No connection was opened; nothing was sent.
  NoConnection,
  // The server has no room.
  Full,
  // The address belongs to another server, or the server has another version
  // loaded.
  WrongServer,
  WrongVersion,
  // The connection ended or fell silent after the request was sent.
  Broken,
  // The answer cannot be parsed, or does not come from the server itself.
  Garbled,
  TimedOut,
  // The caller has left.
  Cancelled
};

template<>
struct EnumNames<SendFault>
{
  static constexpr std::array<std::string_view, 8> kNames{
    "no_connection", "full",    "wrong_server", "wrong_version",
    "broken",        "garbled", "timed_out",    "cancelled"
  };
};

// A failed attempt.
struct SendFailure
{
  SendFault mFault = SendFault::Broken;
  // The server provably did not run the request.
  bool mNotRun = false;
  std::string mDetail;
  // Requests per second that the server takes from all daemons together, if its
  // refusal named a limit.
  std::optional<double> mRequestLimit = std::nullopt;
  // The server said in its refusal that it is leaving.
  bool mIsLeaving = false;
  // Time for which the server wants no requests from this daemon, if its
  // refusal named one.
  std::optional<Duration> mPause = std::nullopt;
};

// The answer to one attempt, read piece by piece. Destroying it before its end
// cancels the request at the server.
class BackendAnswer
{
public:
  virtual ~BackendAnswer() = default;

  [[nodiscard]] virtual const AnswerHead& Head() const noexcept = 0;
  // Returns the version of the weights that produced the answer, if the server
  // named it.
  [[nodiscard]] virtual std::optional<std::uint64_t> WeightVersion()
    const noexcept = 0;
  // Returns the requests per second that the server takes from all daemons
  // together, if the answer named a limit.
  [[nodiscard]] virtual std::optional<double> RequestLimit() const noexcept = 0;
  // Returns whether the answer says that the server is leaving.
  [[nodiscard]] virtual bool IsLeaving() const noexcept = 0;
  // Returns the time for which the server wants no requests from this daemon,
  // if the answer turns the request away and names one.
  [[nodiscard]] virtual std::optional<Duration> Pause() const noexcept = 0;
  // Returns whether only the end of the connection ends the answer, so that a
  // server that ends early looks like one that is done.
  [[nodiscard]] virtual bool EndsWithConnection() const noexcept = 0;
  // Waits for the next bytes; returns nothing at the regular end of the answer.
  // Fails with Timeout from the deadline on, even if more bytes have arrived.
  [[nodiscard]] virtual Result<std::optional<std::string>> Read(
    Instant aDeadline) = 0;
};

// Sends requests to backend servers. It only translates; all decisions are the
// caller's.
class BackendPort
{
public:
  virtual ~BackendPort() = default;

  // Sends a request and waits for the head of the answer, at most for aHeadTime
  // or until it is cancelled.
  [[nodiscard]] virtual Result<std::unique_ptr<BackendAnswer>, SendFailure>
  Send(const BackendCall& aCall,
       const CallerRequest& aRequest,
       Duration aHeadTime,
       HttpCancel& aCancel) = 0;
  // Opens a connection to a server, closes it again, and returns what became of
  // it within the timeout.
  [[nodiscard]] virtual ConnectOutcome Probe(const Endpoint& aEndpoint,
                                             Duration aTimeout) = 0;
  // Closes pooled connections to a server that was removed or cannot be
  // reached.
  virtual void Forget(const Endpoint& aEndpoint) = 0;
};

} // namespace bilberrytrail
