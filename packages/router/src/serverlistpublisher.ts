import { Hash, Timer, type Clock, type VersionStamp } from '@pumicebarrow/forms';
import type { GossipNode } from '@pumicebarrow/purge';
import { ServerListRows } from './serverlistrows.js';
import type { ServerListSource } from './serverlistsource.js';
import type { Server } from './server.js';

type Dependencies = {
  clock: Clock;
  listSource: ServerListSource;
  purge: GossipNode;
  /** Fencing token under which this replica has the duty now; null if it does not have the duty. */
  fence: () => number | null;
  /** Time between two polls of the platform. */
  intervalMs: number;
};
type PublishedList = { mark: VersionStamp; requestedAt: number; digest: string; servers: readonly Server[] };
/** How often it is checked whether a poll is due or the token was lost. */
const CHECK_INTERVAL_MS = 100;

/**
 * Duty of the acting head: polls the platform for the list of servers and publishes changes through gossip. Invariants:
 * a list is published only under the fencing token that is valid at that moment, with an increasing step; its age
 * counts from before the platform was asked.
 */
export const ServerListPublisher = {
  make(deps: Dependencies) {
    let published: PublishedList | null = null;
    let nextPollAt = -Infinity;
    let stopTimer: () => void = () => undefined;
    const publishIfChanged = (servers: readonly Server[], requestedAt: number, fence: number): void => {
      const body = ServerListRows.pack(servers),
        digest = Hash.ofValue(body);
      if (published && published.mark[0] === fence && published.digest === digest) {
        published = { ...published, requestedAt, servers };
        return;
      }
      const mark: VersionStamp = [fence, published && published.mark[0] === fence ? published.mark[1] + 1 : 0];
      if (deps.purge.publish({ name: 'list', mark, body })) published = { mark, requestedAt, digest, servers };
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
      current: (): { mark: VersionStamp; age: number } | null =>
        published && published.mark[0] === deps.fence()
          ? { mark: published.mark, age: deps.clock.mono() - published.requestedAt }
          : null,
      servers: (): readonly Server[] => published?.servers ?? [],
    };
  },
};
