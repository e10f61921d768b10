import { Hash, Timer, type Clock, type Mark } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import { ListRows } from './listrows.js';
import type { ListSource } from './listsource.js';
import type { Server } from './server.js';

type Tools = {
  clock: Clock;
  source: ListSource;
  purge: Purging;
  /** The fence under which this daemon has the duty at this instant; null when it hasn't. */
  fence: () => number | null;
  every: number;
};
type Held = { mark: Mark; at: number; sum: string; servers: readonly Server[] };
const LOOK = 100;

/**
 * One daemon asks the platform for the list, and purge passes it on. Invariants: it is published only under a fence
 * that is live at that instant, with a step that rises; its age counts from before it was asked for.
 */
export const ServerListPublisher = {
  make(t: Tools) {
    let held: Held | null = null;
    let next = -Infinity;
    let stop: () => void = () => undefined;
    const take = (servers: readonly Server[], at: number, fence: number): void => {
      const body = ListRows.pack(servers),
        sum = Hash.of(body);
      if (held && held.mark[0] === fence && held.sum === sum) {
        held = { ...held, at, servers };
        return;
      }
      const mark: Mark = [fence, held && held.mark[0] === fence ? held.mark[1] + 1 : 0];
      if (t.purge.publish({ name: 'list', mark, body })) held = { mark, at, sum, servers };
    };
    const tick = async (): Promise<void> => {
      const fence = t.fence();
      if (fence === null) {
        held = null;
        return;
      }
      const at = t.clock.mono();
      if (at < next) return;
      next = at + t.every;
      const got = await t.source.poll();
      if (got.err) {
        next = t.clock.mono() + t.every / 3;
        return;
      }
      if (t.fence() === fence) take(got.val, at, fence);
    };
    return {
      start(): void {
        stop = Timer.every(t.clock, LOOK, tick);
      },
      stop: (): void => stop(),
      tick,
      now: (): { mark: Mark; age: number } | null =>
        held && held.mark[0] === t.fence() ? { mark: held.mark, age: t.clock.mono() - held.at } : null,
      servers: (): readonly Server[] => held?.servers ?? [],
    };
  },
};
