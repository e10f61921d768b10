import { Dice, Timer, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import { Chain } from './chain.js';
import { CoreLife } from './corelife.js';
import { CoreDesk } from './coredesk.js';
import type { CoreState } from './corestate.js';
import { CoreWords } from './corewords.js';
import { Helm } from './helm.js';
import type { Member } from './member.js';
import { Paces } from './paces.js';
import type { Storing } from './storing.js';
import type { View } from './view.js';
import { Views } from './views.js';
import { Voter } from './voter.js';
import type { Vote } from './vote.js';
import { Watch } from './watch.js';

type Kept = { view: View | null; vote: Vote | null; state: CoreState };
type Hooks = { passed: (s: CoreState) => void };

/**
 * One core daemon: its place in the agreed view, and what it does about the others'.
 * Invariant: the view held here only rises in epoch.
 */
export const Core = {
  make(
    world: World,
    post: PostBox,
    ident: () => Ident,
    cores: () => readonly string[],
    store: Storing,
    kept: Kept,
    hooks: Hooks,
  ) {
    const log = world.log('core');
    const me = (): Member => ({ id: ident().id, born: ident().born, addr: ident().addr });
    const life = interpret(CoreLife, () => undefined);
    const voter = Voter.make(store, world.clock.mono, kept.vote);
    const watch = Watch.make(world, post, me, voter);
    let view: View | null = null;
    let stop: () => void = () => undefined;
    const sick = (): boolean => life.machine.current === 'sick' || store.stalled() > Paces.stall;
    const inside = (): boolean => !!view && view.chain.some((m) => Views.same(m, me()) && m.addr === me().addr);
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
    const chain = Chain.make(world, post, store, kept.state, { view: () => view, live, me, ill, passed: hooks.passed });
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
    const helm = Helm.make(world, post, me, voter, adopt);

    const begin = async (): Promise<void> => {
      const took = voter.took();
      if (took && Views.votes(took, me())) {
        await helm.propose(took.voters, took, 'Taking up a first view left half made.');
        return;
      }
      const others = cores().filter((a) => a !== me().addr);
      const seen = await Promise.all(others.map((a) => post.ask(a, '', 'core.look', {}, CoreWords.seen, Paces.ask)));
      const all = seen.flatMap((s) => (s.ok ? [s.val] : []));
      const known = all
        .map((s) => s.view)
        .filter((v): v is View => v !== null)
        .sort((a, b) => b.epoch - a.epoch)[0];
      if (known) {
        await adopt(known);
        return;
      }
      const voters = [me(), ...all.map((s) => s.me)].sort((a, b) => (a.id < b.id ? -1 : 1));
      const three = new Set(voters.map((m) => m.id)).size === 3 && voters.length === 3;
      if (three && all.every((s) => s.took === null) && Views.same(voters[0], me())) {
        await helm.propose(voters, { epoch: 1, voters, chain: voters }, 'The first view.');
      }
    };
    const join = async (v: View): Promise<void> => {
      const ask = Dice.one(
        world.chance,
        Views.all(v).filter((m) => m.id !== me().id),
      );
      if (ask) await post.ask(ask.addr, ask.id, 'core.join', { me: me() }, CoreWords.done, Paces.ask);
    };
    const mind = (v: View): void => {
      if (helm.busy() || sick() || !Views.votes(v, me())) return;
      const mates = v.chain.filter((m) => !Views.same(m, me()));
      const gone = mates.find((m) => watch.silent(m) > Paces.suspect || watch.heard(m)?.sick);
      if (gone) {
        const up = v.voters.filter((m) => Views.same(m, me()) || watch.silent(m) < Paces.suspect);
        const turn = up.findIndex((m) => Views.same(m, me())) * 300;
        if (watch.heard(gone)?.sick || watch.silent(gone) > Paces.suspect + turn) {
          void helm.propose(
            v.voters,
            Views.without(v, gone),
            `${gone.id} is ${watch.heard(gone)?.sick ? 'sick' : 'silent'}.`,
          );
        }
        return;
      }
      const heir = mates.find(
        (m) =>
          !Views.votes(v, m) &&
          v.voters.some((x) => x.id === m.id) &&
          watch.heard(m)?.fresh &&
          watch.heard(m)?.epoch === v.epoch,
      );
      if (heir) {
        void helm.propose(v.voters, Views.withVoter(v, heir), `${heir.id} has caught up and votes.`);
        return;
      }
      if (
        Views.same(Views.head(v), me()) &&
        mates.some((m) => {
          const h = watch.heard(m);
          return h && !h.fresh && h.epoch === v.epoch;
        })
      )
        chain.remend();
    };
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
        await begin();
        return;
      }
      const best = await watch.beat(view, { sick: sick(), fresh: chain.fresh() });
      if (best) await adopt(best);
      const now: View = view;
      if (inside()) mind(now);
      else if (!sick()) await join(now);
    };

    post.on('core.beat', CoreWords.beat, (body) => {
      watch.seen(body.me, { sick: body.sick, fresh: body.fresh, epoch: body.epoch });
      const claim =
        !!view &&
        body.epoch === view.epoch &&
        Views.place(view, body.me) >= 0 &&
        Views.votes(view, me()) &&
        voter.grant(view.epoch, Paces.hold);
      return { me: me(), view, claim, sick: sick(), fresh: chain.fresh() };
    });
    const fits = (epoch: number): boolean => epoch === (view?.epoch ?? 0) + 1 && (!view || Views.votes(view, me()));
    post.on('core.prepare', CoreWords.prepare, async (body) => {
      if (!fits(body.epoch)) return { ok: false, wait: 0, promised: 0, took: null, view };
      return { ...(await voter.prepare(body.epoch, body.ballot)), view };
    });
    post.on('core.accept', CoreWords.accept, async (body) => {
      if (!fits(body.epoch)) return { ok: false, promised: 0, view };
      return { ...(await voter.accept(body.epoch, body.ballot, body.view)), view };
    });
    post.on('core.view', CoreWords.view, async (body) => ({ ok: await adopt(body.view) }));
    post.on('core.hint', CoreWords.look, () => ({ view }));
    post.on('core.look', CoreWords.look, () => ({ view, took: voter.took(), me: me() }));
    post.on('core.join', CoreWords.join, (body) => {
      const v = view,
        m = body.me;
      if (!v || !inside() || sick() || helm.busy() || !Views.votes(v, me())) return { ok: false };
      const twin = v.chain.find((x) => x.id === m.id);
      if (!v.voters.some((x) => x.id === m.id) || (twin?.addr === m.addr && Views.same(twin, m))) return { ok: false };
      if (twin && !Views.same(twin, m) && watch.silent(twin) < Paces.suspect) return { ok: false };
      void helm.propose(v.voters, Views.withTail(v, m), `${m.id} joins at the tail.`);
      return { ok: true };
    });

    return {
      start(): void {
        if (kept.view) place(kept.view);
        stop = Timer.every(world.clock, Paces.beat, tick);
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
