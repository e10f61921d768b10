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
  cores: () => readonly string[];
  /** The addresses that every daemon was given at the first start. */
  seeds: () => readonly string[];
  view: () => View | null;
  /** Whether this daemon may be one of the first view. */
  stands: () => boolean;
  adopt: (v: View) => Promise<boolean>;
};
const LIVES = 64;

/**
 * How the first view comes about, among candidates that know each other by a few seeds, which need not be candidates.
 * Invariants: whoever proposes it has heard in that very turn, from more than half of the seeds and from every
 * candidate known to any of them, that it holds no view, has taken none and knows the same candidates, at least
 * 2 * losses + 1 of them; the first so many of these vote, and a first round needs the promises of all candidates
 * (ViewChanger). Two proposers share a seed, so the later one knows the earlier one, and asks its voters too.
 */
export const Bootstrap = {
  make(world: World, post: PostBox, voter: Voter, viewChanger: ViewChanger, h: Hooks) {
    const met = Fading.make<Member>(world.clock.mono, LIVES);
    /** Where candidates are that others have told of; they are asked in the next turn. */
    let told: readonly string[] = [];
    const note = (m: Member): void => {
      if (m.id !== h.me().id) met.set(m.id, m, CoreTimings.candidateTtlMs);
    };
    /** The candidates that this one knows, itself among them; none if it is none. */
    const known = (): Member[] => (h.stands() ? BootstrapRules.ordered([h.me(), ...met.all()]) : []);
    post.on('core.look', CoreMessages.look, () => ({ view: h.view(), took: voter.acceptedView(), me: h.me() }));
    post.on('core.meet', CoreMessages.meet, (body) => {
      note(body.me);
      return { view: h.view(), took: voter.acceptedView(), me: h.me(), met: known() };
    });
    const ask = async <S extends TSchema>(
      kind: string,
      body: unknown,
      form: S,
    ): Promise<{ addr: string; reply: NoInfer<Static<S>> }[]> => {
      const addrs = new Set([...h.cores(), ...told, ...met.all().map((m) => m.addr)]);
      addrs.delete(h.me().addr);
      const got = await Promise.all(
        [...addrs].map(async (addr) => ({
          addr,
          r: await post.ask(addr, '', kind, body, form, CoreTimings.requestTimeoutMs),
        })),
      );
      return got.flatMap(({ addr, r }) => (r.ok ? [{ addr, reply: r.val }] : []));
    };
    const newest = (list: readonly { view: View | null }[]): View | undefined =>
      list
        .map((s) => s.view)
        .filter((v): v is View => v !== null)
        .sort((a, b) => b.epoch - a.epoch)[0];
    return {
      /** One turn of a daemon without a view: it takes up one that others hold, or has a part in making the first. */
      async runRound(): Promise<void> {
        const took = voter.acceptedView(),
          me = h.me();
        if (took && Views.votes(took, me)) {
          if (await viewChanger.propose(took.voters, took, 'Taking up a first view left half made.')) return;
          await h.addresses.search(took);
          return;
        }
        const held = newest((await ask('core.look', {}, CoreMessages.seen)).map((r) => r.reply));
        const answers = held || !h.stands() ? [] : await ask('core.meet', { me }, CoreMessages.met);
        const all = answers.map((r) => r.reply);
        const view = held ?? newest(all);
        if (view) {
          await h.adopt(view);
          return;
        }
        told = all.flatMap((s) => s.met.map((m) => m.addr)).slice(0, LIVES);
        for (const s of all) if (s.met.some((m) => Views.same(m, s.me))) note(s.me);
        const list = known();
        const first = BootstrapRules.firstView(list, me, h.losses);
        const replied = answers.map((r) => r.addr);
        if (!first || !BootstrapRules.heardSeeds(h.seeds(), me.addr, replied)) return;
        if (!BootstrapRules.agreed(list, me, all)) return;
        await viewChanger.propose(first.voters, first, 'The first view.', list);
      },
    };
  },
};
