#pragma once

#include "request_world.h"

namespace bilberrytrail {

// Opens nothing: the fake link authenticates nobody.
class NoSeal final : public PeerSeal
{
public:
  std::string Seal(const DaemonId& /*aReceiver*/,
                   std::string_view aBody) override
  {
    return std::string(aBody);
  }
  std::string SealForAny(std::string_view aBody) override
  {
    return std::string(aBody);
  }
  Result<PeerMessage> Open(std::string_view /*aWire*/) override
  {
    return Fail(ErrorCode::Unauthorized, "no seals here");
  }
  Result<PeerMessage> OpenForAny(std::string_view /*aWire*/) override
  {
    return Fail(ErrorCode::Unauthorized, "no seals here");
  }
};

// One daemon: the real request path on fake adapters.
class RequestWorld::Node
{
public:
  Node(RequestWorld& aWorld, std::string aName);

  DaemonId mId;
  bool mDead = false;
  // The request that this entry serves now.
  CallerRecord* mCaller = nullptr;
  DaemonSettings mSettings;
  ControlViewHolder mViews;
  HomeService mHomes;
  DaemonParts mParts;
  RpcMethods mMethods;
  NoSeal mSeal;
  ThreadContext mThread;
  DaemonMetrics mMetrics;
  CallerService mCallers;
};

} // namespace bilberrytrail
