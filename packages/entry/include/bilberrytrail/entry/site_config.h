#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

using ServiceId = Id<struct ServiceTag>;

// What may be repeated of the requests of a route.
enum class RequestKind : unsigned char
{
  // May run any number of times.
  Idempotent,
  // May run once at most.
  NonIdempotent,
  // As NonIdempotent, and answered by a stream of events.
  Streaming
};

template<>
struct EnumNames<RequestKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "idempotent",
                                                           "non_idempotent",
                                                           "streaming" };
};

// A service that takes a part of a route's requests.
struct RouteTarget
{
  ServiceId mService;
  double mWeight = 1;
};

// Which service answers the requests to one host and path prefix, and how.
struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPrefix;
  RequestKind mKind = RequestKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  // Longest time that a caller is kept waiting.
  Duration mTimeout = 15s;
  // Time to the answer, or to its first event, that callers expect.
  Duration mObjective = 1s;
  // 0 is the most urgent.
  unsigned mPriority = 5;
  // Largest number of servers that may run one request.
  unsigned mMaxAttempts = 1;
  // Requests need no key.
  bool mAnonymous = false;
  // Requests carry prompts whose parts are shared with others.
  bool mHasPrompts = false;
  // A stream that was cut may go on at another server.
  bool mResumable = false;
};

// A client account and the keys that its requests may carry.
struct ClientAccount
{
  AccountId mName;
  std::vector<std::string> mKeys;
  // Goes before the priority of the route.
  std::optional<unsigned> mPriority;
  // Shares no kept KV cache with other accounts.
  bool mIsolated = false;
};

// A service with backend servers.
struct BackendService
{
  ServiceId mName;
  // The servers run models; the fields below are of these only.
  bool mIsEngine = false;
  // Requests that a server runs at once.
  std::uint64_t mSlots = 0;
  // Tokens that a server has memory for.
  std::uint64_t mCacheTokens = 0;
  // Bytes of KV cache for a token.
  std::uint64_t mTokenBytes = 0;
  std::vector<ModelId> mModels;
};

// A store VM that keeps KV cache for the servers.
struct CacheStore
{
  StoreId mName;
  Endpoint mEndpoint;
  ZoneId mZone;
  std::uint64_t mCapacityTokens = 0;
  double mBytesPerSecond = 0;
  // The store drops nothing by itself.
  bool mIsManaged = false;
};

// Bounds on what a caller may send.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 4 * 1024 * 1024;
  Duration mReadTime = 3s;
  Duration mIdleTime = 15s;
};

// The configuration that the operator has put in force.
struct SiteConfig
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ClientAccount> mAccounts;
  std::vector<BackendService> mServices;
  std::vector<CacheStore> mStores;
  CallerLimits mLimits;
};

// A model's weights that the operator has named as the newest.
struct WeightTarget
{
  ModelId mModel;
  std::uint64_t mVersion = 0;
};

} // namespace bilberrytrail
