import { Timer, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { FailureDetector } from '../membership/failuredetector.js';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from '../membership/addressbook.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voter } from './voter.js';

/**
 * How leases end before their term once a next view is under way: a voter asks those that hold its leases to lay them
 * down, and need not wait for the term of one that did. Invariants: a holder speaks no more, and takes up no lease that
 * it asked for before, once it has said so; a voter asks only while it grants nothing, and forgets a lease only on its
 * holder's reply to that very question.
 */
export const LeaseRecall = {
  make(
    world: World,
    post: PostBox,
    me: () => Member,
    addresses: AddressBook,
    view: () => View | null,
    detector: FailureDetector,
    voter: Voter,
  ) {
    post.on('core.rest', CoreMessages.rest, (body) => {
      const ok = view()?.epoch === body.epoch;
      if (ok) detector.releaseLeases();
      return { ok };
    });
    const ask = async (v: View, m: Member): Promise<void> => {
      if (Views.same(m, me())) detector.releaseLeases();
      else {
        const r = await post.ask(
          addresses.addressOf(m),
          m.id,
          'core.rest',
          { epoch: v.epoch },
          CoreMessages.done,
          CoreTimings.requestTimeoutMs,
        );
        if (!r.ok || !r.val.ok) return;
      }
      voter.releaseLease(v.epoch, m);
    };
    return {
      ...voter,
      async prepare(epoch: number, ballot: number): ReturnType<Voter['prepare']> {
        const first = await voter.prepare(epoch, ballot),
          v = view();
        if (first.ok || first.wait === 0 || !v || v.epoch + 1 !== epoch) return first;
        const all = Promise.all(v.chain.map((m) => ask(v, m)));
        await Promise.race([all, Timer.nap(world.clock, CoreTimings.leaseRecallTimeoutMs)]);
        return voter.prepare(epoch, ballot);
      },
    };
  },
};
