import { Timer, type Messenger, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { FailureDetector } from '../membership/failuredetector.js';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from '../membership/addressbook.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voter } from './voter.js';

/**
 * Ends leases before they expire once the next view is being prepared. A voter asks the holders of its leases to
 * release them, and need not wait for the expiry of a released one. Invariants: once a holder has agreed, it no longer
 * acts under the lease and ignores grants that it requested before; a voter recalls leases only while it grants none,
 * and drops a lease only on its holder's reply to that very recall.
 */
export const LeaseRecall = {
  make(
    world: World,
    post: Messenger,
    me: () => Member,
    addresses: AddressBook,
    view: () => View | null,
    detector: FailureDetector,
    voter: Voter,
  ) {
    post.on('core.rest', CoreMessages.leaseRecall, (body) => {
      const ok = view()?.epoch === body.epoch;
      if (ok) detector.releaseLeases();
      return { ok };
    });
    const recallFrom = async (recalledView: View, holder: Member): Promise<void> => {
      if (Views.sameMember(holder, me())) detector.releaseLeases();
      else {
        const reply = await post.ask(
          addresses.addressOf(holder),
          holder.id,
          'core.rest',
          { epoch: recalledView.epoch },
          CoreMessages.acknowledgement,
          CoreTimings.requestTimeoutMs,
        );
        if (!reply.ok || !reply.val.ok) return;
      }
      voter.releaseLease(recalledView.epoch, holder);
    };
    return {
      ...voter,
      async prepare(epoch: number, ballot: number): ReturnType<Voter['prepare']> {
        const firstAttempt = await voter.prepare(epoch, ballot),
          presentView = view();
        if (firstAttempt.ok || firstAttempt.wait === 0 || !presentView || presentView.epoch + 1 !== epoch)
          return firstAttempt;
        const recalls = Promise.all(presentView.chain.map((m) => recallFrom(presentView, m)));
        await Promise.race([recalls, Timer.sleep(world.clock, CoreTimings.leaseRecallTimeoutMs)]);
        return voter.prepare(epoch, ballot);
      },
    };
  },
};
