#include <bilberrytrail/cache/inflight_prefixes.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

void
Append(std::vector<AttemptId>& aTo, const std::vector<AttemptId>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

} // namespace

InflightPrefixes::InflightPrefixes(Duration aGrace)
  : mGrace(aGrace)
{
}

const InflightPrefixes::Work*
InflightPrefixes::FindWork(const ServerId& aServer,
                           BlockId aBlock,
                           Instant aNow) const
{
  const auto server = mServers.find(aServer);
  if (server == mServers.end()) {
    return nullptr;
  }
  const auto owner = server->second.mOwners.find(aBlock);
  if (owner == server->second.mOwners.end()) {
    return nullptr;
  }
  const auto& work = server->second.mWork.at(owner->second);
  return aNow < work.mReadyAt + mGrace ? &work : nullptr;
}

PendingPrefix
InflightPrefixes::Find(const ServerId& aServer,
                       std::span<const BlockId> aBlocks,
                       Instant aNow) const
{
  PendingPrefix pending;
  for (const auto block : aBlocks) {
    const auto* work = FindWork(aServer, block, aNow);
    if (work == nullptr) {
      break;
    }
    ++pending.mBlocks;
    pending.mReadyAt = std::max(pending.mReadyAt, work->mReadyAt);
  }
  return pending;
}

bool
InflightPrefixes::Begin(const ServerId& aServer,
                        const AttemptId& aAttempt,
                        std::span<const BlockId> aBlocks,
                        Instant aReadyAt,
                        Instant aNow)
{
  for (const auto block : aBlocks) {
    if (FindWork(aServer, block, aNow) != nullptr) {
      return false;
    }
  }
  auto& server = mServers[aServer];
  if (server.mWork.contains(aAttempt)) {
    return false;
  }
  for (const auto block : aBlocks) {
    server.mOwners[block] = aAttempt;
  }
  server.mWork[aAttempt] =
    Work{ { aBlocks.begin(), aBlocks.end() }, aReadyAt, {} };
  return true;
}

bool
InflightPrefixes::Wait(const ServerId& aServer,
                       BlockId aBlock,
                       const AttemptId& aWaiter,
                       Instant aNow)
{
  if (FindWork(aServer, aBlock, aNow) == nullptr) {
    return false;
  }
  auto& server = mServers.at(aServer);
  server.mWork.at(server.mOwners.at(aBlock)).mWaiters.push_back(aWaiter);
  return true;
}

std::vector<AttemptId>
InflightPrefixes::Finish(const ServerId& aServer, const AttemptId& aAttempt)
{
  const auto server = mServers.find(aServer);
  if (server == mServers.end()) {
    return {};
  }
  auto node = server->second.mWork.extract(aAttempt);
  if (node.empty()) {
    return {};
  }
  for (const auto block : node.mapped().mBlocks) {
    const auto owner = server->second.mOwners.find(block);
    if (owner != server->second.mOwners.end() && owner->second == aAttempt) {
      server->second.mOwners.erase(owner);
    }
  }
  if (server->second.mWork.empty()) {
    mServers.erase(server);
  }
  return std::move(node.mapped().mWaiters);
}

std::vector<AttemptId>
InflightPrefixes::Expire(Instant aNow)
{
  std::vector<std::pair<ServerId, AttemptId>> expired;
  for (const auto& [name, server] : mServers) {
    for (const auto& [attempt, work] : server.mWork) {
      if (aNow >= work.mReadyAt + mGrace) {
        expired.emplace_back(name, attempt);
      }
    }
  }
  std::vector<AttemptId> waiters;
  for (const auto& [name, attempt] : expired) {
    Append(waiters, Finish(name, attempt));
  }
  return waiters;
}

std::vector<AttemptId>
InflightPrefixes::OnServerGone(const ServerId& aServer)
{
  std::vector<AttemptId> waiters;
  const auto node = mServers.extract(aServer);
  if (!node.empty()) {
    for (const auto& [attempt, work] : node.mapped().mWork) {
      Append(waiters, work.mWaiters);
    }
  }
  return waiters;
}

} // namespace bilberrytrail
