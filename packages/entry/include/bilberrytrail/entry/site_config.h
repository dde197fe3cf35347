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

// Whether requests of a route may be repeated.
enum class RequestKind : unsigned char
{
  // May run any number of times.
  Idempotent,
  // May run once at most.
  NonIdempotent,
  // As NonIdempotent, and answered with an event stream.
  Streaming
};

template<>
struct EnumNames<RequestKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "idempotent",
                                                           "non_idempotent",
                                                           "streaming" };
};

// A service that receives a share of a route's requests.
struct RouteTarget
{
  ServiceId mService;
  double mWeight = 1;
};

// Maps a host and a path prefix to services.
struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPrefix;
  RequestKind mKind = RequestKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  // Longest time until a caller gets an answer.
  Duration mTimeout = 15s;
  // Target time to the answer or its first event.
  Duration mObjective = 1s;
  // 0 is the most urgent.
  unsigned mPriority = 5;
  // Maximum number of servers that a request may be sent to.
  unsigned mMaxAttempts = 1;
  // Requests need no key.
  bool mAnonymous = false;
  // Requests carry prompts with parts that other requests share.
  bool mHasPrompts = false;
  // An interrupted stream may be resumed at another server.
  bool mResumable = false;
};

// A client account and its valid keys.
struct ClientAccount
{
  AccountId mName;
  std::vector<std::string> mKeys;
  // Overrides the priority of the route.
  std::optional<unsigned> mPriority;
  // Shares no stored KV cache with other accounts.
  bool mIsolated = false;
};

// A service with backend servers.
struct BackendService
{
  ServiceId mName;
  // The servers run models; the fields below apply only to these.
  bool mIsEngine = false;
  // Requests that a server runs concurrently.
  std::uint64_t mSlots = 0;
  // Tokens that fit into a server's memory.
  std::uint64_t mCacheTokens = 0;
  // Bytes of KV cache per token.
  std::uint64_t mTokenBytes = 0;
  // Requests per second that a cold server takes, 0 for no limit, and for how
  // long a server is cold after its start.
  double mColdPerSecond = 0;
  Duration mColdTime{};
  std::vector<ModelId> mModels;
};

// A store VM that holds KV cache for the servers.
struct CacheStore
{
  StoreId mName;
  Endpoint mEndpoint;
  ZoneId mZone;
  std::uint64_t mCapacityTokens = 0;
  double mBytesPerSecond = 0;
  // The store evicts nothing by itself.
  bool mIsManaged = false;
};

// Limits on callers' requests.
struct CallerLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 4 * 1024 * 1024;
  Duration mReadTime = 3s;
  Duration mIdleTime = 15s;
};

// The operator's configuration in force.
struct SiteConfig
{
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ClientAccount> mAccounts;
  std::vector<BackendService> mServices;
  std::vector<CacheStore> mStores;
  CallerLimits mLimits;
};

// A request of the operator that the servers of an availability zone get
// nothing, until it is removed.
struct ZoneEvacuation
{
  ZoneId mZone;
};

// The newest weights of a model, as the operator announced them.
struct WeightTarget
{
  ModelId mModel;
  std::uint64_t mVersion = 0;
};

} // namespace bilberrytrail
