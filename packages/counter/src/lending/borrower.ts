import { type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { DesignatedHolder } from '../designatedholder.js';
import type { FleetRecordsView } from '../fleetrecordsview.js';
import type { InventoryView } from '../inventoryview.js';
import { LoanMessages } from './loanmessages.js';

type Dependencies = {
  world: World;
  post: Messenger;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  /** Backend inventory. */
  town: InventoryView;
  roster: () => readonly Ident[];
  /** Weight of the borrowed requests that run at a server. */
  runningWeight: (server: string) => number;
  checkSuspension: () => void;
  /** Called when a loan has ended: requests that still wait for it go back to their burst. */
  onLoanEnded: () => void;
};
type Lease = { born: string; slots: number; until: number };
/** The earliest burst with work; `order` is its place among all bursts. */
type Need = { burst: string; order: number };

const REQUEST_TIMEOUT_MS = 400;
/** Pause before a server is requested again after its loan was recalled. */
const RECALL_COOLDOWN_MS = 1000;
/** A loan is renewed once less than this fraction of its term is left. */
const RENEWAL_FRACTION = 0.6;

/**
 * Borrows servers for bursts, each under a lease. Invariants: a lease counts from before it was requested, so it ends
 * here before it ends at the lender; a lease that was recalled or refused, or during which this daemon was suspended,
 * ends at once.
 */
export const Borrower = {
  make(deps: Dependencies) {
    let leases: ReadonlyMap<string, Lease> = new Map();
    const requesting = new Set<string>();
    const cooldownUntil = new Map<string, number>();
    let resets = 0;
    const now = (): number => deps.world.clock.mono();
    const remove = (server: string): boolean => {
      if (!leases.has(server)) return false;
      const remaining = new Map(leases);
      remaining.delete(server);
      leases = remaining;
      return true;
    };
    const lenderOf = (server: string): Ident | null => DesignatedHolder.of(`row:${server}`, deps.roster());
    const lease = (server: string, incarnation: string): Lease | null => {
      deps.checkSuspension();
      const held = leases.get(server);
      return held && held.born === incarnation && held.until > now() ? held : null;
    };
    const requestLoan = async (server: string, incarnation: string, need: Need): Promise<void> => {
      const lender = lenderOf(server);
      if (!lender || requesting.has(server)) return;
      requesting.add(server);
      const sentAt = now(),
        resetsBefore = resets;
      const body = { server, born: incarnation, ...need };
      const reply = await deps.post.ask(
        lender.addr,
        lender.id,
        'loan.ask',
        body,
        LoanMessages.askReply,
        REQUEST_TIMEOUT_MS,
      );
      requesting.delete(server);
      deps.checkSuspension();
      if (!reply.ok || resetsBefore !== resets || (cooldownUntil.get(server) ?? 0) > now()) return;
      if (!reply.val.ok) {
        if (remove(server)) deps.onLoanEnded();
        return;
      }
      leases = new Map(leases).set(server, {
        born: incarnation,
        slots: reply.val.slots,
        until: sentAt + reply.val.term,
      });
    };
    const giveBack = (server: string): void => {
      const lender = lenderOf(server);
      if (!remove(server) || !lender) return;
      const body = { server, running: deps.runningWeight(server) };
      void deps.post.ask(lender.addr, lender.id, 'loan.give', body, LoanMessages.giveReply, REQUEST_TIMEOUT_MS);
    };
    const recalled = (server: string): boolean => {
      cooldownUntil.set(server, now() + RECALL_COOLDOWN_MS);
      const hadLease = remove(server);
      if (hadLease) deps.onLoanEnded();
      return hadLease;
    };
    return {
      /** The valid lease on this incarnation of a server. */
      lease,
      /** Ends the lease on a server at its lender's request; true if there was one. */
      recalled,
      slots: (server: string, incarnation: string): number => lease(server, incarnation)?.slots ?? 0,
      count: (): number => [...leases.values()].filter((l) => l.until > now()).length,
      /** Forgets all leases, also those being requested: after a suspension their remaining time is unknown. */
      forgetAll(): void {
        resets++;
        leases = new Map();
      },
      /** Requests and renews loans while there is need of them; gives all back otherwise. */
      tick(need: Need | null, termMs: number): void {
        for (const [server, held] of leases) if (held.until <= now() && remove(server)) deps.onLoanEnded();
        if (!need) {
          for (const server of leases.keys()) giveBack(server);
          return;
        }
        for (const { assignment: row } of deps.sheet.assignments().values()) {
          const held = leases.get(row.server);
          if (
            row.stage !== 'serving' ||
            !deps.town.findServing(row.server, row.born) ||
            (cooldownUntil.get(row.server) ?? 0) > now()
          )
            continue;
          if (!held || held.until - now() < termMs * RENEWAL_FRACTION) void requestLoan(row.server, row.born, need);
        }
      },
    };
  },
};
