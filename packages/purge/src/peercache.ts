import { Random, type RandomSource, type Clock, type Ident } from '@pumicebarrow/forms';
import type { PeerDescriptor } from './peerdescriptor.js';

/** A peer, and the monotonic time at which its descriptor was created. */
type Entry = { who: Ident; createdAt: number };

/**
 * The partial view of the CYCLON membership protocol. Invariants: the daemon itself is not in its view; there is one
 * descriptor per id; the view never exceeds `size`.
 */
export const PeerCache = {
  make(clock: Clock, random: RandomSource, size: number, self: () => Ident) {
    let view: readonly Entry[] = [];
    const toDescriptor = (entry: Entry): PeerDescriptor => ({
      who: entry.who,
      age: Math.max(0, clock.mono() - entry.createdAt),
    });
    /** Merges the descriptors received; those that were sent are replaced first, then the oldest. */
    const merge = (received: readonly PeerDescriptor[], sent: readonly PeerDescriptor[]): void => {
      const now = clock.mono(),
        ownId = self().id;
      const next = new Map(view.map((entry) => [entry.who.id, entry]));
      const updated = new Set<string>();
      for (const descriptor of received) {
        if (descriptor.who.id === ownId) continue;
        const known = next.get(descriptor.who.id),
          createdAt = now - descriptor.age;
        if (!known || createdAt >= known.createdAt) {
          next.set(descriptor.who.id, { who: descriptor.who, createdAt });
          updated.add(descriptor.who.id);
        }
      }
      const replaceable = sent.map((descriptor) => descriptor.who.id).filter((id) => !updated.has(id));
      for (const id of replaceable) if (next.size > size) next.delete(id);
      const byAge = [...next.values()].sort((a, b) => a.createdAt - b.createdAt);
      while (next.size > size) next.delete(byAge.shift()!.who.id);
      view = [...next.values()];
    };
    return {
      all: (): readonly Ident[] => view.map((entry) => entry.who),
      /** The partner of this round: the peer with the oldest descriptor, which CYCLON removes from the view. */
      takeOldest(): Ident | null {
        let oldest: Entry | null = null;
        for (const entry of view) if (!oldest || entry.createdAt < oldest.createdAt) oldest = entry;
        if (oldest) view = view.filter((entry) => entry !== oldest);
        return oldest?.who ?? null;
      },
      /** The descriptors that the initiator of an exchange sends: its own, with age 0, and g - 1 others. */
      requestSample: (g: number): PeerDescriptor[] => [
        { who: self(), age: 0 },
        ...Random.sample(random, view, g - 1).map(toDescriptor),
      ],
      /** The g descriptors that the partner sends back. */
      replySample: (g: number): PeerDescriptor[] => Random.sample(random, view, g).map(toDescriptor),
      merge,
      /** Puts a partner that replied back into the view if there is room; CYCLON drops it from a full view. */
      keepIfRoom(who: Ident): void {
        if (view.length < size) merge([{ who, age: 0 }], []);
      },
      remove(id: string): void {
        view = view.filter((entry) => entry.who.id !== id);
      },
    };
  },
};
