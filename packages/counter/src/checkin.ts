import type { Clock, Ident } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { ControlClient } from '@pumicebarrow/registry';
import type { Newest } from './newest.js';
import type { SheetView } from './sheetview.js';

type Load = { read: number; write: number };
type Tools = {
  clock: Clock;
  line: ControlClient;
  sheet: SheetView;
  shelf: Holding;
  newest: ReturnType<typeof Newest.make>;
  demand: () => Load;
};
/** ms that gossip is given for a version that the head has passed. */
const LAG = 600;
type Late = { want: number; since: number };

/**
 * Tells the head what this daemon holds, and learns who is live and how laden the fleet is.
 * Invariant: one that is behind for LAG reads the charter at the tail then, not at a later check-in.
 */
export const Checkin = {
  make(t: Tools) {
    let roster: readonly Ident[] = [];
    let load: Load = { read: 0, write: 0 };
    let late: Late | null = null;
    let reading = false;
    const caughtUp = (): boolean => late === null || t.sheet.version() >= late.want;
    const read = async (): Promise<void> => {
      if (reading || caughtUp()) return;
      const mine = late;
      reading = true;
      if ((await t.newest.tail(300)) && late === mine) late = null;
      reading = false;
    };
    return {
      roster: (): readonly Ident[] => roster,
      load: (): Load => load,
      async tick(): Promise<void> {
        const got = await t.line.checkin({ version: t.sheet.version(), sum: t.shelf.sum(), load: t.demand() });
        if (!got) return;
        if (got.roster) roster = got.roster;
        load = got.load;
        if (got.version <= t.sheet.version()) {
          late = null;
        } else if (late === null || caughtUp()) {
          const mine = { want: got.version, since: t.clock.mono() };
          late = mine;
          t.clock.after(LAG, () => {
            if (late === mine) void read();
          });
        } else if (t.clock.mono() - late.since > LAG) {
          await read();
        }
      },
    };
  },
};
