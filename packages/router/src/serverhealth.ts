import type { Clock } from '@pumicebarrow/forms';

type Health = {
  lastActivity: number;
  failureLevel: number;
  /**
   * When a failure was last counted, and until when this daemon avoids the server for what its own requests met.
   * `peerReport` does the same for what other routers reported.
   */
  suspectedAt: number;
  closedUntil: number;
  suspected: boolean;
  trialId: number;
  rejections: number;
  /** Consecutive KV cache handles of this server that no other server could fetch, and when the last of them was. */
  handleLosses: number;
  lastHandleLossAt: number;
  peerReport: { until: number; weight: number; at: number; by: string };
};
/** First and longest time for which a suspected server is avoided. */
const FIRST_CLOSURE_MS = 700;
const MAX_CLOSURE_MS = 5600;
/** First pause after a rejected request, in ms; doubled for each consecutive rejection, up to the limit. */
const FIRST_REJECTION_PAUSE_MS = 250;
const MAX_REJECTION_PAUSE_MS = 1000;
const MAX_FAILURE_LEVEL = 5;
/** Reduction of the failure level by one success; one failure raises it by 1. */
const SUCCESS_LEVEL_REDUCTION = 0.12;
/**
 * Consecutive handles that could not be fetched after which the server itself is at fault, and the time in ms after
 * which the count starts anew.
 */
const HANDLE_LOSS_THRESHOLD = 2;
const HANDLE_LOSS_WINDOW_MS = 10_000;
/** Time constant in ms by which the weight of peer reports decays, and the largest weight they reach together. */
const PEER_REPORT_DECAY_MS = 4000;
const MAX_PEER_REPORT_WEIGHT = 4;
/**
 * How far the daemons' returns to a server are spread, as a multiple of the closure for each report beyond the first.
 */
const RETURN_SPREAD_FACTOR = 3;

/**
 * Health of servers as judged by the outcomes of requests alone, since a health endpoint may be wrong either way.
 * Invariants: a server that failed is avoided for a time that doubles with its failure level. After that, one request
 * at a time tries it, and the success of a request sent since then reopens it. The level falls slowly, so a server that
 * fails a part of its requests is avoided longer each time. Reports of several other routers avoid it for longer, and
 * not until the same instant at all daemons, so that only a few try it first. A server that rejects requests is avoided
 * for a moment. Suspicion excludes no server while no other is left.
 */
export const ServerHealth = {
  make(clock: Clock) {
    const rows = new Map<string, Health>();
    let trials = 0;
    const healthOf = (id: string): Health => {
      const existing = rows.get(id);
      if (existing) return existing;
      const created = {
        ...{
          lastActivity: -Infinity,
          failureLevel: 0,
          suspectedAt: -Infinity,
          closedUntil: -Infinity,
          suspected: false,
          trialId: 0,
          rejections: 0,
        },
        ...{ handleLosses: 0, lastHandleLossAt: -Infinity },
        peerReport: { until: -Infinity, weight: 0, at: -Infinity, by: '' },
      };
      rows.set(id, created);
      return created;
    };
    return {
      /** Any byte was received from the server. */
      recordActivity(id: string): void {
        healthOf(id).lastActivity = clock.mono();
      },
      msSinceActivity: (id: string): number => clock.mono() - healthOf(id).lastActivity,
      /** A request that was sent at `sentAt` succeeded. */
      recordSuccess(id: string, sentAt = Infinity): void {
        const health = healthOf(id);
        health.failureLevel = Math.max(0, health.failureLevel - SUCCESS_LEVEL_REDUCTION);
        if (health.suspected && sentAt < health.suspectedAt) return;
        health.closedUntil = -Infinity;
        health.suspected = false;
        health.trialId = 0;
        health.rejections = 0;
      },
      /**
       * The server rejected a request because it is full or changing its stage. This is no failure, but the next
       * request would be rejected too. True if the server was open before.
       */
      recordRejection(id: string): boolean {
        const health = healthOf(id),
          now = clock.mono();
        const wasOpen = health.closedUntil <= now;
        if (wasOpen) health.rejections++;
        health.closedUntil = Math.max(
          health.closedUntil,
          now + Math.min(MAX_REJECTION_PAUSE_MS, FIRST_REJECTION_PAUSE_MS * 2 ** (health.rejections - 1)),
        );
        return wasOpen;
      },
      /**
       * Another server could not fetch a handle of this one. True once this server's handles are considered at fault:
       * the fetching server may be full instead, and reports that in the same words.
       */
      recordHandleLoss(id: string): boolean {
        const health = healthOf(id),
          now = clock.mono();
        health.handleLosses = now - health.lastHandleLossAt > HANDLE_LOSS_WINDOW_MS ? 1 : health.handleLosses + 1;
        health.lastHandleLossAt = now;
        return health.handleLosses >= HANDLE_LOSS_THRESHOLD;
      },
      /** A handle of this server was fetched. */
      recordHandleFetched(id: string): void {
        healthOf(id).handleLosses = 0;
      },
      /** A request to the server failed. True if the server was open to all requests before. */
      recordFailure(id: string): boolean {
        const health = healthOf(id),
          now = clock.mono();
        const newlySuspected = !health.suspected;
        if (newlySuspected || health.trialId > 0)
          health.failureLevel = Math.min(MAX_FAILURE_LEVEL, health.failureLevel + 1);
        if (newlySuspected || health.trialId > 0) health.suspectedAt = now;
        health.trialId = 0;
        health.suspected = true;
        health.closedUntil = Math.max(
          health.closedUntil,
          now + Math.min(MAX_CLOSURE_MS, FIRST_CLOSURE_MS * 2 ** (health.failureLevel - 1)),
        );
        return newlySuspected;
      },
      /**
       * Another daemon reported a failure. The server is avoided only for a moment, since the cause may be that
       * daemon's link. Reports of several daemons add up; repeated reports of the same daemon in a row count once.
       * `random` spreads the times at which daemons return.
       */
      recordPeerReport(id: string, by = '', random = 0): void {
        const { peerReport } = healthOf(id),
          now = clock.mono();
        const remaining = peerReport.weight * Math.exp(-(now - peerReport.at) / PEER_REPORT_DECAY_MS);
        peerReport.weight = Math.min(
          MAX_PEER_REPORT_WEIGHT,
          peerReport.by === by ? Math.max(1, remaining) : remaining + 1,
        );
        peerReport.at = now;
        peerReport.by = by;
        const ms =
          (FIRST_CLOSURE_MS / 2) *
          2 ** (peerReport.weight - 1) *
          (1 + random * RETURN_SPREAD_FACTOR * (peerReport.weight - 1));
        peerReport.until = Math.max(peerReport.until, now + Math.min(MAX_CLOSURE_MS, ms));
      },
      /** Whether requests may be sent to the server now; the first request after a suspicion is the trial. */
      isOpen(id: string): boolean {
        const health = rows.get(id);
        if (!health) return true;
        const now = clock.mono();
        return health.closedUntil <= now && health.peerReport.until <= now && !(health.suspected && health.trialId > 0);
      },
      /** Whether they might be sent if peer reports are ignored. */
      isOpenLocally(id: string): boolean {
        const health = rows.get(id);
        return !health || (health.closedUntil <= clock.mono() && !(health.suspected && health.trialId > 0));
      },
      /** Servers that failed and have not succeeded since. */
      suspected: (): string[] => [...rows].flatMap(([id, r]) => (r.suspected ? [id] : [])),
      /**
       * Starts a request and returns the function to call once its outcome is judged; a trial without a result is
       * passed on to another request.
       */
      beginRequest(id: string): () => void {
        const health = rows.get(id);
        if (!health?.suspected || health.trialId > 0) return () => undefined;
        const ownTrial = ++trials;
        health.trialId = ownTrial;
        return () => {
          if (health.trialId === ownTrial) health.trialId = 0;
        };
      },
      retain(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
