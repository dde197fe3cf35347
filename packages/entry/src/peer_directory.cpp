#include "peer_directory.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>
#include <sstream>

namespace bilberrytrail {

namespace {

constexpr std::string_view kRowPrefix = "daemon/";
constexpr std::size_t kMaxDaemons = 500;
constexpr Duration kCallTimeout = 1s;
// Pause after a failed call.
constexpr Duration kRetryPause = 500ms;
// Time within which all daemons have noticed a new era and registered again.
constexpr Duration kReturnTime = 4s;
// Time between two reads of the other daemons' rows; new daemons are rare.
constexpr Duration kReadPeriod = 10s;

} // namespace

std::string
ToRowText(const PeerAddress& aPeer)
{
  auto text = ToText(aPeer.mEndpoint) + " " + aPeer.mZone.Text() + " " +
              std::to_string(aPeer.mLinkMbps);
  if (aPeer.mBulk) {
    text += " " + ToText(*aPeer.mBulk);
  }
  return text;
}

Result<PeerAddress>
ReadPeerRow(const DaemonId& aName, const std::string& aText)
{
  std::istringstream text(aText);
  std::string address;
  std::string zone;
  PeerAddress peer;
  std::string bulk;
  text >> address >> zone >> peer.mLinkMbps >> bulk;
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return std::move(endpoint).error();
  }
  peer.mName = aName;
  peer.mEndpoint = endpoint.value();
  peer.mZone = ZoneId(std::move(zone));
  if (auto bulkEndpoint = ParseEndpoint(bulk)) {
    peer.mBulk = std::move(bulkEndpoint).value();
  }
  return peer;
}

PeerDirectory::PeerDirectory(Loop& aLoop,
                             TableService& aTable,
                             PeerAddress aSelf,
                             std::uint64_t aSeed)
  : mLoop(aLoop)
  , mTable(aTable)
  , mSelf(std::move(aSelf))
  , mRandom(aSeed)
  , mPeers{ mSelf }
  , mEraHasRisen(aLoop)
{
}

std::size_t
PeerDirectory::RankFor(std::string_view aKey) const
{
  std::vector<HomeCandidate> candidates;
  for (const auto& it : mPeers) {
    candidates.push_back({ it.mName, ZoneId(), 1.0 });
  }
  const auto homes = HomesOf(aKey, candidates, candidates.size());
  const auto it = std::ranges::find(homes, mSelf.mName);
  return static_cast<std::size_t>(it - homes.begin());
}

std::vector<PeerAddress>
PeerDirectory::PickOthers(std::size_t aLimit)
{
  auto others = mPeers;
  std::erase_if(others, [&](const PeerAddress& aPeer) {
    return aPeer.mName == mSelf.mName;
  });
  return PickRandom(std::move(others), aLimit, mRandom);
}

bool
PeerDirectory::Register()
{
  const auto key = std::string(kRowPrefix) + mSelf.mName.Text();
  const auto value = ToRowText(mSelf);
  const auto row = mTable.Read(key, kCallTimeout);
  if (!row) {
    return false;
  }
  if (row.value() && row.value()->mValue == value) {
    return true;
  }
  const auto version = row.value() ? row.value()->mVersion : 0;
  const auto done = mTable.Commit({ { key, value, version } }, kCallTimeout);
  return done && done.value().mCommitted;
}

bool
PeerDirectory::ReadPeers()
{
  const auto start = BootNow();
  const auto rows =
    mTable.Scan(std::string(kRowPrefix), kMaxDaemons, kCallTimeout);
  if (!rows) {
    return false;
  }
  SetEra(mTable.Era());
  if (mEra > mRegisteredEra) {
    return true;
  }
  std::vector<PeerAddress> peers{ mSelf };
  for (const auto& row : rows.value()) {
    const DaemonId name(row.mKey.substr(kRowPrefix.size()));
    auto peer = ReadPeerRow(name, row.mValue);
    if (!peer || name == mSelf.mName) {
      continue;
    }
    const bool isKnown =
      std::ranges::any_of(mPeers, [&](const PeerAddress& aPeer) {
        return aPeer.mName == name && aPeer.mEndpoint == peer.value().mEndpoint;
      });
    if (!isKnown) {
      LogLine(LogEvent::MemberJoined,
              { { "daemon", name }, { "endpoint", row.mValue } });
    }
    peers.push_back(std::move(peer).value());
  }
  mPeers = std::move(peers);
  mReadAt = start;
  return true;
}

void
PeerDirectory::SetEra(std::uint64_t aEra)
{
  if (aEra > mEra) {
    mEra = aEra;
    if (mReadAt) {
      mEraHasRisen.Notify();
    }
  }
}

void
PeerDirectory::RegisterAll()
{
  const bool isFirst = !mReadAt;
  while (!mLoop.IsStopping() && !Register()) {
    (void)mLoop.Sleep(kRetryPause);
  }
  SetEra(mTable.Era());
  mRegisteredEra = mEra;
  (void)mLoop.Sleep(isFirst ? kRetryPause : kReturnTime);
}

void
PeerDirectory::Run()
{
  RegisterAll();
  while (!mLoop.IsStopping()) {
    const auto pause = ReadPeers() ? kReadPeriod : kRetryPause;
    if (mEra == mRegisteredEra) {
      (void)mEraHasRisen.Wait(pause);
    }
    if (mEra > mRegisteredEra) {
      RegisterAll();
    }
  }
}

} // namespace bilberrytrail
