import { Fading, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

/** Lives whose address is remembered, and for how long after it was last heard. */
const MAX_ADDRESSES = 64;
const ADDRESS_TTL_MS = 60_000;
type Identity = { id: string; born: string };

/**
 * Where core daemons are met. The view's addresses are those of the day it was agreed: who has moved since can not be
 * reached at them, and no next view could be agreed to say so.
 * Invariants: an address goes with id and born, as that very life said them; it is only where to ask. Who replies there
 * speaks for itself alone, so a wrong one costs a question and never a vote.
 */
export const AddressBook = {
  make(world: World, post: PostBox, me: () => Member, cores: () => readonly string[]) {
    const addresses = Fading.make<string>(world.clock.mono, MAX_ADDRESSES);
    const identityKey = (identity: Identity): string => `${identity.id}/${identity.born}`;
    let nextSearchAt = 0;
    const record = (member: Member): void => addresses.set(identityKey(member), member.addr, ADDRESS_TTL_MS);
    return {
      record: record,
      /** Where it last said that it is; else where the view has it. */
      addressOf: (member: Member): string => addresses.get(identityKey(member)) ?? member.addr,
      /** Asks at all addresses where cores may be who is there now, once a second at the most. */
      async search(view: View): Promise<void> {
        if (world.clock.mono() < nextSearchAt) return;
        nextSearchAt = world.clock.mono() + CoreTimings.addressSearchIntervalMs;
        const targets = new Set([...cores(), ...Views.all(view).map((m) => m.addr)]);
        targets.delete(me().addr);
        await Promise.all(
          [...targets].map(async (addr) => {
            const reply = await post.ask(
              addr,
              '',
              'core.look',
              {},
              CoreMessages.lookReply,
              CoreTimings.requestTimeoutMs,
            );
            if (reply.ok) record(reply.val.me);
          }),
        );
      },
    };
  },
};
/** A address book as its users see it. */
export type AddressBook = ReturnType<typeof AddressBook.make>;
