import { Order, type Doc, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { Slips, type Holding, type Purging } from '@pumicebarrow/purge';
import type { ControlClient } from '@pumicebarrow/registry';

type Tools = {
  world: World;
  post: PostBox;
  line: ControlClient;
  purge: Purging;
  shelf: Holding;
  self: () => Ident;
  known: () => readonly Ident[];
  /** How often this daemon has slept, as looked for now. */
  slept: () => number;
};
/** ms within which a daemon meets the others by gossip, and a charter in force comes to all that are linked. */
const MEET = 2000;

/**
 * Seeks the newest charter outside a gossip: at the tail, or, with the core cut off, from a majority of known daemons.
 * Invariant: `sure` is said only when no charter in force when the search began is newer than the one now held, and
 * nothing was slept through since then: a reply may have waited for us to wake. One that has just started knows too few
 * to believe a majority of them.
 */
export const Newest = {
  make(t: Tools) {
    const started = t.world.clock.mono();
    const tail = async (ms: number): Promise<boolean> => {
      const got = await t.line.read(undefined, ms);
      if (!got) return false;
      const c = got.charter;
      if (c)
        t.purge.learn(
          { name: 'charter', mark: [c.version, 0], body: { version: c.version, plan: c.plan, charter: c.body } },
          'tail',
        );
      return true;
    };
    const most = async (): Promise<boolean> => {
      if (t.world.clock.mono() - started < MEET) return false;
      const others = t.known().filter((k) => k.role === 'counter' && k.id !== t.self().id);
      const got = await Promise.all(
        others.map((o) => t.post.ask(o.addr, o.id, 'purge.pull', { name: 'charter' }, Slips.pulled, 400)),
      );
      const heard = got.flatMap((g) => (g.ok ? [g.val.doc] : []));
      if (heard.length + 1 <= (others.length + 1) / 2) return false;
      const best = heard.filter((d): d is Doc => d !== null).sort((a, b) => Order.cmp(b.mark, a.mark))[0];
      if (best) t.purge.learn(best, 'majority');
      return t.shelf.get('charter') !== null;
    };
    return {
      async sure(): Promise<boolean> {
        const before = t.slept();
        return ((await tail(600)) || (await most())) && t.slept() === before;
      },
      tail,
    };
  },
};
