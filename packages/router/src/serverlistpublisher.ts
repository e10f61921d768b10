import { Hash, Timer, VersionOrder, type Clock, type Log, type VersionStamp } from '@pumicebarrow/forms';
import type { GossipNode, RecordStore } from '@pumicebarrow/purge';
import { ServerListRows } from './serverlistrows.js';
import type { ServerListSource } from './serverlistsource.js';
import type { Server } from './server.js';

type Dependencies = {
  clock: Clock;
  log: Log;
  listSource: ServerListSource;
  purge: GossipNode;
  store: RecordStore;
  /** Fencing token under which this replica has the duty now; null if it does not have the duty. */
  fence: () => number | null;
  /** The lowest step that this run may use under any fencing token. */
  firstStep: () => number;
  /** Time between two polls of the platform. */
  intervalMs: number;
};
type PublishedList = { mark: VersionStamp; requestedAt: number; digest: string; servers: readonly Server[] };
/** How often it is checked whether a poll is due or the token was lost. */
const CHECK_INTERVAL_MS = 100;

/**
 * Duty of the acting head: polls the platform for the list of servers and publishes changes through gossip. Invariants:
 * a list is published only under the fencing token that is valid at that moment, with an increasing step; a version
 * stamp never names two lists, though the process may restart or lose its lease for a while under one token; the age of
 * a list counts from before the platform was asked.
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
      const mark = VersionOrder.next(deps.store.stamp('list'), fence, deps.firstStep());
      if (!mark || !deps.purge.publish({ name: 'list', mark, body })) {
        deps.log.warn(`Server list not published under fence ${fence}: ${String(deps.store.stamp('list'))} is held.`);
        return;
      }
      published = { mark, requestedAt, digest, servers };
      const draining = servers.filter((server) => server.state !== 'ready').length;
      deps.log.info(`Published server list ${mark.join('.')}: ${servers.length} servers, ${draining} draining.`);
    };
    const tick = async (): Promise<void> => {
      const fence = deps.fence();
      if (fence === null) return;
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
    /** The list published under the present token; null without one. */
    const publishedNow = (): PublishedList | null => (published?.mark[0] === deps.fence() ? published : null);
    return {
      start(): void {
        stopTimer = Timer.every(deps.clock, CHECK_INTERVAL_MS, tick);
      },
      stop: (): void => stopTimer(),
      tick,
      current(): { mark: VersionStamp; age: number } | null {
        const list = publishedNow();
        return list && { mark: list.mark, age: deps.clock.mono() - list.requestedAt };
      },
      servers: (): readonly Server[] => publishedNow()?.servers ?? [],
    };
  },
};
