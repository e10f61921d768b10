import { Dice, Timer, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import { Chain } from './chain.js';
import { CoreLife } from './corelife.js';
import { CoreDesk } from './coredesk.js';
import type { CoreState } from './corestate.js';
import { CoreWords } from './corewords.js';
import { Founding } from './founding.js';
import { Helm } from './helm.js';
import type { Member } from './member.js';
import { Minder } from './minder.js';
import { Paces } from './paces.js';
import { Rest } from './rest.js';
import type { Storing } from './storing.js';
import type { View } from './view.js';
import { Views } from './views.js';
import { Voter } from './voter.js';
import type { Vote } from './vote.js';
import { Watch } from './watch.js';
import { Whereabouts } from './whereabouts.js';

type Kept = { view: View | null; vote: Vote | null; state: CoreState };
type Hooks = {
  /** Where other core daemons may be met. */
  cores: () => readonly string[];
  /** How many machines may be lost at once; it sizes the first view, and later ones keep its size. */
  losses: number;
  /** Whether a daemon with nothing on disk may have a part in making the first view. */
  first: boolean;
  passed: (s: CoreState) => void;
};

/**
 * One core daemon: its place in the agreed view, and what it does about the others'.
 * Invariant: the view held here only rises in epoch.
 */
export const Core = {
  make(world: World, post: PostBox, ident: () => Ident, store: Storing, kept: Kept, h: Hooks) {
    const log = world.log('core');
    const me = (): Member => ({ id: ident().id, born: ident().born, addr: ident().addr });
    const life = interpret(CoreLife, () => undefined);
    const voter = Voter.make(store, world.clock.mono, kept.vote, kept.view ? world.clock.mono() + Paces.hold : 0);
    const spots = Whereabouts.make(world, post, me, h.cores);
    const watch = Watch.make(world, post, me, spots, voter);
    let view: View | null = null;
    const resting = Rest.make(world, post, me, spots, () => view, watch, voter);
    let leaving = false;
    let stop: () => void = () => undefined;
    const sick = (): boolean => life.machine.current === 'sick' || store.stalled() > Paces.stall;
    const inside = (): boolean => !!view && view.chain.some((m) => Views.same(m, me()) && m.addr === me().addr);
    /** In the chain, though the view may still have it at another address. */
    const placed = (v: View): boolean => Views.place(v, me()) >= 0;
    const live = (): boolean => !sick() && watch.live(view);
    const ill = (why: string): void => {
      if (life.machine.current !== 'sick') {
        log.warn(`The disk failed: ${why}. Leaving the chain.`);
        world.tell({ what: 'sick' });
      }
      life.send('ill');
    };
    const isTail = (): boolean => !!view && Views.same(Views.tail(view), me());
    const isHead = (): boolean => !!view && Views.same(Views.head(view), me());
    const chain = Chain.make(world, post, store, kept.state, { view: () => view, live, me, ill, passed: h.passed });
    const desk = CoreDesk.make(world, post, { view: () => view, live, chain, isTail, isHead });
    const place = (next: View): void => {
      view = next;
      voter.moved(next.epoch);
      watch.reset();
      desk.moved();
      life.send(inside() ? 'placed' : 'found');
      chain.moved();
    };
    const adopt = async (next: View): Promise<boolean> => {
      if (view && next.epoch <= view.epoch) return next.epoch === view.epoch;
      place(next);
      const done = await store.put('view', next);
      if (done.err) ill(done.val);
      return true;
    };
    const helm = Helm.make(world, post, me, spots, resting, adopt);

    const stands = (): boolean => !view && (h.first || kept.vote !== null);
    const founding = Founding.make(world, post, voter, helm, { ...h, me, spots, view: () => view, stands, adopt });

    const join = async (v: View): Promise<void> => {
      const ask = Dice.one(
        world.chance,
        Views.all(v).filter((m) => m.id !== me().id),
      );
      if (ask) await post.ask(spots.of(ask), ask.id, 'core.join', { me: me() }, CoreWords.done, Paces.ask);
    };
    const minder = Minder.make(me, world.clock.mono, watch, helm, chain);
    const heal = async (): Promise<void> => {
      const done = await store.name(me().born, false);
      if (done.ok) {
        log.say('The disk is well again.');
        life.send('well');
      }
    };
    const tick = async (): Promise<void> => {
      if (life.machine.current === 'sick') void heal();
      if (!view) {
        await founding.turn();
        return;
      }
      const best = await watch.beat(view, { sick: sick(), fresh: chain.fresh() });
      if (best) await adopt(best);
      const now: View = view;
      if (inside()) {
        if (!sick()) minder.mind(now);
      } else if (!sick() && !leaving) await join(now);
    };

    post.on('core.beat', CoreWords.beat, (body) => {
      spots.note(body.me);
      watch.seen(body.me, { sick: body.sick, fresh: body.fresh, epoch: body.epoch });
      const lease =
        !!view &&
        body.epoch === view.epoch &&
        Views.place(view, body.me) >= 0 &&
        Views.votes(view, me()) &&
        voter.grant(view.epoch, Paces.hold, body.me);
      return { me: me(), view, claim: lease, sick: sick(), fresh: chain.fresh() };
    });
    const fits = (epoch: number): boolean =>
      epoch === (view?.epoch ?? 0) + 1 && (view ? Views.votes(view, me()) : stands());
    post.on('core.prepare', CoreWords.prepare, async (body) => {
      if (!fits(body.epoch)) return { ok: false, wait: 0, promised: 0, took: null, view };
      return { ...(await resting.prepare(body.epoch, body.ballot)), view };
    });
    post.on('core.accept', CoreWords.accept, async (body) => {
      if (!fits(body.epoch)) return { ok: false, promised: 0, view };
      return { ...(await voter.accept(body.epoch, body.ballot, body.view)), view };
    });
    post.on('core.view', CoreWords.view, async (body) => ({ ok: await adopt(body.view) }));
    post.on('core.hint', CoreWords.look, () => ({ view }));
    post.on('core.join', CoreWords.join, (body) => {
      const v = view,
        m = body.me;
      spots.note(m);
      if (!v || !placed(v) || sick() || helm.busy() || !Views.votes(v, me())) return { ok: false };
      const twin = v.chain.find((x) => x.id === m.id);
      if (!Views.room(v, m) || (twin?.addr === m.addr && Views.same(twin, m))) return { ok: false };
      if (twin && !Views.same(twin, m) && watch.silent(twin) < Paces.suspect) return { ok: false };
      void helm.propose(v.voters, Views.withTail(v, m), `${m.id} joins at the tail.`);
      return { ok: true };
    });

    return {
      start(): void {
        if (kept.view) place(kept.view);
        stop = Timer.every(world.clock, Paces.beat, tick);
      },
      /** Has a view agreed without this daemon, if enough copies are left, and sees to it that the others know. */
      async leave(): Promise<void> {
        leaving = true;
        const out = async (): Promise<void> => {
          while (view && inside() && !sick() && view.chain.length > Views.most(view)) {
            if (!(await minder.leave(view))) await Timer.nap(world.clock, 20);
          }
          await helm.told();
        };
        await Timer.within(world.clock, Paces.leave, out(), () => undefined);
      },
      stop(): void {
        stop();
      },
      view: (): View | null => view,
      life: (): string => life.machine.current,
      live,
      chain,
      desk,
    };
  },
};
