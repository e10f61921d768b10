import { Dice, Timer, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import { Chain } from './chain/chain.js';
import { ChainRules } from './chain/chainrules.js';
import { CoreLifecycle } from './corelife.js';
import { CoreService } from './service/coredesk.js';
import type { CoreState } from './state/corestate.js';
import { CoreMessages } from './service/coremessages.js';
import { Bootstrap } from './consensus/bootstrap.js';
import { ViewChanger } from './consensus/viewchanger.js';
import type { Member } from './membership/member.js';
import { RepairTask } from './membership/repairtask.js';
import { CoreTimings } from './coretimings.js';
import { LeaseRecall } from './consensus/leaserecall.js';
import type { Store } from './state/store.js';
import type { View } from './consensus/view.js';
import { ViewFile } from './consensus/viewfile.js';
import { Views } from './consensus/views.js';
import { Voter } from './consensus/voter.js';
import type { Vote } from './consensus/vote.js';
import { FailureDetector } from './membership/failuredetector.js';
import { AddressBook } from './membership/addressbook.js';

type Kept = { born: string | null; view: View | null; vote: Vote | null; state: CoreState };
type Hooks = {
  /** Where other core daemons may be met. */
  cores: () => readonly string[];
  /** The addresses that every daemon was given at the first start. */
  seeds: () => readonly string[];
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
  make(world: World, post: PostBox, ident: () => Ident, store: Store, kept: Kept, h: Hooks) {
    const log = world.log('core');
    const me = (): Member => ({ id: ident().id, born: ident().born, addr: ident().addr });
    const life = interpret(CoreLifecycle, () => undefined);
    const viewFile = ViewFile.make(store, kept.view);
    // A daemon that lived before may have granted leases, also on a view that it had not on disk yet.
    const until = kept.born === null ? 0 : world.clock.mono() + CoreTimings.viewLeaseMs;
    const voter = Voter.make(store, world.clock.mono, kept.vote, until, viewFile.ensureSaved);
    const addresses = AddressBook.make(world, post, me, h.cores);
    const detector = FailureDetector.make(world, post, me, addresses, voter);
    let view: View | null = null;
    const resting = LeaseRecall.make(world, post, me, addresses, () => view, detector, voter);
    let leaving = false;
    let stop: () => void = () => undefined;
    const sick = (): boolean =>
      life.machine.current === 'sick' || store.longestPendingWriteMs() > CoreTimings.diskStallMs;
    const inside = (): boolean => !!view && view.chain.some((m) => Views.same(m, me()) && m.addr === me().addr);
    /** In the chain, though the view may still have it at another address. */
    const placed = (v: View): boolean => Views.place(v, me()) >= 0;
    const live = (): boolean => !sick() && detector.holdsLease(view);
    const ill = (why: string): void => {
      if (life.machine.current !== 'sick') {
        log.warn(`The disk failed: ${why}. Leaving the chain.`);
        world.tell({ what: 'sick' });
      }
      life.send('ill');
    };
    const isTail = (): boolean => !!view && Views.same(Views.tail(view), me());
    const isHead = (): boolean => !!view && Views.same(Views.head(view), me());
    const chain = Chain.make(world, post, store, kept.state, {
      view: () => view,
      live: live,
      me,
      ill: ill,
      passed: h.passed,
    });
    const desk = CoreService.make(world, post, { view: () => view, live: live, chain, isTail, isHead });
    const place = (next: View): void => {
      view = next;
      voter.onViewChange(next.epoch);
      detector.reset();
      desk.onViewChange();
      life.send(inside() ? 'placed' : 'found');
      chain.onViewChange();
    };
    const adopt = async (next: View): Promise<boolean> => {
      if (view && next.epoch <= view.epoch) return next.epoch === view.epoch;
      place(next);
      const fault = await viewFile.save(next);
      if (fault !== null) ill(fault);
      return true;
    };
    const viewChanger = ViewChanger.make(world, post, me, addresses, resting, adopt);

    const stands = (): boolean => !view && (h.first || kept.vote !== null);
    const bootstrap = Bootstrap.make(world, post, voter, viewChanger, {
      ...h,
      me,
      addresses,
      view: () => view,
      stands: stands,
      adopt,
    });

    const join = async (v: View): Promise<void> => {
      const ask = Dice.one(
        world.chance,
        Views.all(v).filter((m) => m.id !== me().id),
      );
      if (ask)
        await post.ask(
          addresses.addressOf(ask),
          ask.id,
          'core.join',
          { me: me() },
          CoreMessages.done,
          CoreTimings.requestTimeoutMs,
        );
    };
    const repair = RepairTask.make(me, world.clock.mono, detector, viewChanger, chain);
    const heal = async (): Promise<void> => {
      const done = await store.saveIdentity(me().born, false);
      if (done.ok && (await viewFile.ensureSaved())) {
        log.say('The disk is well again.');
        life.send('well');
      }
    };
    const tick = async (): Promise<void> => {
      if (life.machine.current === 'sick') void heal();
      if (!view) {
        await bootstrap.runRound();
        return;
      }
      const best = await detector.sendHeartbeats(view, { sick: sick(), fresh: chain.fresh() });
      if (best) await adopt(best);
      const now: View = view;
      if (inside()) {
        if (!sick()) repair.checkMembers(now);
      } else if (!sick() && !leaving) {
        repair.takeOverFromReserve(now);
        if (!viewChanger.isBusy()) await join(now);
      }
    };

    post.on('core.beat', CoreMessages.beat, (body) => {
      addresses.note(body.me);
      detector.recordHeartbeat(body.me, { sick: body.sick, fresh: body.fresh, epoch: body.epoch });
      const lease =
        !!view &&
        ChainRules.mayLease(view, body.epoch, body.me, me()) &&
        voter.grantLease(view.epoch, CoreTimings.viewLeaseMs, body.me);
      return { me: me(), view, claim: lease, sick: sick(), fresh: chain.fresh() };
    });
    const fits = (epoch: number): boolean =>
      epoch === (view?.epoch ?? 0) + 1 && (view ? Views.votes(view, me()) : stands());
    post.on('core.prepare', CoreMessages.prepare, async (body) => {
      if (!fits(body.epoch)) return { ok: false, wait: 0, promised: 0, took: null, view };
      return { ...(await resting.prepare(body.epoch, body.ballot)), view };
    });
    post.on('core.accept', CoreMessages.accept, async (body) => {
      if (!fits(body.epoch)) return { ok: false, promised: 0, view };
      return { ...(await voter.accept(body.epoch, body.ballot, body.view)), view };
    });
    post.on('core.view', CoreMessages.view, async (body) => ({ ok: await adopt(body.view) }));
    post.on('core.hint', CoreMessages.look, () => ({ view }));
    post.on('core.join', CoreMessages.join, (body) => {
      const v = view,
        m = body.me;
      addresses.note(m);
      if (!v || !placed(v) || sick() || viewChanger.isBusy() || !Views.votes(v, me())) return { ok: false };
      const twin = v.chain.find((x) => x.id === m.id);
      if (!Views.room(v, m) || (twin?.addr === m.addr && Views.same(twin, m))) return { ok: false };
      if (twin && !Views.same(twin, m) && detector.silentForMs(twin) < CoreTimings.suspectAfterMs) return { ok: false };
      const next = repair.viewWithNewcomer(v, m);
      if (next) void viewChanger.propose(v.voters, next, `${m.id} joins at the tail.`);
      return { ok: next !== null };
    });

    return {
      start(): void {
        if (kept.view) place(kept.view);
        stop = Timer.every(world.clock, CoreTimings.heartbeatIntervalMs, tick);
      },
      /** Has a view agreed without this daemon, if enough copies are left, and sees to it that the others know. */
      async leave(): Promise<void> {
        leaving = true;
        const out = async (): Promise<void> => {
          while (view && inside() && !sick() && view.chain.length > Views.most(view)) {
            if (!(await repair.leave(view))) await Timer.nap(world.clock, 20);
          }
          await viewChanger.announced();
        };
        await Timer.within(world.clock, CoreTimings.leaveTimeoutMs, out(), () => undefined);
      },
      stop(): void {
        stop();
      },
      view: (): View | null => view,
      life: (): string => life.machine.current,
      live: live,
      chain,
      service: desk,
    };
  },
};
