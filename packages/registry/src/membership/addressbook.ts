import { Fading, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

/** Lives whose address is remembered, and for how long after it was last heard. */
const LIVES = 64;
const KEEP = 60_000;
type Who = { id: string; born: string };

/**
 * Where core daemons are met. The view's addresses are those of the day it was agreed: who has moved since can not be
 * reached at them, and no next view could be agreed to say so.
 * Invariants: an address goes with id and born, as that very life said them; it is only where to ask. Who replies there
 * speaks for itself alone, so a wrong one costs a question and never a vote.
 */
export const AddressBook = {
  make(world: World, post: PostBox, me: () => Member, cores: () => readonly string[]) {
    const known = Fading.make<string>(world.clock.mono, LIVES);
    const key = (w: Who): string => `${w.id}/${w.born}`;
    let next = 0;
    const note = (m: Member): void => known.set(key(m), m.addr, KEEP);
    return {
      note: note,
      /** Where it last said that it is; else where the view has it. */
      addressOf: (m: Member): string => known.get(key(m)) ?? m.addr,
      /** Asks at all addresses where cores may be who is there now, once a second at the most. */
      async search(view: View): Promise<void> {
        if (world.clock.mono() < next) return;
        next = world.clock.mono() + CoreTimings.addressSearchIntervalMs;
        const addrs = new Set([...cores(), ...Views.all(view).map((m) => m.addr)]);
        addrs.delete(me().addr);
        await Promise.all(
          [...addrs].map(async (a) => {
            const r = await post.ask(a, '', 'core.look', {}, CoreMessages.seen, CoreTimings.requestTimeoutMs);
            if (r.ok) note(r.val.me);
          }),
        );
      },
    };
  },
};
/** A address book as its users see it. */
export type AddressBook = ReturnType<typeof AddressBook.make>;
