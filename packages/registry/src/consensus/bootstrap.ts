import { Fading, type PostBox, type World } from '@pumicebarrow/forms';
import type { Static, TSchema } from 'typebox';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
import { BootstrapRules } from './bootstraprules.js';
import type { ViewChanger } from './viewchanger.js';
import type { AddressBook } from '../membership/addressbook.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voter } from './voter.js';

type Hooks = {
  me: () => Member;
  addresses: AddressBook;
  /** How many machines may be lost at once. */
  losses: number;
  coreAddresses: () => readonly string[];
  /** The addresses that every daemon was given at the first start. */
  seeds: () => readonly string[];
  view: () => View | null;
  /** Whether this daemon may be one of the first view. */
  isCandidate: () => boolean;
  adopt: (v: View) => Promise<boolean>;
};
const MAX_CANDIDATES = 64;

/**
 * How the first view comes about, among candidates that know each other by a few seeds, which need not be candidates.
 * Invariants: whoever proposes it has heard in that very turn, from more than half of the seeds and from every
 * candidate known to any of them, that it holds no view, has taken none and knows the same candidates, at least
 * 2 * losses + 1 of them; the first so many of these vote, and a first round needs the promises of all candidates
 * (ViewChanger). Two proposers share a seed, so the later one knows the earlier one, and asks its voters too.
 */
export const Bootstrap = {
  make(world: World, post: PostBox, voter: Voter, viewChanger: ViewChanger, hooks: Hooks) {
    const recentCandidates = Fading.make<Member>(world.clock.mono, MAX_CANDIDATES);
    /** Where candidates are that others have told of; they are asked in the next turn. */
    let reportedAddresses: readonly string[] = [];
    const recordCandidate = (member: Member): void => {
      if (member.id !== hooks.me().id) recentCandidates.set(member.id, member, CoreTimings.candidateTtlMs);
    };
    /** The candidates that this one knows, itself among them; none if it is none. */
    const knownCandidates = (): Member[] =>
      hooks.isCandidate() ? BootstrapRules.ordered([hooks.me(), ...recentCandidates.all()]) : [];
    post.on('core.look', CoreMessages.empty, () => ({
      view: hooks.view(),
      took: voter.acceptedView(),
      me: hooks.me(),
    }));
    post.on('core.meet', CoreMessages.meet, (body) => {
      recordCandidate(body.me);
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
        ...recentCandidates.all().map((m) => m.addr),
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
    return {
      /** One turn of a daemon without a view: it takes up one that others hold, or has a part in making the first. */
      async runRound(): Promise<void> {
        const accepted = voter.acceptedView(),
          me = hooks.me();
        if (accepted && Views.votes(accepted, me)) {
          if (await viewChanger.propose(accepted.voters, accepted, 'Taking up a first view left half made.')) return;
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
        for (const s of replies) if (s.met.some((m) => Views.same(m, s.me))) recordCandidate(s.me);
        const candidates = knownCandidates();
        const proposal = BootstrapRules.firstView(candidates, me, hooks.losses);
        const repliedAddresses = meetReplies.map((r) => r.addr);
        if (!proposal || !BootstrapRules.heardSeeds(hooks.seeds(), me.addr, repliedAddresses)) return;
        if (!BootstrapRules.agreed(candidates, me, replies)) return;
        await viewChanger.propose(proposal.voters, proposal, 'The first view.', candidates);
      },
    };
  },
};
