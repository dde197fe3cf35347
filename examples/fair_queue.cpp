// Shows the fair queue of a server: a read is granted a slot before a draft
// that was queued earlier.

#include <bilberrytrail/traffic/server_queue.h>

#include <cstdlib>
#include <iostream>

using namespace bilberrytrail;

namespace {

void
Print(const QueueActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      std::cout << "granted " << grant->mTicket.Value() << "\n";
    }
  }
}

} // namespace

int
main()
{
  QueueSettings settings;
  settings.mSlots = 2;
  settings.mShortSlots = 1;
  settings.mDraftSlots = 1;
  const auto queue = MakeFairServerQueue(settings);
  const Instant now{};
  std::uint64_t ticket = 0;
  for (const WorkClass it :
       { WorkClass::Draft, WorkClass::Draft, WorkClass::Read }) {
    QueueEntry entry;
    entry.mTicket = Ticket(++ticket);
    entry.mAccount = AccountId("tailors");
    entry.mClass = it;
    entry.mService = 100ms;
    entry.mDeadline = now + 10s;
    Print(queue->Offer(entry, now));
  }
  std::cout << queue->Waiting() << " waiting\n";
  return queue->Waiting() == 1 ? EXIT_SUCCESS : EXIT_FAILURE;
}
