import { Hash, Timer, type Clock, type Mark } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import { ListRows } from './listrows.js';
import type { ListSource } from './listsource.js';
import type { Server } from './server.js';

type Dependencies = {
  clock: Clock;
  listSource: ListSource;
  purge: Purging;
  /** The fence under which this daemon has the duty at this instant; null when it hasn't. */
  fence: () => number | null;
  intervalMs: number;
};
type PublishedList = { mark: Mark; requestedAt: number; digest: string; servers: readonly Server[] };
const CHECK_INTERVAL_MS = 100;

/**
 * One daemon asks the platform for the list, and purge passes it on. Invariants: it is published only under a fence
 * that is live at that instant, with a step that rises; its age counts from before it was asked for.
 */
export const ServerListPublisher = {
  make(deps: Dependencies) {
    let published: PublishedList | null = null;
    let nextPollAt = -Infinity;
    let stopTimer: () => void = () => undefined;
    const publishIfChanged = (servers: readonly Server[], requestedAt: number, fence: number): void => {
      const body = ListRows.pack(servers),
        digest = Hash.of(body);
      if (published && published.mark[0] === fence && published.digest === digest) {
        published = { ...published, requestedAt: requestedAt, servers };
        return;
      }
      const mark: Mark = [fence, published && published.mark[0] === fence ? published.mark[1] + 1 : 0];
      if (deps.purge.publish({ name: 'list', mark, body }))
        published = { mark, requestedAt: requestedAt, digest: digest, servers };
    };
    const tick = async (): Promise<void> => {
      const fence = deps.fence();
      if (fence === null) {
        published = null;
        return;
      }
      const requestedAt = deps.clock.mono();
      if (requestedAt < nextPollAt) return;
      nextPollAt = requestedAt + deps.intervalMs;
      const result = await deps.listSource.poll();
      if (result.err) {
        nextPollAt = deps.clock.mono() + deps.intervalMs / 3;
        return;
      }
      if (deps.fence() === fence) publishIfChanged(result.val, requestedAt, fence);
    };
    return {
      start(): void {
        stopTimer = Timer.every(deps.clock, CHECK_INTERVAL_MS, tick);
      },
      stop: (): void => stopTimer(),
      tick,
      current: (): { mark: Mark; age: number } | null =>
        published && published.mark[0] === deps.fence()
          ? { mark: published.mark, age: deps.clock.mono() - published.requestedAt }
          : null,
      servers: (): readonly Server[] => published?.servers ?? [],
    };
  },
};
