import { ExpiringMap, type Messenger, type World } from '@pumicebarrow/forms';
import type { Static, TSchema } from 'typebox';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
import { BootstrapRules } from './bootstraprules.js';
import type { ViewChanger } from './viewchanger.js';
import type { AddressBook } from '../membership/addressbook.js';
import type { FaultTolerance } from './faulttolerance.js';
import type { MemberLocations } from '../membership/memberlocations.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voter } from './voter.js';

type Hooks = {
  me: () => Member;
  addresses: AddressBook;
  /** What may be lost at the same time. */
  tolerance: FaultTolerance;
  locations: MemberLocations;
  coreAddresses: () => readonly string[];
  /** The addresses given to every daemon at its first start. */
  seeds: () => readonly string[];
  view: () => View | null;
  /** Whether this daemon may be a member of the first view. */
  isCandidate: () => boolean;
  adopt: (v: View) => Promise<boolean>;
};
const MAX_CANDIDATES = 64;
/** How long a first view that does not bear the tolerated losses is put off, for candidates that start later. */
const PLACEMENT_WAIT_MS = 1500;

/**
 * Agrees on the first view among candidates that find each other through a few seed addresses; seeds need not be
 * candidates. Invariants: before a candidate proposes the first view, it has, within one round, received replies from
 * more than half of the seeds and from every candidate known to any of them; each holds no view, has accepted none and
 * knows the same candidates, enough for the tolerated losses. The voters are chosen among them (see VoterPlacement),
 * and a first round needs the promises of all candidates (see ViewChanger). Any two proposers share a seed, so the
 * later one knows the earlier one and also asks its voters.
 */
export const Bootstrap = {
  make(world: World, post: Messenger, voter: Voter, viewChanger: ViewChanger, hooks: Hooks) {
    const recentCandidates = ExpiringMap.make<Member>(world.clock.mono, MAX_CANDIDATES);
    /** Addresses of candidates reported by others; they are asked in the next round. */
    let reportedAddresses: readonly string[] = [];
    const log = world.log('view');
    /** Since when a first view could be proposed that does not bear the tolerated losses. */
    let deferredSince: number | null = null;
    const recordCandidate = (member: Member): void => {
      if (member.id !== hooks.me().id) recentCandidates.set(member.id, member, CoreTimings.candidateTtlMs);
    };
    /** The candidates known here, this one included; empty if this daemon is not a candidate. */
    const knownCandidates = (): Member[] =>
      hooks.isCandidate() ? BootstrapRules.sortedById([hooks.me(), ...recentCandidates.values()]) : [];
    post.on('core.look', CoreMessages.empty, () => ({
      view: hooks.view(),
      took: voter.acceptedView(),
      me: hooks.me(),
    }));
    post.on('core.meet', CoreMessages.meet, (body, from) => {
      recordCandidate(body.me);
      hooks.locations.record(from);
      return { view: hooks.view(), took: voter.acceptedView(), me: hooks.me(), met: knownCandidates() };
    });
    const askAll = async <S extends TSchema>(
      kind: string,
      body: unknown,
      schema: S,
    ): Promise<{ addr: string; reply: NoInfer<Static<S>> }[]> => {
      const addrs = new Set([
        ...hooks.coreAddresses(),
        ...reportedAddresses,
        ...recentCandidates.values().map((m) => m.addr),
      ]);
      addrs.delete(hooks.me().addr);
      const results = await Promise.all(
        [...addrs].map(async (addr) => ({
          addr,
          reply: await post.ask(addr, '', kind, body, schema, CoreTimings.requestTimeoutMs),
        })),
      );
      return results.flatMap(({ addr, reply: r }) => (r.ok ? [{ addr, reply: r.val }] : []));
    };
    const newestView = (list: readonly { view: View | null }[]): View | undefined =>
      list
        .map((s) => s.view)
        .filter((v): v is View => v !== null)
        .sort((a, b) => b.epoch - a.epoch)[0];
    /** Whether to wait for candidates with which the first view bears the tolerated losses. */
    const isDeferred = (proposal: View): boolean => {
      if (BootstrapRules.bearsTolerance(proposal, { ...hooks, locate: hooks.locations.locate })) return false;
      deferredSince ??= world.clock.mono();
      return world.clock.mono() - deferredSince < PLACEMENT_WAIT_MS;
    };
    return {
      /**
       * Runs one round on a daemon without a view: adopts a view that others hold, or helps to agree on the first one.
       */
      async runRound(): Promise<void> {
        const accepted = voter.acceptedView(),
          me = hooks.me();
        if (accepted && Views.isVoter(accepted, me)) {
          if (
            await viewChanger.propose(accepted.voters, accepted, 'Resuming an unfinished proposal of the first view.')
          )
            return;
          await hooks.addresses.search(accepted);
          return;
        }
        const existing = newestView((await askAll('core.look', {}, CoreMessages.lookReply)).map((r) => r.reply));
        const meetReplies =
          existing || !hooks.isCandidate() ? [] : await askAll('core.meet', { me }, CoreMessages.meetReply);
        const replies = meetReplies.map((r) => r.reply);
        const view = existing ?? newestView(replies);
        if (view) {
          await hooks.adopt(view);
          return;
        }
        reportedAddresses = replies.flatMap((s) => s.met.map((m) => m.addr)).slice(0, MAX_CANDIDATES);
        for (const s of replies) if (s.met.some((m) => Views.sameMember(m, s.me))) recordCandidate(s.me);
        const candidates = knownCandidates();
        const proposal = BootstrapRules.firstView(candidates, me, { ...hooks, locate: hooks.locations.locate });
        const repliedAddresses = meetReplies.map((r) => r.addr);
        if (!proposal || !BootstrapRules.seedMajorityReplied(hooks.seeds(), me.addr, repliedAddresses)) return;
        if (!BootstrapRules.candidatesAgree(candidates, me, replies) || isDeferred(proposal)) return;
        if (deferredSince !== null) log.info('The first view was put off for candidates in other zones.');
        await viewChanger.propose(proposal.voters, proposal, 'The first view.', candidates);
      },
    };
  },
};
