import type { Clock, Ident } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { CoreLine } from '@pumicebarrow/registry';
import type { Newest } from './newest.js';
import type { SheetView } from './sheetview.js';

type Load = { read: number; write: number };
type Tools = {
  clock: Clock;
  line: CoreLine;
  sheet: SheetView;
  shelf: Holding;
  newest: ReturnType<typeof Newest.make>;
  demand: () => Load;
};
const LAG = 600;

/**
 * Tells the head what this daemon holds, and learns who is live and how laden the fleet is.
 * Invariant: one that is behind for longer than gossip takes reads the charter at the tail.
 */
export const Checkin = {
  make(t: Tools) {
    let roster: readonly Ident[] = [];
    let load: Load = { read: 0, write: 0 };
    let behind = -1;
    return {
      roster: (): readonly Ident[] => roster,
      load: (): Load => load,
      async tick(): Promise<void> {
        const got = await t.line.checkin({ version: t.sheet.version(), sum: t.shelf.sum(), load: t.demand() });
        if (!got) return;
        if (got.roster) roster = got.roster;
        load = got.load;
        if (got.version <= t.sheet.version()) {
          behind = -1;
          return;
        }
        if (behind < 0) behind = t.clock.mono();
        if (t.clock.mono() - behind <= LAG) return;
        await t.newest.tail(300);
        behind = -1;
      },
    };
  },
};
