import { Timer, type Ident, type PostBox, type Rule, type Verdict } from '@pumicebarrow/forms';
import { Holder } from '../holder.js';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { ControlClient, Loan } from '@pumicebarrow/registry';
import type { Duties } from '../duties.js';
import { LentRun } from '../lentrun.js';
import { Loads } from '../loads.js';
import type { RunTools } from '../runtools.js';
import type { SheetView } from '../sheetview.js';
import { Borrower } from './borrower.js';
import { Lender } from './lender.js';
import { LoanDiary } from './loandiary.js';
import { LiveWatch } from './livewatch.js';
import { LoanWords } from './loanwords.js';
import { Runner } from './runner.js';

type Shared = Pick<
  RunTools,
  'world' | 'choice' | 'town' | 'hails' | 'witness' | 'back' | 'sighted' | 'version' | 'sure'
>;
type Dependencies = Shared & {
  post: PostBox;
  line: ControlClient;
  /** Configuration and stage assignments. */
  sheet: SheetView;
  shelf: Holding;
  /** Gossip by which loans are published. */
  purge: Purging;
  /** Named leases held by this daemon. */
  duty: Duties;
  /** Load of this daemon's live requests on the servers. */
  loads: ReturnType<typeof Loads.make>;
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
export const Lending = {
  make(deps: Dependencies) {
    const { world, sheet } = deps;
    const borrowedLoads = Loads.make();
    const termMs = (): number => sheet.charter()?.lending?.length ?? 0;
    const loan = (server: string): Loan | null => (deps.shelf.get(`loan:${server}`)?.body as Loan | undefined) ?? null;
    const loans = (): Loan[] => [...sheet.rows().keys()].flatMap((s) => loan(s) ?? []);
    const history = LoanDiary.make(world.clock, deps.shelf);
    const lender = Lender.make({ ...deps, loan });
    const borrower = Borrower.make({
      ...{
        world,
        post: deps.post,
        sheet,
        town: deps.town,
        roster: deps.roster,
        checkSuspension: deps.look,
        runningWeight: borrowedLoads.at,
      },
      onLoanEnded: () => borrowedRun.clear(),
    });
    const borrowedRun = LentRun.make({ ...deps, charter: sheet.charter, loads: borrowedLoads, borrower });
    const runner = Runner.make({
      ...{ world, controlClient: deps.line, duty: deps.duty, configuration: sheet.charter, capacity: borrowedRun.room },
      run: (request, writer) => {
        const done = borrowedRun.request(request, writer);
        borrowedRun.pump();
        return done;
      },
    });
    const monitor = LiveWatch.make({
      ...{ clock: world.clock, post: deps.post, choice: deps.choice, loads: deps.loads, loans, roster: deps.roster },
      slots: (server) => sheet.charter()?.servers.find((s) => s.id === server)?.slots ?? 0,
      waiting: deps.waiting,
      load: deps.load,
      lender: (server) => Holder.of(`row:${server}`, deps.roster()),
      onRecall: (part, servers) => world.tell({ what: 'wouldwait', part, servers }),
    });
    deps.post.on('loan.recall', LoanWords.recall, (message) => {
      lender.recall(message.server);
      const ok = borrower.recalled(message.server);
      if (ok) world.tell({ what: 'recalled', server: message.server, running: borrowedLoads.at(message.server) });
      return { ok, running: borrowedLoads.at(message.server) };
    });
    const stopTimers: (() => void)[] = [];
    return {
      /** The loans of all servers as last published. */
      loans,
      /** Past and present loans of a server. */
      history: history.of,
      names: runner.leaseNames,
      drop: borrower.forgetAll,
      /** The decode servers at which borrowed requests run. */
      streaming: (): string[] =>
        [...sheet.rows().values()].flatMap(({ row }) =>
          row.part === 'decode' && borrowedLoads.at(row.server) > 0 ? [row.server] : [],
        ),
      under: borrowedRun.under,
      hand: runner.inProgress,
      /** Called when a live request has arrived; `name` is the route that it asks for, if any. */
      arrived(name: string | undefined): void {
        const configuration = sheet.charter();
        if (!configuration?.lending) return;
        const route: Rule | undefined = configuration.rules.find((r) => r.name === (name ?? configuration.fallback));
        if (route) monitor.onArrival(route);
      },
      /** Called when a live request has finished prefill and needs a decode server. */
      handed(route: Rule): void {
        if (sheet.charter()?.lending) monitor.onPrefillDone(route);
      },
      start(): void {
        stopTimers.push(
          Timer.every(world.clock, DISPATCH_INTERVAL_MS, () => {
            borrowedRun.pump();
            runner.fill();
          }),
        );
      },
      async tick(): Promise<void> {
        lender.tick();
        if (!sheet.charter()?.lending && runner.inProgress() === 0 && borrower.count() === 0) return;
        borrower.tick(deps.serving() ? runner.need() : null, termMs());
        await runner.read();
      },
      /** Starts nothing more, gives back loans, returns waiting requests to their bursts, lets running ones finish. */
      async leave(until: number): Promise<void> {
        runner.stop();
        borrowedRun.clear();
        borrower.tick(null, termMs());
        while (runner.inProgress() > 0 && world.clock.mono() < until)
          await Timer.nap(world.clock, DISPATCH_INTERVAL_MS);
      },
      stop(): void {
        for (const stopTimer of stopTimers) stopTimer();
      },
    };
  },
};
