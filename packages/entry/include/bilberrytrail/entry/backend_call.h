#pragma once

#include <bilberrytrail/entry/caller_request.h>
#include <bilberrytrail/entry/server_record.h>

#include <bilberrytrail/runtime/http_client.h>

#include <memory>

namespace bilberrytrail {

// Where the KV cache of one part of a prompt is read from or kept.
struct CachePlace
{
  // Nothing when the part is neither read nor kept.
  std::optional<Endpoint> mFrom;
  std::optional<Endpoint> mTo;
};

// One attempt at a request, as sent to a backend server.
struct BackendCall
{
  ServerId mServer;
  Endpoint mEndpoint;
  // Time that the caller still waits.
  Duration mTimeLeft{};
  // The account of the caller; empty for requests without a key.
  AccountId mAccount;
  // Prompts share kept KV cache only under the same text.
  std::string mCacheSalt;
  // Version of the weights that the server must have; 0 for any.
  std::uint64_t mWeightVersion = 0;
  // 0 is the most urgent of 10 ranks.
  std::optional<unsigned> mPriority;
  // Last event that the caller has; empty for a stream from its beginning.
  std::string mResumeAfter;
  // One for each part of the prompt, or none at all.
  std::vector<CachePlace> mCache;
  // When a read of kept KV cache is given up, on the servers' clock in
  // milliseconds; none for never.
  std::optional<std::uint64_t> mCacheReadDeadlineMs;
  // Longest time to open a connection.
  Duration mConnectTime = 250ms;
};

// Why an attempt brought no answer.
enum class SendFault : unsigned char
{
  // No connection; nothing was sent.
  NoConnection,
  // The server has no room.
  Full,
  // Another server has the address, or another version is loaded.
  WrongServer,
  WrongVersion,
  // The connection ended or fell silent behind the request.
  Broken,
  // The answer cannot be read, or is not the server's own.
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
  // It is proved that the server did not run the request.
  bool mNotRun = false;
  std::string mDetail;
};

// The answer to one attempt, read piece by piece. Destroying it before its end
// makes the server stop.
class BackendAnswer
{
public:
  virtual ~BackendAnswer() = default;

  [[nodiscard]] virtual const AnswerHead& Head() const noexcept = 0;
  // Returns the version of the weights that served it, if it says so.
  [[nodiscard]] virtual std::optional<std::uint64_t> WeightVersion()
    const noexcept = 0;
  // Waits for the next bytes; nothing at the clean end.
  [[nodiscard]] virtual Result<std::optional<std::string>> Read(
    Duration aTimeout) = 0;
};

// Sends requests to backend servers. It translates and decides nothing.
class BackendPort
{
public:
  virtual ~BackendPort() = default;

  // Sends a request and waits for the head of the answer for aHeadTime at most,
  // or until it is cancelled.
  [[nodiscard]] virtual Result<std::unique_ptr<BackendAnswer>, SendFailure>
  Send(const BackendCall& aCall,
       const CallerRequest& aRequest,
       Duration aHeadTime,
       HttpCancel& aCancel) = 0;
  // Closes kept connections to a server that has gone.
  virtual void Forget(const Endpoint& aEndpoint) = 0;
};

} // namespace bilberrytrail
