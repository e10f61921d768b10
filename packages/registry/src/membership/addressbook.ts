import { ExpiringMap, type Messenger, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

/** Member incarnations whose address is remembered, and for how long after it was last reported. */
const MAX_ADDRESSES = 64;
const ADDRESS_TTL_MS = 60_000;
type Identity = { id: string; born: string };

/**
 * Current addresses of control replicas. A view has the addresses from when it was agreed: a member that has moved
 * since cannot be reached there, and the next view could not be agreed to record the move. Invariants: an address
 * belongs to an id and incarnation and was reported by that incarnation itself. It is used only to send requests: each
 * replica replies for itself, so a wrong address costs a request but never affects a vote.
 */
export const AddressBook = {
  make(world: World, post: Messenger, me: () => Member, coreAddresses: () => readonly string[]) {
    const addresses = ExpiringMap.make<string>(world.clock.mono, MAX_ADDRESSES);
    const identityKey = (identity: Identity): string => `${identity.id}/${identity.born}`;
    let nextSearchAt = 0;
    const record = (member: Member): void => addresses.set(identityKey(member), member.addr, ADDRESS_TTL_MS);
    return {
      record,
      /** The address that the member last reported, else the one in the view. */
      addressOf: (member: Member): string => addresses.get(identityKey(member)) ?? member.addr,
      /** Asks all addresses where control replicas may be which replica is there now, at most once a second. */
      async search(view: View): Promise<void> {
        if (world.clock.mono() < nextSearchAt) return;
        nextSearchAt = world.clock.mono() + CoreTimings.addressSearchIntervalMs;
        const targets = new Set([...coreAddresses(), ...Views.allMembers(view).map((m) => m.addr)]);
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
/** An address book as its callers see it. */
export type AddressBook = ReturnType<typeof AddressBook.make>;
