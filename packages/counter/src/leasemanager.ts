import { type Ident, type World } from '@pumicebarrow/forms';
import { DesignatedHolder } from './designatedholder.js';
import { CoreTimings, type ControlClient } from '@pumicebarrow/registry';

/** A lease as held here; `ready` is when the takeover delay ends. */
type HeldLease = { fence: number; until: number; ready: number };

/**
 * Obtains and renews the named leases that fall to this daemon. Invariants: a lease's term counts from before it was
 * requested; a fencing token that is new to this daemon is used only after the takeover delay, unless it is the first
 * ever issued for that name; without a valid lease nothing is ordered.
 */
export const LeaseManager = {
  make(
    world: World,
    controlClient: ControlClient,
    self: () => Ident,
    roster: () => readonly Ident[],
    checkSuspension: () => void = () => undefined,
  ) {
    const leases = new Map<string, HeldLease>();
    const renewing = new Set<string>();
    let resets = 0;
    const now = (): number => world.clock.mono();
    const isDesignated = (name: string): boolean => DesignatedHolder.of(name, roster())?.id === self().id;
    const renew = async (name: string): Promise<void> => {
      if (renewing.has(name)) return;
      renewing.add(name);
      const resetsBefore = resets;
      const reply = await controlClient.write({ do: 'claim', name, id: self().id, born: self().born }, 0);
      renewing.delete(name);
      checkSuspension();
      if (resets !== resetsBefore) return;
      const fence = reply.ruling.fence;
      if (reply.ruling.verdict.ran !== 'yes' || fence === undefined) return;
      const previous = leases.get(name);
      const ready =
        previous?.fence === fence ? previous.ready : fence === 1 ? now() : now() + CoreTimings.takeoverDelayMs;
      if (previous?.fence !== fence) world.recordEvent({ what: 'claim', name, fence });
      leases.set(name, { fence, until: reply.sent + reply.term, ready });
    };
    return {
      /** Requests or renews the leases among `names` that fall to this daemon. */
      tick(names: readonly string[]): void {
        for (const name of names) {
          const lease = leases.get(name);
          if (isDesignated(name) && (!lease || lease.until - now() < CoreTimings.namedLeaseMs * 0.7)) void renew(name);
        }
      },
      /** The fencing token under which to act at this instant; null if there is none. */
      fence(name: string): number | null {
        checkSuspension();
        const lease = leases.get(name);
        return lease && lease.until > now() && lease.ready <= now() && isDesignated(name) ? lease.fence : null;
      },
      /** When the lease of this name expires, in monotonic ms. */
      expiresAt: (name: string): number => leases.get(name)?.until ?? -Infinity,
      names: (): string[] => [...leases].filter(([, lease]) => lease.until > now()).map(([name]) => name),
      /** Forgets all leases, also those being requested: after a suspension their remaining time is unknown. */
      forgetAll(): void {
        leases.clear();
        resets++;
      },
    };
  },
};
