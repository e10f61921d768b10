import { Dice, type Chance, type Clock, type Ident } from '@pumicebarrow/forms';
import type { PeerDescriptor } from './pointer.js';

type Held = { who: Ident; at: number };

/**
 * The CYCLON view. Invariants: no pointer to oneself; one pointer an id; never more than `size`.
 */
export const PeerCache = {
  make(clock: Clock, chance: Chance, size: number, self: () => Ident) {
    let held: readonly Held[] = [];
    const wire = (h: Held): PeerDescriptor => ({ who: h.who, age: Math.max(0, clock.mono() - h.at) });
    /** Takes what was received; what was sent makes room for it. */
    const take = (got: readonly PeerDescriptor[], sent: readonly PeerDescriptor[]): void => {
      const now = clock.mono(),
        me = self().id;
      const next = new Map(held.map((h) => [h.who.id, h]));
      const fresh = new Set<string>();
      for (const p of got) {
        if (p.who.id === me) continue;
        const old = next.get(p.who.id),
          at = now - p.age;
        if (!old || at >= old.at) {
          next.set(p.who.id, { who: p.who, at });
          fresh.add(p.who.id);
        }
      }
      const spare = sent.map((p) => p.who.id).filter((id) => !fresh.has(id));
      for (const id of spare) if (next.size > size) next.delete(id);
      const rest = [...next.values()].sort((a, b) => a.at - b.at);
      while (next.size > size) next.delete(rest.shift()!.who.id);
      held = [...next.values()];
    };
    return {
      all: (): readonly Ident[] => held.map((h) => h.who),
      /** The partner of the round: the oldest pointer, taken out of the view as CYCLON does. */
      takeOldest(): Ident | null {
        let best: Held | null = null;
        for (const h of held) if (!best || h.at < best.at) best = h;
        if (best) held = held.filter((h) => h !== best);
        return best?.who ?? null;
      },
      /** What the starter of a gossip sends: itself, fresh, and g - 1 others. */
      selectForRequest: (g: number): PeerDescriptor[] => [{ who: self(), age: 0 }, ...Dice.some(chance, held, g - 1).map(wire)],
      /** What the partner sends back: g others. */
      selectForReply: (g: number): PeerDescriptor[] => Dice.some(chance, held, g).map(wire),
      merge: take,
      /** A partner that replied is kept while there is room; in a full view CYCLON lets it go. */
      keepIfRoom(who: Ident): void {
        if (held.length < size) take([{ who, age: 0 }], []);
      },
      remove(id: string): void {
        held = held.filter((h) => h.who.id !== id);
      },
    };
  },
};
