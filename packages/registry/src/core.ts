import { Random, Timer, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import { Chain } from './chain/chain.js';
import { ChainRules } from './chain/chainrules.js';
import { CoreLifecycle } from './corelifecycle.js';
import { CoreService } from './service/coreservice.js';
import type { CoreState } from './state/corestate.js';
import { CoreMessages } from './service/coremessages.js';
import { Bootstrap } from './consensus/bootstrap.js';
import { ViewChanger } from './consensus/viewchanger.js';
import type { Member } from './membership/member.js';
import { RepairTask } from './membership/repairtask.js';
import { CoreTimings } from './coretimings.js';
import { LeaseRecall } from './consensus/leaserecall.js';
import type { CoreStore } from './state/corestore.js';
import type { View } from './consensus/view.js';
import { ViewFile } from './consensus/viewfile.js';
import { Views } from './consensus/views.js';
import { Voter } from './consensus/voter.js';
import { VotePlacer } from './membership/voteplacer.js';
import type { Vote } from './consensus/vote.js';
import { FailureDetector } from './membership/failuredetector.js';
import type { FaultTolerance } from './consensus/faulttolerance.js';
import { AddressBook } from './membership/addressbook.js';
import { MemberLocations } from './membership/memberlocations.js';

/** What was loaded from disk at startup; `born` is the incarnation, null on an empty disk. */
type RestoredState = { born: string | null; view: View | null; vote: Vote | null; state: CoreState };
type Hooks = {
  /** Returns the addresses where other control replicas may be reached. */
  coreAddresses: () => readonly string[];
  /** The addresses given to every daemon at its first start. */
  seeds: () => readonly string[];
  /** What may be lost at the same time. It sets the size of the first view; later views keep that size. */
  tolerance: FaultTolerance;
  /** The region of a zone. */
  regionOf: (zone: string) => string;
  /** Whether a daemon with nothing on disk may help to form the first view. */
  mayFormFirstView: boolean;
  /** Called with each committed state. */
  onCommitted: (s: CoreState) => void;
};

/**
 * One control replica: its place in the agreed view, and its part in repairing the view. Invariant: the epoch of the
 * view held here only rises.
 */
export const Core = {
  make(world: World, post: Messenger, ident: () => Ident, store: CoreStore, restored: RestoredState, hooks: Hooks) {
    const log = world.log('core');
    const me = (): Member => ({ id: ident().id, born: ident().born, addr: ident().addr });
    const lifecycle = interpret(CoreLifecycle, () => undefined);
    const viewFile = ViewFile.make(store, restored.view);
    // An earlier run of this daemon may have granted leases, also on a view that was not on disk yet.
    const earlierLeasesUntil = restored.born === null ? 0 : world.clock.mono() + CoreTimings.viewLeaseMs;
    const voter = Voter.make(store, world.clock.mono, restored.vote, earlierLeasesUntil, viewFile.ensureSaved);
    const addresses = AddressBook.make(world, post, me, hooks.coreAddresses);
    const locations = MemberLocations.make(world.clock, ident, hooks.regionOf);
    const detector = FailureDetector.make(world, post, me, addresses, voter);
    let view: View | null = null;
    const recallingVoter = LeaseRecall.make(world, post, me, addresses, () => view, detector, voter);
    let leaving = false;
    let stop: () => void = () => undefined;
    const isSick = (): boolean =>
      lifecycle.machine.current === 'sick' || store.longestPendingWriteMs() > CoreTimings.diskStallMs;
    const isInChain = (): boolean =>
      !!view && view.chain.some((m) => Views.sameMember(m, me()) && m.addr === me().addr);
    /** In the chain, though the view may have an older address of this daemon. */
    const hasPosition = (inView: View): boolean => Views.positionOf(inView, me()) >= 0;
    const holdsLease = (): boolean => !isSick() && detector.holdsLease(view);
    const onDiskFault = (reason: string): void => {
      if (lifecycle.machine.current !== 'sick') {
        log.warn(`The disk failed: ${reason}. Leaving the chain.`);
        world.recordEvent({ what: 'sick' });
      }
      lifecycle.send('ill');
    };
    const isTail = (): boolean => !!view && Views.sameMember(Views.tail(view), me());
    const isHead = (): boolean => !!view && Views.sameMember(Views.head(view), me());
    const chain = Chain.make(world, post, store, restored.state, {
      view: () => view,
      holdsLease,
      me,
      onDiskFault,
      onCommitted: hooks.onCommitted,
    });
    const service = CoreService.make(world, post, { view: () => view, holdsLease, chain, isTail, isHead });
    const installView = (next: View): void => {
      view = next;
      voter.onViewChange(next.epoch);
      detector.reset();
      service.onViewChange();
      lifecycle.send(isInChain() ? 'placed' : 'found');
      chain.onViewChange();
    };
    const adopt = async (next: View): Promise<boolean> => {
      if (view && next.epoch <= view.epoch) return next.epoch === view.epoch;
      installView(next);
      const fault = await viewFile.save(next);
      if (fault !== null) onDiskFault(fault);
      return true;
    };
    const viewChanger = ViewChanger.make(world, post, me, addresses, recallingVoter, adopt);

    const isCandidate = (): boolean => !view && (hooks.mayFormFirstView || restored.vote !== null);
    const bootstrap = Bootstrap.make(world, post, voter, viewChanger, {
      ...hooks,
      me,
      addresses,
      locations,
      view: () => view,
      isCandidate,
      adopt,
    });

    const join = async (joinedView: View): Promise<void> => {
      const contact = Random.pick(
        world.random,
        Views.allMembers(joinedView).filter((m) => m.id !== me().id),
      );
      if (contact)
        await post.ask(
          addresses.addressOf(contact),
          contact.id,
          'core.join',
          { me: me() },
          CoreMessages.acknowledgement,
          CoreTimings.requestTimeoutMs,
        );
    };
    const votes = VotePlacer.make(hooks.tolerance, locations, world.log('view'));
    const repair = RepairTask.make(me, world.clock.mono, detector, viewChanger, chain, votes);
    const recoverDisk = async (): Promise<void> => {
      const written = await store.saveIdentity(me().born, false);
      if (written.ok && (await viewFile.ensureSaved())) {
        log.info('The disk has recovered.');
        lifecycle.send('well');
      }
    };
    const tick = async (): Promise<void> => {
      if (lifecycle.machine.current === 'sick') void recoverDisk();
      if (!view) {
        await bootstrap.runRound();
        return;
      }
      const newestView = await detector.sendHeartbeats(view, { sick: isSick(), fresh: chain.fresh() });
      if (newestView) await adopt(newestView);
      const currentView: View = view;
      if (isInChain()) {
        if (!isSick()) repair.checkMembers(currentView);
      } else if (!isSick() && !leaving) {
        repair.takeOverFromReserve(currentView);
        if (!viewChanger.isBusy()) await join(currentView);
      }
    };

    post.on('core.beat', CoreMessages.heartbeat, (body, from) => {
      addresses.record(body.me);
      locations.record(from);
      detector.recordHeartbeat(body.me, { sick: body.sick, fresh: body.fresh, epoch: body.epoch });
      const leaseGranted =
        !!view &&
        ChainRules.mayRequestLease(view, body.epoch, body.me, me()) &&
        voter.grantLease(view.epoch, CoreTimings.viewLeaseMs, body.me);
      return { me: me(), view, claim: leaseGranted, sick: isSick(), fresh: chain.fresh() };
    });
    const isNextEpoch = (epoch: number): boolean =>
      epoch === (view?.epoch ?? 0) + 1 && (view ? Views.isVoter(view, me()) : isCandidate());
    post.on('core.prepare', CoreMessages.prepare, async (body) => {
      if (!isNextEpoch(body.epoch)) return { ok: false, wait: 0, promised: 0, took: null, view };
      return { ...(await recallingVoter.prepare(body.epoch, body.ballot)), view };
    });
    post.on('core.accept', CoreMessages.accept, async (body) => {
      if (!isNextEpoch(body.epoch)) return { ok: false, promised: 0, view };
      return { ...(await voter.accept(body.epoch, body.ballot, body.view)), view };
    });
    post.on('core.view', CoreMessages.viewNotice, async (body) => ({ ok: await adopt(body.view) }));
    post.on('core.hint', CoreMessages.empty, () => ({ view }));
    post.on('core.join', CoreMessages.join, (body, from) => {
      const currentView = view,
        newcomer = body.me;
      addresses.record(newcomer);
      locations.record(from);
      if (
        !currentView ||
        !hasPosition(currentView) ||
        isSick() ||
        viewChanger.isBusy() ||
        !Views.isVoter(currentView, me())
      )
        return { ok: false };
      const namesake = currentView.chain.find((x) => x.id === newcomer.id);
      if (namesake?.addr === newcomer.addr && Views.sameMember(namesake, newcomer)) return { ok: false };
      if (
        namesake &&
        !Views.sameMember(namesake, newcomer) &&
        detector.silentForMs(namesake) < CoreTimings.suspectAfterMs
      )
        return { ok: false };
      const next = repair.viewWithNewcomer(currentView, newcomer);
      if (next) void viewChanger.propose(currentView.voters, next, `${newcomer.id} joins at the tail.`);
      return { ok: next !== null };
    });

    const recordRun = async (): Promise<void> => {
      const written = await store.recordRun();
      if (written.err) onDiskFault(written.val);
    };

    return {
      start(): void {
        if (restored.view) installView(restored.view);
        void recordRun();
        stop = Timer.every(world.clock, CoreTimings.heartbeatIntervalMs, tick);
      },
      /**
       * Has a view agreed without this daemon, if enough complete replicas remain, and waits until the others were told
       * of it.
       */
      async leave(): Promise<void> {
        leaving = true;
        const removeSelf = async (): Promise<void> => {
          while (view && isInChain() && !isSick() && view.chain.length > Views.majority(view)) {
            if (!(await repair.leave(view))) await Timer.sleep(world.clock, 20);
          }
          await viewChanger.announced();
        };
        await Timer.withTimeout(world.clock, CoreTimings.leaveTimeoutMs, removeSelf(), () => undefined);
      },
      stop(): void {
        stop();
      },
      view: (): View | null => view,
      runNumber: (): number | null => store.runNumber(),
      lifecycleState: (): string => lifecycle.machine.current,
      holdsLease,
      chain,
      service,
    };
  },
};
