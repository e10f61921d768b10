import { VersionOrder, Timer, type Clock, type Log } from '@pumicebarrow/forms';
import type { RecordStore, GossipNode } from '@pumicebarrow/purge';
import type { StageAssignment } from '@pumicebarrow/registry';
import { StageChanges } from './stagechanges.js';
import type { ModelServerClient } from './modelserverclient.js';
import type { Server } from './server.js';
import { Placement } from './placement.js';
import { StageSizing } from './stagesizing.js';

/** Totals over all routers: tokens queued at prefill servers, tokens queued at decode servers, and runs. */
type Load = { read: number; beside: number; run: number };
type Stage = 'prefill' | 'decode';
type Dependencies = {
  clock: Clock;
  log: Log;
  engine: ModelServerClient;
  gossip: GossipNode;
  store: RecordStore;
  /** The fence under which this daemon holds the duty at this instant; null if it does not hold it. */
  fence: () => number | null;
  /** The lowest step that this run may use under any fencing token. */
  firstStep: () => number;
  self: string;
  servers: () => readonly Server[];
  load: () => Load;
  /** Minimum time in ms between orders of two successive holders. */
  lease: number;
  /** Time in ms for which a server of a service is unavailable while it changes its stage. */
  away: (service: string) => number;
};
/** `orderedAt` is when the order was last sent, or is to be sent. */
type Change = { server: Server; stage: Stage; startedAt: number; orderedAt: number; isBatch: boolean };
const CHECK_INTERVAL_MS = 400;
const ORDER_TIMEOUT_MS = 800;
const TOKENS_PER_MS = 45;
const SAMPLE_WEIGHT = 0.2;
/** Weight of a new sample in a large service: its sums vary less, so older ones are forgotten sooner. */
const LARGE_SERVICE_SAMPLE_WEIGHT = 0.4;
/** Prompt tokens read at a decode server that count as one run, in a large service. */
const DECODE_READ_TOKENS_PER_RUN = 400;
/** Time for a batch announcement to reach all routers before the orders leave; a single change needs none. */
const BATCH_NOTICE_MS = 1000;
/** The next change of a service waits until at most this fraction of the last batch is unfinished. */
const UNFINISHED_FRACTION = 0.2;
const CHANGE_INTERVAL_MS = 6000;
const ORDER_RETRY_MS = 2000;
/** A change that is not seen after this time is given up. */
const CHANGE_TIMEOUT_MS = 20_000;
const LEASE_MARGIN_MS = 400;
/** Duration of a change as a multiple of the time for which the server is unavailable: it is drained first. */
const DRAIN_TIME_FACTOR = 2;

/**
 * Decides which servers of a service prefill and which decode; runs at one daemon at a time, under a fence. Invariants:
 * an order leaves only under a fence that is valid at that instant, and not before the lease of the last order of
 * another holder has certainly passed. Fences rise by one, so if the previous fence was ours there was no other holder.
 * The stage assignment is published before the order leaves, so that no router sends to the server by its old stage; a
 * batch is announced early enough for all routers to receive it. A service has one change at a time, of one server or
 * of a batch, unless a stage is empty, or has one server and servers have left since the last order. A batch started by
 * another holder is continued.
 */
export const StageBalancer = {
  make(deps: Dependencies) {
    const sizings = new Map<string, ReturnType<typeof StageSizing.make>>();
    const changes = new Map<string, Change>();
    let meanLoad: Load = { read: 0, beside: 0, run: 0 };
    let currentFence: number | null = null;
    /** The last fence that this daemon held. */
    let lastOwnFence: number | null = null;
    let mustInherit = true;
    let heldSince = Infinity;
    let lastChangeAt = -Infinity;
    let lastBatchSize = 0;
    /** Number of servers of each service when one of them was last ordered to change. */
    const serversAtLastChange = new Map<string, number>();
    let stop: () => void = () => undefined;
    const now = (): number => deps.clock.mono();
    const publishRow = (fence: number, server: Server, part: Stage, stage: StageAssignment['stage']): void => {
      const name = `row:${server.id}`;
      const mark = VersionOrder.next(deps.store.stamp(name), fence, deps.firstStep());
      if (mark)
        deps.gossip.publish({ name, mark, body: { server: server.id, born: server.id, part, stage, by: deps.self } });
    };
    /** Publishes which servers change together. */
    const publishBatch = (fence: number): void => {
      const mark = VersionOrder.next(deps.store.stamp('changes'), fence, deps.firstStep());
      const rows = [...changes.values()].filter((c) => c.isBatch).map((c) => [c.server.id, c.stage] as const);
      if (mark) deps.gossip.publish({ name: 'changes', mark, body: { rows, by: deps.self } });
    };
    const sendOrder = async (change: Change): Promise<void> => {
      change.orderedAt = now();
      const fence = deps.fence();
      if (fence === null || fence !== currentFence) return;
      const result = await deps.engine.setStage(
        change.server,
        { stage: change.stage, holder: deps.self, fence },
        ORDER_TIMEOUT_MS,
      );
      deps.log.info(`Ordered ${change.server.id} to change to ${change.stage}: ${String(result.val)}.`);
    };
    const startChange = (fence: number, server: Server, stage: Stage): void => {
      const change = { server, stage, startedAt: now(), orderedAt: now(), isBatch: false };
      changes.set(server.id, change);
      // Removes finished servers from the published batch, since this server may be one of them.
      if (StageChanges.batch(deps.store).size > 0) publishBatch(fence);
      publishRow(fence, server, stage, 'draining');
      void sendOrder(change);
    };
    const startBatch = (fence: number, batch: readonly Server[], stage: Stage): void => {
      for (const server of batch)
        changes.set(server.id, {
          server,
          stage,
          startedAt: now(),
          orderedAt: now() - ORDER_RETRY_MS + BATCH_NOTICE_MS,
          isBatch: true,
        });
      publishBatch(fence);
    };
    /** Continues a batch announced by the previous holder; otherwise routers would wait for its end in vain. */
    const inheritBatch = (all: readonly Server[]): void => {
      for (const [id, stage] of StageChanges.batch(deps.store)) {
        const server = all.find((s) => s.id === id);
        if (server) changes.set(id, { server, stage, startedAt: now(), orderedAt: now(), isBatch: true });
      }
    };
    /** Repeats orders whose effect is not seen, and ends a change once the list shows it. */
    const trackChanges = (fence: number, all: readonly Server[]): void => {
      const serversById = new Map(all.map((s) => [s.id, s]));
      let gaveUp = false;
      for (const [id, change] of changes) {
        const server = serversById.get(id);
        const over =
          !server ||
          server.state !== 'ready' ||
          server.stage === change.stage ||
          now() - change.startedAt > CHANGE_TIMEOUT_MS;
        if (over) {
          if (server?.state === 'ready' && !change.isBatch)
            publishRow(fence, server, server.stage ?? change.stage, 'serving');
          changes.delete(id);
          gaveUp ||= change.isBatch && server?.state === 'ready' && server.stage !== change.stage;
        } else if (now() - change.orderedAt > ORDER_RETRY_MS) void sendOrder(change);
      }
      // Finished servers stay in the published batch until all are finished, since a router may hold a list that does
      // not show their change yet.
      const batchUnderWay = [...changes.values()].some((c) => c.isBatch);
      if (gaveUp || (!batchUnderWay && StageChanges.batch(deps.store).size > 0)) publishBatch(fence);
    };
    /** The server whose zone has the most servers of this stage; ties are broken the same way each time. */
    const pickServer = (list: readonly Server[]): Server | undefined => {
      const zones = new Map<string, number>();
      for (const s of list) zones.set(s.zone, (zones.get(s.zone) ?? 0) + 1);
      return [...list].sort(
        (a, b) => (zones.get(b.zone) ?? 0) - (zones.get(a.zone) ?? 0) || a.warm - b.warm || (a.id < b.id ? -1 : 1),
      )[0];
    };
    const rebalance = (fence: number, service: string, all: readonly Server[], leasePending: boolean): void => {
      const members = all.filter((s) => s.service === service && s.state === 'ready' && s.stage !== null);
      const stageAfterChange = (s: Server): Stage => changes.get(s.id)?.stage ?? s.stage!;
      const serversOf = (stage: Stage): Server[] => members.filter((s) => stageAfterChange(s) === stage);
      const count = { prefill: serversOf('prefill').length, decode: serversOf('decode').length };
      const sizing = sizings.get(service) ?? StageSizing.make();
      sizings.set(service, sizing);
      // If only one server prefills, what is read at decode servers is what that one has no time for.
      const waiting = meanLoad.read + (count.prefill === 1 ? meanLoad.beside : 0);
      const load = {
        read: waiting / TOKENS_PER_MS / Math.max(1, count.prefill),
        run:
          (meanLoad.run +
            (members.length < StageSizing.LARGE_SERVICE_SERVERS ? 0 : meanLoad.beside / DECODE_READ_TOKENS_PER_RUN)) /
          Math.max(1, count.decode),
        room: Math.max(1, ...members.map((s) => s.slots)) * Placement.SLOT_FRACTION,
      };
      const move = sizing.decide(load, count, Math.ceil((deps.away(service) * DRAIN_TIME_FACTOR) / CHECK_INTERVAL_MS));
      const stageIsEmpty = count.prefill < 1 || count.decode < 1;
      // If one server is all of a stage, a change ordered when the service had more servers is no reason to wait.
      const stageHasOne = (move > 0 ? count.prefill : count.decode) === 1;
      const urgent = stageIsEmpty || (stageHasOne && members.length < (serversAtLastChange.get(service) ?? 0));
      if (
        move === 0 ||
        leasePending ||
        (!urgent && (changes.size > lastBatchSize * UNFINISHED_FRACTION || now() - lastChangeAt < CHANGE_INTERVAL_MS))
      )
        return;
      const from: Stage = move > 0 ? 'decode' : 'prefill',
        to: Stage = move > 0 ? 'prefill' : 'decode';
      const chosen: Server[] = [];
      while (chosen.length < Math.abs(move)) {
        const next = pickServer(serversOf(from).filter((x) => !changes.has(x.id) && !chosen.includes(x)));
        if (!next) break;
        chosen.push(next);
      }
      if (chosen.length === 0) return;
      deps.log.info(
        `${service}: ${count.prefill} prefill, ${count.decode} decode; ${Math.round(load.read)} ms prefill queue, ` +
          `${Math.round(load.run)} runs per server, ${Math.round(meanLoad.beside / TOKENS_PER_MS)} ms read queue; ` +
          `${chosen.length} change to ${to}.`,
      );
      sizing.reset();
      serversAtLastChange.set(service, members.length);
      lastChangeAt = now();
      lastBatchSize = chosen.length > 1 ? chosen.length : 0;
      if (chosen.length > 1) startBatch(fence, chosen, to);
      else startChange(fence, chosen[0]!, to);
    };
    /** Whether no other daemon can have held the duty since this one last did. */
    const isContinuous = (fence: number): boolean =>
      lastOwnFence !== null && (fence === lastOwnFence || fence === lastOwnFence + 1);
    const tick = (): void => {
      const fence = deps.fence();
      currentFence = fence;
      if (fence === null) return;
      if (!isContinuous(fence)) {
        heldSince = now();
        changes.clear();
        sizings.clear();
        meanLoad = { read: 0, beside: 0, run: 0 };
        mustInherit = true;
      }
      lastOwnFence = fence;
      // Demand is observed from the start, but nothing is ordered before the lease has passed.
      const leasePending = now() - heldSince < deps.lease + LEASE_MARGIN_MS;
      const load = deps.load();
      const all = deps.servers();
      const weight = all.length < StageSizing.LARGE_SERVICE_SERVERS ? SAMPLE_WEIGHT : LARGE_SERVICE_SAMPLE_WEIGHT;
      const blend = (a: number, b: number): number => a * (1 - weight) + b * weight;
      meanLoad = {
        read: blend(meanLoad.read, load.read),
        beside: blend(meanLoad.beside, load.beside),
        run: blend(meanLoad.run, load.run),
      };
      if (!leasePending && mustInherit && all.length > 0) {
        mustInherit = false;
        inheritBatch(all);
      }
      if (!leasePending) trackChanges(fence, all);
      for (const service of new Set(all.filter((s) => s.stage !== null).map((s) => s.service)))
        rebalance(fence, service, all, leasePending);
    };
    return {
      start(): void {
        stop = Timer.every(deps.clock, CHECK_INTERVAL_MS, tick);
      },
      stop: (): void => stop(),
      tick,
    };
  },
};
