import { Timer, type Ident, type Messenger, type NamedRoute, type Verdict } from '@pumicebarrow/forms';
import { DesignatedHolder } from '../designatedholder.js';
import type { RecordStore, GossipNode } from '@pumicebarrow/purge';
import type { ControlClient, Loan } from '@pumicebarrow/registry';
import type { DaemonLeases } from '../daemonleases.js';
import { BorrowedRequestRunner } from '../borrowedrequestrunner.js';
import { LoadTracker } from '../loadtracker.js';
import type { RequestRunnerDependencies } from '../requestrunnerdependencies.js';
import type { FleetRecordsView } from '../fleetrecordsview.js';
import { Borrower } from './borrower.js';
import { Lender } from './lender.js';
import { LoanHistory } from './loanhistory.js';
import { LiveDemandMonitor } from './livedemandmonitor.js';
import { LoanMessages } from './loanmessages.js';
import { BurstRunner } from './burstrunner.js';

type Shared = Pick<
  RequestRunnerDependencies,
  'world' | 'choice' | 'town' | 'hails' | 'witness' | 'back' | 'sighted' | 'version' | 'sure'
>;
type Dependencies = Shared & {
  post: Messenger;
  controlClient: ControlClient;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  recordStore: RecordStore;
  /** Gossip by which loans are published. */
  purge: GossipNode;
  /** Named leases held by this daemon. */
  duty: DaemonLeases;
  /** Load of this daemon's live requests on the servers. */
  loads: ReturnType<typeof LoadTracker.make>;
  /** Weight of live requests that wait: for admission ('prefill'), or with a KV handle for a server ('decode'). */
  waiting: (part: 'prefill' | 'decode') => number;
  /** Zone of this daemon. */
  site: string;
  /** Why this daemon accepts no requests at present; null while it accepts them. */
  open: () => Verdict | null;
  /** Whether the backend inventory is recent enough to route by. */
  young: () => boolean;
  serving: () => boolean;
  /** Load of the whole fleet by live requests. */
  load: () => { read: number; write: number };
  roster: () => readonly Ident[];
  /** Checks whether this daemon has been suspended. */
  look: () => void;
  self: () => string;
};
const DISPATCH_INTERVAL_MS = 50;

/** Lending in one daemon: it lends the servers whose leases it holds, borrows servers, and runs bursts on them. */
export const LendingService = {
  make(deps: Dependencies) {
    const { world, sheet } = deps;
    const borrowedLoads = LoadTracker.make();
    const termMs = (): number => sheet.configuration()?.lending?.length ?? 0;
    const loan = (server: string): Loan | null =>
      (deps.recordStore.get(`loan:${server}`)?.body as Loan | undefined) ?? null;
    const loans = (): Loan[] => [...sheet.assignments().keys()].flatMap((s) => loan(s) ?? []);
    const history = LoanHistory.make(world.clock, deps.recordStore);
    const lender = Lender.make({ ...deps, loan });
    const borrower = Borrower.make({
      ...{
        world,
        post: deps.post,
        sheet,
        town: deps.town,
        roster: deps.roster,
        checkSuspension: deps.look,
        runningWeight: borrowedLoads.weightAt,
      },
      onLoanEnded: () => borrowedRun.clear(),
    });
    const borrowedRun = BorrowedRequestRunner.make({
      ...deps,
      charter: sheet.configuration,
      loads: borrowedLoads,
      borrower,
    });
    const runner = BurstRunner.make({
      ...{
        world,
        controlClient: deps.controlClient,
        duty: deps.duty,
        configuration: sheet.configuration,
        capacity: borrowedRun.slotsFor,
      },
      run: (request, writer) => {
        const done = borrowedRun.request(request, writer);
        borrowedRun.grantTurns();
        return done;
      },
    });
    const monitor = LiveDemandMonitor.make({
      ...{ clock: world.clock, post: deps.post, choice: deps.choice, loads: deps.loads, loans, roster: deps.roster },
      slots: (server) => sheet.configuration()?.servers.find((s) => s.id === server)?.slots ?? 0,
      waiting: deps.waiting,
      load: deps.load,
      lender: (server) => DesignatedHolder.of(`row:${server}`, deps.roster()),
      onRecall: (part, servers) => world.recordEvent({ what: 'wouldwait', part, servers }),
    });
    deps.post.on('loan.recall', LoanMessages.recall, (message) => {
      lender.recall(message.server);
      const ok = borrower.recalled(message.server);
      if (ok)
        world.recordEvent({
          what: 'recalled',
          server: message.server,
          running: borrowedLoads.weightAt(message.server),
        });
      return { ok, running: borrowedLoads.weightAt(message.server) };
    });
    const stopTimers: (() => void)[] = [];
    return {
      /** The loans of all servers as last published. */
      loans,
      /** Past and present loans of a server. */
      history: history.of,
      leaseNames: runner.leaseNames,
      forgetLeases: borrower.forgetAll,
      /** The decode servers at which borrowed requests run. */
      streaming: (): string[] =>
        [...sheet.assignments().values()].flatMap(({ assignment: row }) =>
          row.part === 'decode' && borrowedLoads.weightAt(row.server) > 0 ? [row.server] : [],
        ),
      inFlight: borrowedRun.inFlight,
      inProgress: runner.inProgress,
      /** Called when a live request has arrived; `name` is the route that it asks for, if any. */
      onArrival(name: string | undefined): void {
        const configuration = sheet.configuration();
        if (!configuration?.lending) return;
        const route: NamedRoute | undefined = configuration.rules.find(
          (r) => r.name === (name ?? configuration.fallback),
        );
        if (route) monitor.onArrival(route);
      },
      /** Called when a live request has finished prefill and needs a decode server. */
      onPrefillDone(route: NamedRoute): void {
        if (sheet.configuration()?.lending) monitor.onPrefillDone(route);
      },
      start(): void {
        stopTimers.push(
          Timer.every(world.clock, DISPATCH_INTERVAL_MS, () => {
            borrowedRun.grantTurns();
            runner.fill();
          }),
        );
      },
      async tick(): Promise<void> {
        lender.tick();
        if (!sheet.configuration()?.lending && runner.inProgress() === 0 && borrower.count() === 0) return;
        borrower.tick(deps.serving() ? runner.need() : null, termMs());
        await runner.read();
      },
      /** Starts nothing more, gives back loans, returns waiting requests to their bursts, lets running ones finish. */
      async leave(until: number): Promise<void> {
        runner.stop();
        borrowedRun.clear();
        borrower.tick(null, termMs());
        while (runner.inProgress() > 0 && world.clock.mono() < until)
          await Timer.sleep(world.clock, DISPATCH_INTERVAL_MS);
      },
      stop(): void {
        for (const stopTimer of stopTimers) stopTimer();
      },
    };
  },
};
