#pragma once

#include "home_message.h"
#include "homed_server.h"
#include "kept_cache.h"

#include <bilberrytrail/cache/block_lifecycle.h>

#include <memory>

namespace bilberrytrail {

// Gets the prefix of one request into its server's cache: imports the copies
// that the plan names while the request waits in the queue, and waits for
// other requests that import or compute the same blocks. Whatever fails is
// recomputed by the server.
//
//   PrefixImport import(thread, cache, server, request);
//   import.Start();
//   ... wait in the queue ...
//   import.Await(deadline);
//   generate.mBlocks.resize(import.UsableBlocks());
//   ... dispatch; once the answer has begun: ...
//   import.OnHead(head);
//   import.OnFirstToken();
class PrefixImport
{
public:
  PrefixImport(ThreadContext& aThread,
               KeptCache& aCache,
               HomedServerPtr aServer,
               const HomeRequest& aRequest);
  // Ends the claims on blocks, and settles imports that were not used.
  ~PrefixImport();
  PrefixImport(const PrefixImport&) = delete;
  PrefixImport& operator=(const PrefixImport&) = delete;

  // Starts the imports on a fiber of their own.
  void Start();
  // Waits for the imports and for other requests' work on the prefix; then
  // the server computes what is missing.
  void Await(Instant aDeadline);
  // Returns how many of the request's blocks the server may be asked to use.
  [[nodiscard]] std::size_t UsableBlocks() const;
  // The server has said how much of the prompt it reused.
  void OnHead(const GenerateHead& aHead);
  // The whole prompt is in the server's cache.
  void OnFirstToken();

private:
  class Job;

  void AwaitOthers(Instant aDeadline);
  void BeginPrefill();
  void EndPrefill();

  ThreadContext& mThread;
  KeptCache& mCache;
  HomedServerPtr mServer;
  const HomeRequest& mRequest;
  std::shared_ptr<Job> mJob;
  bool mIsClaimed = false;
  // Tokens that the server computes for the request now.
  double mPrefillTokens = 0;
};

} // namespace bilberrytrail
