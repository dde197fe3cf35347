#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/traffic/server_queue.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace bilberrytrail {

class HomeQueue;

// One request's place in a server's queue. Destroying it frees the place or
// the slot.
class QueuePlace
{
public:
  QueuePlace(std::shared_ptr<HomeQueue> aQueue, Loop& aLoop, Ticket aTicket);
  ~QueuePlace();
  QueuePlace(const QueuePlace&) = delete;
  QueuePlace& operator=(const QueuePlace&) = delete;

  // Waits for the queue's next action for this request; nothing when the
  // time has passed first.
  [[nodiscard]] std::optional<QueueAction> Next(Duration aTimeout);
  // Notes that the request has left the server after a PauseAction.
  void ConfirmPaused();

private:
  friend class HomeQueue;
  void Deliver(QueueAction aAction);

  std::shared_ptr<HomeQueue> mQueue;
  Ticket mTicket;
  Event mEvent;
  std::mutex mMutex;
  std::deque<QueueAction> mActions;
  bool mGranted = false;
};

// Shares the queue of one server among the traffic threads. A lock is held
// only while the queue decides.
class HomeQueue : public std::enable_shared_from_this<HomeQueue>
{
public:
  explicit HomeQueue(std::unique_ptr<ServerQueue> aQueue);

  [[nodiscard]] std::size_t Waiting() const;
  [[nodiscard]] std::size_t Running() const;
  // Returns how long such an entry would wait now.
  [[nodiscard]] Duration PredictWait(const QueueEntry& aEntry,
                                     Instant aNow) const;

  // Offers an entry; its ticket is chosen here.
  [[nodiscard]] std::unique_ptr<QueuePlace> Join(Loop& aLoop,
                                                 QueueEntry aEntry);
  // Runs the queue's timers.
  void Tick(Instant aNow);
  // Refuses all waiting entries, to be offered elsewhere.
  void Drain(Instant aNow);
  void SetSlots(std::uint32_t aSlots, Instant aNow);

private:
  friend class QueuePlace;
  void Leave(QueuePlace& aPlace);
  void Pause(Ticket aTicket);
  void Deliver(const QueueActions& aActions);

  mutable std::mutex mMutex;
  std::unique_ptr<ServerQueue> mQueue;
  std::map<Ticket, QueuePlace*> mPlaces;
  Ticket mLastTicket;
};

} // namespace bilberrytrail
