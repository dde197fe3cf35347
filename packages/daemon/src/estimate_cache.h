#pragma once

#include "estimate_message.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bilberrytrail {

// Requests that an estimate speaks for.
struct EstimateKey
{
  ProductId mProduct;
  // Model or plain service.
  std::string mTarget;
  VersionId mVersion;
  WorkClass mClass = WorkClass::Short;

  friend auto operator<=>(const EstimateKey&, const EstimateKey&) = default;
};

// What the homes last said about servers, and the choice of a server without
// asking them again. Decides only whether to ask: the home that gets such a
// request checks it against the state of its queue at that moment and sends
// it back when the choice was wrong. Not thread-safe.
//
//   if (auto server = cache.Choose(key, isUsable, now, random)) {
//     // send without asking; then cache.NoteTaken() or cache.NoteSentBack()
//   }
class EstimateCache
{
public:
  using ServerPredicate = std::function<bool(const ServerId&)>;

  // Takes in what a home said about a server.
  void Note(const EstimateKey& aKey,
            const ServerEstimate& aEstimate,
            Instant aNow);
  // Drops what is known of servers, whose home could not be reached.
  void Forget(const ServerPredicate& aWhich);
  // A home took, or sent back, a request that it was sent without asking.
  void NoteTaken() noexcept;
  void NoteSentBack() noexcept;

  // Returns a server to use without asking: the better of two picked at random
  // among those usable that had room a moment ago, which is the one that was
  // sent fewer since its home's last word, then the faster one. Nothing when
  // the homes are to be asked.
  [[nodiscard]] std::optional<ServerId> Choose(const EstimateKey& aKey,
                                               const ServerPredicate& aUsable,
                                               Instant aNow,
                                               Random& aRandom);
  // Returns how fast the server computes prompts, in tokens per second; 0 when
  // nothing is known of it.
  [[nodiscard]] double PrefillSpeed(const EstimateKey& aKey,
                                    const ServerId& aServer) const;

private:
  struct Row
  {
    double mPrefillTokensPerSecond = 0;
    Instant mNotedAt{};
    // Requests that may still be sent on the strength of this word.
    std::uint32_t mLeft = 0;
  };
  using Rows = std::map<ServerId, Row>;

  static void DropOld(Rows& aRows, Instant aNow);
  [[nodiscard]] static bool IsBetter(const Row& aLeft, const Row& aRight);

  std::map<EstimateKey, Rows> mRows;
  // Below 0 after requests that were sent back.
  int mCredit = 0;
  std::uint32_t mChoices = 0;
};

} // namespace bilberrytrail
