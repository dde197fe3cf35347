#pragma once

#include "control_view.h"
#include "home_message.h"
#include "peer_seal.h"

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/rpc.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace bilberrytrail {

// Paths that daemons serve to each other.
inline constexpr std::string_view kRpcPath = "/peer/rpc";
inline constexpr std::string_view kRunPath = "/peer/run";
// Longest silence of a home that runs a request; then it sends a blank line.
inline constexpr Duration kKeepAlivePeriod = 1s;

// Takes the frames of a home's answer.
class FrameSink
{
public:
  virtual ~FrameSink() = default;

  // Returns false once nobody wants further frames.
  [[nodiscard]] virtual bool IsOpen() noexcept = 0;
  // Returns true once the run may be cut although its frames have not ended,
  // as that of the loser of a race.
  [[nodiscard]] virtual bool IsAbandoned() noexcept { return false; }
  // Takes one frame; fails with Unavailable when the receiver has gone.
  virtual Result<void> Write(const HomeFrame& aFrame) = 0;
  // The request is about to be sent to its server.
  virtual void NoteSent() {}
};

// Calls other daemons from fibers of one traffic thread or of the control
// thread.
class PeerChannel
{
public:
  PeerChannel(HttpClient& aClient, PeerSeal& aSeal)
    : mClient(aClient)
    , mSeal(aSeal)
  {
  }
  virtual ~PeerChannel() = default;

  // Makes a JSON-RPC call.
  [[nodiscard]] virtual Result<Json> Call(const MemberRecord& aPeer,
                                          const std::string& aMethod,
                                          const Json& aParams,
                                          Duration aTimeout);
  // Makes a JSON-RPC call that has an effect: NotRun when the peer never saw
  // it, Unknown when it may have run.
  [[nodiscard]] virtual CallResult<Json> CallOnce(const MemberRecord& aPeer,
                                                  const std::string& aMethod,
                                                  const Json& aParams,
                                                  Duration aTimeout);
  // Sends a request to a home and passes each frame to the sink. Returns when
  // the answer has ended cleanly; NotSent in the error tells that the home
  // never saw the request.
  [[nodiscard]] virtual Result<void, HttpError> Run(const MemberRecord& aPeer,
                                                    const HomeRequest& aRequest,
                                                    FrameSink& aSink);
  // Cuts the answers of peers that have died, since a VM that was lost or is
  // frozen closes no connection, and abandoned answers. Runs on the thread's
  // loop, several times a second.
  void CutOver(const ControlView& aView);

private:
  // An answer that is being read.
  struct OpenRun
  {
    DaemonId mPeer;
    HttpStream& mStream;
    FrameSink& mSink;
  };

  [[nodiscard]] static Result<void, HttpError> Relay(HttpStream& aStream,
                                                     FrameSink& aSink);
  // Makes one exchange and notes whether it was sent.
  [[nodiscard]] Result<std::string> Exchange(const MemberRecord& aPeer,
                                             const std::string& aBody,
                                             Duration aTimeout,
                                             SendState& aSent);

  HttpClient& mClient;
  PeerSeal& mSeal;
  std::list<OpenRun> mRuns;
};

} // namespace bilberrytrail
