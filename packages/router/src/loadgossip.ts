import { ExpiringMap, Timer, type Clock, type Ident, type Messenger } from '@pumicebarrow/forms';
import type { ServerLoads } from './serverloads.js';
import { RouterMessages } from './routermessages.js';

type ServerLoad = { runs: number; reads: number; tokens: number };
type Dependencies = {
  clock: Clock;
  post: Messenger;
  loads: ReturnType<typeof ServerLoads.make>;
  /** Routers to which this daemon sends its loads: all others in a small fleet, a few in a large one. */
  peers: () => readonly Ident[];
  routerCount: () => number | null;
};
const BASE_INTERVAL_MS = 40;
const REPEAT_INTERVAL_MS = 600;
/**
 * Loads are sent every BASE_INTERVAL_MS in a fleet of at most this size, and less often in a larger one, but never
 * later than MAX_INTERVAL_MS.
 */
const SMALL_FLEET_ROUTERS = 10;
/**
 * Above this size each router hears from only a part of the others, and loads are sent less often still, since frequent
 * updates gain little there.
 */
const FULL_MESH_MAX_ROUTERS = 16;
const LARGE_FLEET_DIVISOR = 4;
const MAX_INTERVAL_MS = 1000;
const RETENTION_MS = 1500;
const MAX_PEERS_KEPT = 64;

/**
 * Load gossip between routers: each tells others what it has under way at servers, so that they do not all choose the
 * server that each of them believes idle. Invariants: updates go to a bounded number of peers, whatever the fleet size,
 * and only when something changed or REPEAT_INTERVAL_MS has passed; what was received counts for at most RETENTION_MS;
 * in a large fleet the part that was heard stands for all.
 */
export const LoadGossip = {
  FULL_MESH_MAX_ROUTERS,
  make(deps: Dependencies) {
    const received = ExpiringMap.make<ReadonlyMap<string, ServerLoad>>(deps.clock.mono, MAX_PEERS_KEPT);
    let lastSentText = '';
    let lastSentAt = -Infinity;
    let stop: () => void = () => undefined;
    const counts = { sent: 0, received: 0 };
    const estimateOtherLoads = (): ReadonlyMap<string, ServerLoad> => {
      const reports = received.values();
      const others = Math.max(0, (deps.routerCount() ?? reports.length + 1) - 1);
      // A small sample says little about the whole fleet. Scaling by the square root keeps one busy peer from making
      // the fleet look busy.
      const scale = reports.length > 0 ? Math.sqrt(Math.max(1, others / reports.length)) : 1;
      const totals = new Map<string, ServerLoad>();
      for (const rows of reports)
        for (const [id, r] of rows) {
          const soFar = totals.get(id) ?? { runs: 0, reads: 0, tokens: 0 };
          totals.set(id, {
            runs: soFar.runs + r.runs * scale,
            reads: soFar.reads + r.reads * scale,
            tokens: soFar.tokens + r.tokens * scale,
          });
        }
      return totals;
    };
    deps.post.onTell('router.loads', RouterMessages.loadUpdate, (body, from) => {
      counts.received++;
      received.set(
        from.id,
        new Map(body.rows.map(([id, runs, reads, tokens]) => [id, { runs, reads, tokens: tokens * 100 }])),
        RETENTION_MS,
      );
      deps.loads.setGossipSource(estimateOtherLoads);
    });
    const intervalMs = (): number => {
      const routers = deps.routerCount() ?? 1;
      return Math.min(
        MAX_INTERVAL_MS,
        BASE_INTERVAL_MS *
          Math.max(1, routers / (routers > FULL_MESH_MAX_ROUTERS ? LARGE_FLEET_DIVISOR : SMALL_FLEET_ROUTERS)),
      );
    };
    const tick = (): void => {
      deps.loads.setGossipSource(estimateOtherLoads);
      const rows = [...deps.loads.ownLoads()].map(([id, r]) => [id, r.runs, r.reads, Math.round(r.tokens / 100)]);
      const text = JSON.stringify(rows);
      const now = deps.clock.mono();
      if (now - lastSentAt < intervalMs()) return;
      if (text === lastSentText && (rows.length === 0 || now - lastSentAt < REPEAT_INTERVAL_MS)) return;
      lastSentText = text;
      lastSentAt = now;
      for (const peer of deps.peers()) {
        counts.sent++;
        deps.post.tell(peer.addr, peer.id, 'router.loads', { rows });
      }
    };
    return {
      start(): void {
        stop = Timer.everyVarying(deps.clock, intervalMs, tick);
      },
      stop: (): void => stop(),
      tick,
      counts: () => ({ ...counts }),
    };
  },
};
