import { type Ident, type World } from '@pumicebarrow/forms';
import { Holder } from './holder.js';
import { CoreTimings, type ControlClient } from '@pumicebarrow/registry';

type Held = { fence: number; until: number; ready: number };

/**
 * The leases this daemon holds. Invariants: a lease counts from before it was asked for; a fence never held here
 * before waits out the quiet time, unless it is the first ever given for that name; without a live lease, no order.
 */
export const Duty = {
  make(
    world: World,
    line: ControlClient,
    self: () => Ident,
    roster: () => readonly Ident[],
    look: () => void = () => undefined,
  ) {
    const held = new Map<string, Held>();
    const busy = new Set<string>();
    let slept = 0;
    const now = (): number => world.clock.mono();
    const mine = (name: string): boolean => Holder.of(name, roster())?.id === self().id;
    const renew = async (name: string): Promise<void> => {
      if (busy.has(name)) return;
      busy.add(name);
      const before = slept;
      const got = await line.write({ do: 'claim', name, id: self().id, born: self().born }, 0);
      busy.delete(name);
      look();
      if (slept !== before) return;
      const fence = got.ruling.fence;
      if (got.ruling.verdict.ran !== 'yes' || fence === undefined) return;
      const old = held.get(name);
      const ready = old?.fence === fence ? old.ready : fence === 1 ? now() : now() + CoreTimings.quiet;
      if (old?.fence !== fence) world.tell({ what: 'claim', name, fence });
      held.set(name, { fence, until: got.sent + got.term, ready });
    };
    return {
      tick(names: readonly string[]): void {
        for (const name of names) {
          const h = held.get(name);
          if (mine(name) && (!h || h.until - now() < CoreTimings.lease * 0.7)) void renew(name);
        }
      },
      /** The fence to act under, at this instant; null when there is none. */
      fence(name: string): number | null {
        look();
        const h = held.get(name);
        return h && h.until > now() && h.ready <= now() && mine(name) ? h.fence : null;
      },
      /** Until when the lease on a name lasts. */
      until: (name: string): number => held.get(name)?.until ?? -Infinity,
      names: (): string[] => [...held].filter(([, h]) => h.until > now()).map(([n]) => n),
      drop(): void {
        held.clear();
        slept++;
      },
    };
  },
};
