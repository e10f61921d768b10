import { Order, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import type { Loan, SheetRow } from '@pumicebarrow/registry';
import type { Duties } from '../duties.js';
import type { SheetView } from '../sheetview.js';
import type { TownView } from '../townview.js';
import { LoanWords } from './loanwords.js';
import { Spare } from './spare.js';

type Tools = {
  world: World;
  post: PostBox;
  sheet: SheetView;
  town: TownView;
  duty: Duties;
  purge: Purging;
  load: () => { read: number; write: number };
  loan: (server: string) => Loan | null;
  self: () => string;
};
/** `until` is longer than the holder's lease; `slots` may be 0 while the holder may still count on more. */
type Held = { holder: Ident; burst: string; slots: number; until: number };
type Ask = { who: string; order: number; at: number };
/** What was begun for a holder that has gone, and may still run. */
type Trail = { slots: number; until: number };

const MARGIN = 200;
const CALM = 1500;
const FRESH = 1000;
const LINGER = 6000;
const ASK = 300;
const name = (who: Ident): string => `${who.id}/${who.born}`;

/**
 * Lends the servers whose rows this daemon holds. Invariants: nothing is lent without a live fence of the row at that
 * instant; a server has one holder, and another only once that one has given it back or `until` is past; a burst that
 * was begun earlier and asks goes first; nothing is lent within CALM of a revocation.
 */
export const Lender = {
  make(t: Tools) {
    const held = new Map<string, Held>();
    const asks = new Map<string, readonly Ask[]>();
    const calm = new Map<string, number>();
    const trails = new Map<string, Trail>();
    const now = (): number => t.world.clock.mono();
    const fence = (server: string): number | null => t.duty.fence(`row:${server}`);
    const open = (server: string): Held | null => {
      const h = held.get(server);
      return h && h.until > now() ? h : null;
    };
    const rows = (): SheetRow[] =>
      [...t.sheet.rows().values()].map((r) => r.row).filter((r) => t.town.good(r.server, r.born) !== null);
    const lendable = (server: string): number => {
      const c = t.sheet.charter(),
        trail = trails.get(server);
      const left = trail && trail.until > now() ? trail.slots : 0;
      return c ? Math.max(0, Spare.slots(c, rows(), t.load(), server) - left) : 0;
    };
    const publish = (server: string, slots: number, holder: string, burst: string, why: Loan['why']): boolean => {
      const f = fence(server),
        row = t.sheet.rows().get(server)?.row;
      const mark = f === null ? null : Order.next(t.sheet.mark(`loan:${server}`), f);
      if (!mark || !row) return false;
      const { born, part } = row,
        since = t.world.clock.wall();
      const body: Loan = { server, born, part, slots, holder, burst, why, by: t.self(), since };
      if (!t.purge.publish({ name: `loan:${server}`, mark, body })) return false;
      t.world.tell({ what: 'loan', server, part, slots, holder, burst, why });
      return true;
    };
    const over = (server: string, why: Loan['why'], running: number): void => {
      const h = held.get(server);
      if (!h) return;
      held.delete(server);
      if (why === 'lapsed') t.world.tell({ what: 'lapsed', server, holder: h.holder.id });
      // Of one that was called back and never replied, the trail laid then still holds.
      if (why !== 'lapsed' || h.slots > 0) trails.set(server, { slots: running, until: now() + LINGER });
      if ((t.loan(server)?.slots ?? 0) > 0) publish(server, 0, h.holder.id, h.burst, why);
    };
    /** Nothing is lent from now on; another may borrow once the holder has said so, or its lease is past. */
    const revoke = async (server: string, why: 'live' | 'load'): Promise<void> => {
      const h = open(server);
      calm.set(server, now() + CALM);
      if (!h || h.slots === 0) return;
      const was = h.slots;
      held.set(server, { ...h, slots: 0 });
      trails.set(server, { slots: was, until: h.until + LINGER });
      publish(server, 0, h.holder.id, h.burst, why);
      const { addr, id } = h.holder;
      const r = await t.post.ask(addr, id, 'loan.recall', { server }, LoanWords.recalled, ASK);
      if (r.ok && r.val.ok && held.get(server)?.holder === h.holder) over(server, why, r.val.running);
    };
    const noted = (server: string, who: string, order: number): readonly Ask[] => {
      const list = [
        ...(asks.get(server) ?? []).filter((a) => a.who !== who && now() - a.at < FRESH),
        { who, order, at: now() },
      ];
      asks.set(server, list);
      return list;
    };
    t.post.on('loan.ask', LoanWords.ask, (b, from) => {
      const no = (why: string) => ({ ok: false, slots: 0, term: 0, why });
      const who = name(from),
        term = t.sheet.charter()?.lending?.length;
      if (fence(b.server) === null || term === undefined) return no('notmine');
      if (t.sheet.rows().get(b.server)?.row.born !== b.born) return no('notserving');
      if (held.has(b.server) && !open(b.server)) over(b.server, 'lapsed', held.get(b.server)!.slots);
      const first = noted(b.server, who, b.order).every((a) => a.order >= b.order);
      const h = open(b.server);
      if (h && name(h.holder) !== who) return no('held');
      if (!first) return no('older');
      const mine = h ? h.slots : 0;
      const slots = (calm.get(b.server) ?? 0) > now() ? 0 : lendable(b.server);
      if (slots === 0) {
        if (mine > 0) void revoke(b.server, 'load');
        return no('nothing');
      }
      const doc = t.loan(b.server);
      const told = doc?.slots === slots && doc.holder === from.id && doc.burst === b.burst && doc.by === t.self();
      if (!told && !publish(b.server, slots, from.id, b.burst, 'lent')) return no('notmine');
      held.set(b.server, { holder: from, burst: b.burst, slots, until: now() + term + MARGIN });
      return { ok: true, slots, term, why: 'lent' };
    });
    t.post.on('loan.give', LoanWords.give, (b, from) => {
      const h = held.get(b.server);
      if (!h || name(h.holder) !== name(from)) return { ok: false };
      over(b.server, 'given', b.running);
      return { ok: true };
    });
    return {
      recalled: (server: string): void => void revoke(server, 'live'),
      /** Lapsed loans are told of, also those of a lender before this one; what live work needs is called back. */
      tick(): void {
        for (const [server, h] of held) {
          if (h.until <= now()) over(server, 'lapsed', h.slots);
          else if (h.slots > 0 && lendable(server) === 0) void revoke(server, 'load');
        }
        for (const { row } of t.sheet.rows().values()) {
          const doc = t.loan(row.server);
          if (doc && doc.slots > 0 && !held.has(row.server) && fence(row.server) !== null)
            publish(row.server, 0, doc.holder, doc.burst, 'lapsed');
        }
      },
    };
  },
};
