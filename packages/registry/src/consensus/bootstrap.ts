import { Fading, type PostBox, type World } from '@pumicebarrow/forms';
import type { Static, TSchema } from 'typebox';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
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
  view: () => View | null;
  /** Whether this daemon may be one of the first view. */
  stands: () => boolean;
  adopt: (v: View) => Promise<boolean>;
};
const LIVES = 64;
const text = (list: readonly Member[]): string => JSON.stringify(list.map((m) => [m.id, m.born, m.addr]));

/**
 * How the first view comes about, among candidates that know each other by a few seeds.
 * Invariants: whoever proposes it has heard in that very turn, from every one of exactly 2 * losses + 1 candidates,
 * that it holds no view, has taken none and knows the same candidates; a first round needs the promises of them all
 * (ViewChanger). So two first views would need more than `losses` candidates to change between two turns.
 */
export const Bootstrap = {
  make(world: World, post: PostBox, voter: Voter, viewChanger: ViewChanger, h: Hooks) {
    const met = Fading.make<Member>(world.clock.mono, LIVES);
    /** Where candidates are that others have told of; they are asked in the next turn. */
    let told: readonly string[] = [];
    const note = (m: Member): void => {
      if (m.id !== h.me().id) met.set(m.id, m, CoreTimings.met);
    };
    /** The candidates that this one knows, itself among them; none if it is none. */
    const known = (): Member[] => (h.stands() ? [h.me(), ...met.all()].sort((a, b) => (a.id < b.id ? -1 : 1)) : []);
    post.on('core.look', CoreMessages.look, () => ({ view: h.view(), took: voter.took(), me: h.me() }));
    post.on('core.meet', CoreMessages.meet, (body) => {
      note(body.me);
      return { view: h.view(), took: voter.took(), me: h.me(), met: known() };
    });
    const ask = async <S extends TSchema>(kind: string, body: unknown, form: S): Promise<NoInfer<Static<S>>[]> => {
      const addrs = new Set([...h.cores(), ...told, ...met.all().map((m) => m.addr)]);
      addrs.delete(h.me().addr);
      const got = await Promise.all([...addrs].map((a) => post.ask(a, '', kind, body, form, CoreTimings.ask)));
      return got.flatMap((r) => (r.ok ? [r.val] : []));
    };
    const newest = (list: readonly { view: View | null }[]): View | undefined =>
      list
        .map((s) => s.view)
        .filter((v): v is View => v !== null)
        .sort((a, b) => b.epoch - a.epoch)[0];
    return {
      /** One turn of a daemon without a view: it takes up one that others hold, or has a part in making the first. */
      async turn(): Promise<void> {
        const took = voter.took(),
          me = h.me();
        if (took && Views.votes(took, me)) {
          if (await viewChanger.propose(took.voters, took, 'Taking up a first view left half made.')) return;
          await h.addresses.search(took);
          return;
        }
        const held = newest(await ask('core.look', {}, CoreMessages.seen));
        const all = held || !h.stands() ? [] : await ask('core.meet', { me }, CoreMessages.met);
        const view = held ?? newest(all);
        if (view) {
          await h.adopt(view);
          return;
        }
        told = all.flatMap((s) => s.met.map((m) => m.addr)).slice(0, LIVES);
        for (const s of all) if (s.met.some((m) => Views.same(m, s.me))) note(s.me);
        const list = known();
        if (list.length !== 2 * h.losses + 1 || !Views.same(list[0], me)) return;
        const same = (m: Member): boolean =>
          Views.same(m, me) || all.some((s) => Views.same(s.me, m) && text(s.met) === text(list));
        if (all.every((s) => s.took === null) && list.every(same))
          await viewChanger.propose(list, { epoch: 1, voters: list, chain: list }, 'The first view.');
      },
    };
  },
};
