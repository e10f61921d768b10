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
type Tools = Shared & {
  post: PostBox;
  line: ControlClient;
  sheet: SheetView;
  shelf: Holding;
  purge: Purging;
  duty: Duties;
  loads: ReturnType<typeof Loads.make>;
  /** The weight of live requests that wait for a turn at admission, and with a handle for a decode server. */
  waiting: (part: 'prefill' | 'decode') => number;
  site: string;
  open: () => Verdict | null;
  young: () => boolean;
  serving: () => boolean;
  load: () => { read: number; write: number };
  roster: () => readonly Ident[];
  look: () => void;
  self: () => string;
};
const PUMP = 50;

/** Lending in one daemon: as lender of the servers whose rows it holds, as borrower, and as runner of bursts. */
export const Lending = {
  make(t: Tools) {
    const { world, sheet } = t;
    const lent = Loads.make();
    const term = (): number => sheet.charter()?.lending?.length ?? 0;
    const loan = (server: string): Loan | null => (t.shelf.get(`loan:${server}`)?.body as Loan | undefined) ?? null;
    const loans = (): Loan[] => [...sheet.rows().keys()].flatMap((s) => loan(s) ?? []);
    const diary = LoanDiary.make(world.clock, t.shelf);
    const lender = Lender.make({ ...t, loan });
    const borrower = Borrower.make({
      ...{ world, post: t.post, sheet, town: t.town, roster: t.roster, look: t.look, running: lent.at },
      ended: () => run.clear(),
    });
    const run = LentRun.make({ ...t, charter: sheet.charter, loads: lent, borrower });
    const runner = Runner.make({
      ...{ world, line: t.line, duty: t.duty, charter: sheet.charter, room: run.room },
      run: (request, sink) => {
        const done = run.request(request, sink);
        run.pump();
        return done;
      },
    });
    const watch = LiveWatch.make({
      ...{ clock: world.clock, post: t.post, choice: t.choice, loads: t.loads, loans, roster: t.roster },
      slots: (server) => sheet.charter()?.servers.find((s) => s.id === server)?.slots ?? 0,
      waiting: t.waiting,
      load: t.load,
      lender: (server) => Holder.of(`row:${server}`, t.roster()),
      tell: (part, servers) => world.tell({ what: 'wouldwait', part, servers }),
    });
    t.post.on('loan.recall', LoanWords.recall, (b) => {
      lender.recalled(b.server);
      const ok = borrower.recalled(b.server);
      if (ok) world.tell({ what: 'recalled', server: b.server, running: lent.at(b.server) });
      return { ok, running: lent.at(b.server) };
    });
    const stops: (() => void)[] = [];
    return {
      loans,
      story: diary.of,
      names: runner.names,
      drop: borrower.drop,
      /** The decode servers at which borrowed requests run. */
      streaming: (): string[] =>
        [...sheet.rows().values()].flatMap(({ row }) =>
          row.part === 'decode' && lent.at(row.server) > 0 ? [row.server] : [],
        ),
      under: run.under,
      hand: runner.hand,
      /** A live request of a rule has come in. */
      arrived(name: string | undefined): void {
        const c = sheet.charter();
        if (!c?.lending) return;
        const rule: Rule | undefined = c.rules.find((r) => r.name === (name ?? c.fallback));
        if (rule) watch.arrived(rule);
      },
      /** A live request has been read, and wants a decode server. */
      handed(rule: Rule): void {
        if (sheet.charter()?.lending) watch.handed(rule);
      },
      start(): void {
        stops.push(
          Timer.every(world.clock, PUMP, () => {
            run.pump();
            runner.fill();
          }),
        );
      },
      async tick(): Promise<void> {
        lender.tick();
        if (!sheet.charter()?.lending && runner.hand() === 0 && borrower.count() === 0) return;
        borrower.tick(t.serving() ? runner.need() : null, term());
        await runner.read();
      },
      /** Begins nothing more, gives back what is lent and what waits, and lets what runs come to its end. */
      async leave(until: number): Promise<void> {
        runner.stop();
        run.clear();
        borrower.tick(null, term());
        while (runner.hand() > 0 && world.clock.mono() < until) await Timer.nap(world.clock, PUMP);
      },
      stop(): void {
        for (const s of stops) s();
      },
    };
  },
};
