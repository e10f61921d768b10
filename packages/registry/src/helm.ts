import { Dice, Timer, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreWords } from './corewords.js';
import type { Member } from './member.js';
import { Paces } from './paces.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voting } from './voting.js';

type Voice = {
  ok: boolean;
  wait?: number;
  promised: number;
  took?: { ballot: number; view: View } | null;
  view: View | null;
};

/**
 * Proposes the next view to the voters of the present one.
 * Invariant: at most one view is chosen for an epoch, whoever proposes and however often.
 */
export const Helm = {
  make(world: World, post: PostBox, me: () => Member, voter: Voting, adopt: (v: View) => Promise<boolean>) {
    let busy = false;
    let top = 0;
    const log = world.log('view');

    const ballot = (voters: readonly Member[]): number => {
      const mine = Math.max(
        0,
        voters.findIndex((m) => m.id === me().id),
      );
      const n = Math.floor(top / 8) * 8 + 8 + mine;
      top = n;
      return n;
    };
    const poll = async (voters: readonly Member[], one: (m: Member) => Promise<Voice | null>): Promise<Voice[]> => {
      const got = await Promise.all(voters.map(one));
      return got.filter((v): v is Voice => v !== null);
    };
    const round = async (voters: readonly Member[], next: View): Promise<View | null> => {
      const n = ballot(voters),
        epoch = next.epoch,
        most = Math.floor(voters.length / 2) + 1;
      const first = await poll(voters, async (m) => {
        if (Views.same(m, me())) return { ...(await voter.prepare(epoch, n)), view: null };
        const r = await post.ask(m.addr, m.id, 'core.prepare', { epoch, ballot: n }, CoreWords.prepared, Paces.ask);
        return r.ok ? r.val : null;
      });
      for (const v of first) top = Math.max(top, v.promised);
      const ahead = first.find((v) => v.view && v.view.epoch >= epoch);
      if (ahead?.view) {
        await adopt(ahead.view);
        return null;
      }
      const yes = first.filter((v) => v.ok);
      if (yes.length < most) {
        const wait = Math.min(Paces.hold, Math.max(...first.map((v) => v.wait ?? 0), 0));
        await Timer.nap(world.clock, wait + Dice.int(world.chance, 60));
        return null;
      }
      const took = yes
        .map((v) => v.took)
        .filter((t) => !!t)
        .sort((a, b) => b.ballot - a.ballot)[0];
      const view = took ? took.view : next;
      const second = await poll(voters, async (m) => {
        if (Views.same(m, me())) return { ...(await voter.accept(epoch, n, view)), view: null };
        const r = await post.ask(
          m.addr,
          m.id,
          'core.accept',
          { epoch, ballot: n, view },
          CoreWords.accepted,
          Paces.ask,
        );
        return r.ok ? r.val : null;
      });
      for (const v of second) top = Math.max(top, v.promised);
      return second.filter((v) => v.ok).length >= most ? view : null;
    };

    return {
      busy: (): boolean => busy,
      /** Tries for a while; true once some view of that epoch is in force here. */
      async propose(voters: readonly Member[], next: View, why: string): Promise<boolean> {
        if (busy) return false;
        busy = true;
        try {
          for (let i = 0; i < 6; i++) {
            const view = await round(voters, next);
            if (view) {
              log.say(`View ${view.epoch} is agreed: ${view.chain.map((m) => m.id).join(' > ')}. ${why}`);
              world.tell({ what: 'view', epoch: view.epoch, chain: view.chain.map((m) => `${m.id}/${m.born}`) });
              const done = await adopt(view);
              for (const m of Views.all(view)) {
                if (!Views.same(m, me())) void post.ask(m.addr, m.id, 'core.view', { view }, CoreWords.done, Paces.ask);
              }
              return done;
            }
          }
          return false;
        } finally {
          busy = false;
        }
      },
    };
  },
};
