import { type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { Holder } from '../holder.js';
import type { SheetView } from '../sheetview.js';
import type { TownView } from '../townview.js';
import { LoanWords } from './loanwords.js';

type Tools = {
  world: World;
  post: PostBox;
  sheet: SheetView;
  town: TownView;
  roster: () => readonly Ident[];
  running: (server: string) => number;
  look: () => void;
  /** What goes back to its burst when a loan has ended. */
  ended: () => void;
};
type Lease = { born: string; slots: number; until: number };
type Need = { burst: string; order: number };

const ASK = 400;
const CALM = 1000;
/** A loan is asked for again once this share of it is left. */
const AGAIN = 0.6;

/**
 * The leases that this daemon borrows under. Invariants: a lease counts from before it was asked for, so it ends here
 * before it does at its lender; one that was recalled, refused, or slept through is gone at once.
 */
export const Borrower = {
  make(t: Tools) {
    let leases: ReadonlyMap<string, Lease> = new Map();
    const busy = new Set<string>();
    const calm = new Map<string, number>();
    let slept = 0;
    const now = (): number => t.world.clock.mono();
    const without = (server: string): boolean => {
      if (!leases.has(server)) return false;
      const next = new Map(leases);
      next.delete(server);
      leases = next;
      return true;
    };
    const lender = (server: string): Ident | null => Holder.of(`row:${server}`, t.roster());
    const lease = (server: string, born: string): Lease | null => {
      t.look();
      const l = leases.get(server);
      return l && l.born === born && l.until > now() ? l : null;
    };
    const ask = async (server: string, born: string, need: Need): Promise<void> => {
      const who = lender(server);
      if (!who || busy.has(server)) return;
      busy.add(server);
      const sent = now(),
        before = slept;
      const body = { server, born, ...need };
      const r = await t.post.ask(who.addr, who.id, 'loan.ask', body, LoanWords.asked, ASK);
      busy.delete(server);
      t.look();
      if (!r.ok || before !== slept || (calm.get(server) ?? 0) > now()) return;
      if (!r.val.ok) {
        if (without(server)) t.ended();
        return;
      }
      leases = new Map(leases).set(server, { born, slots: r.val.slots, until: sent + r.val.term });
    };
    const give = (server: string): void => {
      const who = lender(server);
      if (!without(server) || !who) return;
      const body = { server, running: t.running(server) };
      void t.post.ask(who.addr, who.id, 'loan.give', body, LoanWords.done, ASK);
    };
    const recalled = (server: string): boolean => {
      calm.set(server, now() + CALM);
      const had = without(server);
      if (had) t.ended();
      return had;
    };
    return {
      lease,
      recalled,
      slots: (server: string, born: string): number => lease(server, born)?.slots ?? 0,
      count: (): number => [...leases.values()].filter((l) => l.until > now()).length,
      drop(): void {
        slept++;
        leases = new Map();
      },
      /** Asks for what is needed; gives all back where nothing is. */
      tick(need: Need | null, term: number): void {
        for (const [server, l] of leases) if (l.until <= now() && without(server)) t.ended();
        if (!need) {
          for (const server of leases.keys()) give(server);
          return;
        }
        for (const { row } of t.sheet.rows().values()) {
          const l = leases.get(row.server);
          if (row.stage !== 'serving' || !t.town.good(row.server, row.born) || (calm.get(row.server) ?? 0) > now())
            continue;
          if (!l || l.until - now() < term * AGAIN) void ask(row.server, row.born, need);
        }
      },
    };
  },
};
