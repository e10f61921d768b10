import { Awake, Fading, Timer, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from './addressbook.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';
import type { Voter } from '../consensus/voter.js';

/** Lives of core daemons that are remembered, and for how long after their last word. */
const LIVES = 64;
const KEEP = 60_000;
type Heard = { at: number; sick: boolean; fresh: boolean; epoch: number; me: Member };

/**
 * Beats between core daemons: who is there, and the lease that lets a chain member speak for the view.
 * Invariant: `live()` is true only while a majority of voters each granted a lease, counted from before it was
 * asked for.
 */
export const FailureDetector = {
  make(world: World, post: PostBox, me: () => Member, addresses: AddressBook, voter: Voter) {
    const heard = Fading.make<Heard>(world.clock.mono, LIVES);
    const grants = new Map<string, number>();
    const key = (m: Member): string => `${m.id}/${m.born}`;
    const now = (): number => world.clock.mono();
    const seen = (m: Member, h: Omit<Heard, 'at' | 'me'>): void => {
      heard.set(key(m), { ...h, me: m, at: now() }, KEEP);
    };
    let since = now();
    let slept = 0;
    let eras = 0;
    let best: View | null = null;
    const asking = new Set<string>();
    const empty = Fading.make<boolean>(world.clock.mono, LIVES);
    /** When the first beat went out of those that a member has not replied to since its last reply. */
    const vain = new Map<string, number>();
    const awake = Awake.make(world.clock, () => {
      grants.clear();
      vain.clear();
      slept++;
    });

    return {
      recordHeartbeat: seen,
      lastHeartbeat: (m: Member): Heard | undefined => heard.get(key(m)),
      /** Silence, counted from the view's start for one never heard in it. */
      silentForMs: (m: Member): number => now() - Math.max(heard.get(key(m))?.at ?? 0, since),
      /** For how long it has replied to no beat, however much of it is heard. */
      unansweredForMs: (m: Member): number => now() - (vain.get(key(m)) ?? now()),
      /** Whether its place was found taken by one of the same id and another life: so it is no more. */
      hasLostDisk: (m: Member): boolean => empty.get(key(m)) === true,
      /** Lays down all leases, those still on their way too. */
      releaseLeases(): void {
        grants.clear();
        eras++;
      },
      reset(): void {
        grants.clear();
        vain.clear();
        eras++;
        since = now();
      },
      holdsLease(view: View | null): boolean {
        awake.look();
        if (!view || Views.place(view, me()) < 0) return false;
        const n = view.voters.filter((m) => (grants.get(key(m)) ?? 0) > now()).length;
        return n > view.voters.length / 2;
      },
      /** One beat to every other member that has replied to the last; gives back the newest view met so far. */
      async sendHeartbeats(view: View, self: { sick: boolean; fresh: boolean }): Promise<View | null> {
        awake.look();
        const at = now(),
          before = slept,
          era = eras,
          inside = Views.place(view, me()) >= 0;
        if (inside && Views.votes(view, me()) && voter.grantLease(view.epoch, CoreTimings.viewLeaseMs, me()))
          grants.set(key(me()), at + CoreTimings.viewLeaseMs);
        const ask = async (m: Member): Promise<void> => {
          const body = { me: me(), epoch: view.epoch, ...self };
          const r = await post.ask(
            addresses.addressOf(m),
            m.id,
            'core.beat',
            body,
            CoreMessages.beaten,
            CoreTimings.requestTimeoutMs,
          );
          asking.delete(key(m));
          awake.look();
          if (!r.ok) void addresses.search(view);
          if (slept !== before) return;
          if (r.ok) vain.delete(key(m));
          else if (era === eras && !vain.has(key(m))) vain.set(key(m), at);
          if (!r.ok) return;
          if (r.val.me.id === m.id && r.val.me.born !== m.born) empty.set(key(m), true, KEEP);
          if (!Views.same(r.val.me, m)) return;
          seen(m, { sick: r.val.sick, fresh: r.val.fresh, epoch: r.val.view?.epoch ?? 0 });
          if (r.val.claim && Views.votes(view, m) && era === eras) grants.set(key(m), at + CoreTimings.viewLeaseMs);
          if (r.val.view && r.val.view.epoch > (best?.epoch ?? 0)) best = r.val.view;
        };
        const due = Views.all(view).filter((m) => !Views.same(m, me()) && !asking.has(key(m)));
        for (const m of due) asking.add(key(m));
        await Promise.race([Promise.all(due.map(ask)), Timer.nap(world.clock, CoreTimings.heartbeatIntervalMs)]);
        return best;
      },
    };
  },
};
/** A failure detector as its users see it. */
export type FailureDetector = ReturnType<typeof FailureDetector.make>;
