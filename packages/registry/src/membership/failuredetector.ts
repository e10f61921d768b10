import { SuspendDetector, ExpiringMap, Timer, type Messenger, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from './addressbook.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';
import type { Voter } from '../consensus/voter.js';

/** Member incarnations that are remembered, and for how long after their last heartbeat. */
const MAX_MEMBERS = 64;
const MEMBER_TTL_MS = 60_000;
/** The last heartbeat of a member; `fresh` says whether it holds the head's state of its view. */
type Heartbeat = { at: number; sick: boolean; fresh: boolean; epoch: number; me: Member };

/**
 * Heartbeats between control replicas: which members are alive, and the lease that lets a chain member act for the
 * view. Invariant: `holdsLease()` is true only while a majority of the voters have each granted a lease, counted from
 * before it was requested.
 */
export const FailureDetector = {
  make(world: World, post: Messenger, me: () => Member, addresses: AddressBook, voter: Voter) {
    const heartbeats = ExpiringMap.make<Heartbeat>(world.clock.mono, MAX_MEMBERS);
    const leaseEnds = new Map<string, number>();
    const identityKey = (m: Member): string => `${m.id}/${m.born}`;
    const now = (): number => world.clock.mono();
    const recordHeartbeat = (member: Member, heartbeat: Omit<Heartbeat, 'at' | 'me'>): void => {
      heartbeats.set(identityKey(member), { ...heartbeat, me: member, at: now() }, MEMBER_TTL_MS);
    };
    let viewStartedAt = now();
    let sleeps = 0;
    let resets = 0;
    let newestView: View | null = null;
    const awaitingReply = new Set<string>();
    const lostDisks = ExpiringMap.make<boolean>(world.clock.mono, MAX_MEMBERS);
    /** When the first heartbeat was sent of those that a member has not answered since its last reply. */
    const unansweredSince = new Map<string, number>();
    const awake = SuspendDetector.make(world.clock, () => {
      leaseEnds.clear();
      unansweredSince.clear();
      sleeps++;
    });

    return {
      recordHeartbeat,
      lastHeartbeat: (member: Member): Heartbeat | undefined => heartbeats.get(identityKey(member)),
      /** Time since a member's last heartbeat, or since the view began if there was none in it. */
      silentForMs: (member: Member): number =>
        now() - Math.max(heartbeats.get(identityKey(member))?.at ?? 0, viewStartedAt),
      /** How long a member has answered no heartbeat, even if its own heartbeats arrive. */
      unansweredForMs: (member: Member): number => now() - (unansweredSince.get(identityKey(member)) ?? now()),
      /**
       * Whether another incarnation with the same id was found at the member's address, so this incarnation and its
       * disk are gone.
       */
      hasLostDisk: (member: Member): boolean => lostDisks.get(identityKey(member)) === true,
      /** Releases all leases, and ignores grants that were requested before. */
      releaseLeases(): void {
        leaseEnds.clear();
        resets++;
      },
      /** Starts over for a new view: drops leases and unanswered heartbeats. */
      reset(): void {
        leaseEnds.clear();
        unansweredSince.clear();
        resets++;
        viewStartedAt = now();
      },
      holdsLease(view: View | null): boolean {
        awake.check();
        if (!view || Views.positionOf(view, me()) < 0) return false;
        const grantCount = view.voters.filter((m) => (leaseEnds.get(identityKey(m)) ?? 0) > now()).length;
        return grantCount > view.voters.length / 2;
      },
      /**
       * Sends one heartbeat to every other member that has answered the last one; returns the newest view seen so far.
       */
      async sendHeartbeats(view: View, self: { sick: boolean; fresh: boolean }): Promise<View | null> {
        awake.check();
        const sentAt = now(),
          sleepsBefore = sleeps,
          resetsBefore = resets,
          isInChain = Views.positionOf(view, me()) >= 0;
        if (isInChain && Views.isVoter(view, me()) && voter.grantLease(view.epoch, CoreTimings.viewLeaseMs, me()))
          leaseEnds.set(identityKey(me()), sentAt + CoreTimings.viewLeaseMs);
        const sendHeartbeat = async (member: Member): Promise<void> => {
          const body = { me: me(), epoch: view.epoch, ...self };
          const reply = await post.ask(
            addresses.addressOf(member),
            member.id,
            'core.beat',
            body,
            CoreMessages.heartbeatReply,
            CoreTimings.requestTimeoutMs,
          );
          awaitingReply.delete(identityKey(member));
          awake.check();
          if (!reply.ok) void addresses.search(view);
          if (sleeps !== sleepsBefore) return;
          if (reply.ok) unansweredSince.delete(identityKey(member));
          else if (resetsBefore === resets && !unansweredSince.has(identityKey(member)))
            unansweredSince.set(identityKey(member), sentAt);
          if (!reply.ok) return;
          if (reply.val.me.id === member.id && reply.val.me.born !== member.born)
            lostDisks.set(identityKey(member), true, MEMBER_TTL_MS);
          if (!Views.sameMember(reply.val.me, member)) return;
          recordHeartbeat(member, { sick: reply.val.sick, fresh: reply.val.fresh, epoch: reply.val.view?.epoch ?? 0 });
          if (reply.val.claim && Views.isVoter(view, member) && resetsBefore === resets)
            leaseEnds.set(identityKey(member), sentAt + CoreTimings.viewLeaseMs);
          if (reply.val.view && reply.val.view.epoch > (newestView?.epoch ?? 0)) newestView = reply.val.view;
        };
        const targets = Views.allMembers(view).filter(
          (m) => !Views.sameMember(m, me()) && !awaitingReply.has(identityKey(m)),
        );
        for (const m of targets) awaitingReply.add(identityKey(m));
        await Promise.race([
          Promise.all(targets.map(sendHeartbeat)),
          Timer.sleep(world.clock, CoreTimings.heartbeatIntervalMs),
        ]);
        return newestView;
      },
    };
  },
};
/** A failure detector as its callers see it. */
export type FailureDetector = ReturnType<typeof FailureDetector.make>;
