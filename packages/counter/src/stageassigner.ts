import { VersionOrder, type World } from '@pumicebarrow/forms';
import type { GossipNode } from '@pumicebarrow/purge';
import type { StageAssignment } from '@pumicebarrow/registry';
import type { ModelServerClient } from './modelserverclient.js';
import type { DaemonLeases } from './daemonleases.js';
import type { ServerClocks } from './serverclocks.js';
import type { ListedServer } from './listedserver.js';
import type { FleetRecordsView } from './fleetrecordsview.js';
import { StageTarget } from './stagetarget.js';
import type { InventoryView } from './inventoryview.js';

type Dependencies = {
  /** Readings of the servers' clocks, by which deadlines are translated. */
  hails: ServerClocks;
  world: World;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  /** Backend inventory. */
  town: InventoryView;
  /** Named leases held by this daemon. */
  duty: DaemonLeases;
  /** Gossip by which assignments are published. */
  purge: GossipNode;
  /** Client of the model servers. */
  back: ModelServerClient;
  self: () => string;
  /** Whether this daemon's own requests have seen the server fail lately. */
  isSuspected: (server: ListedServer) => boolean;
};
const REQUEST_TIMEOUT_MS = 500;
/** A draining server is switched after this time even if it still runs requests. */
const DRAIN_TIMEOUT_MS = 6000;
const PROBE_INTERVAL_MS = 900;

/**
 * Assigns servers to the prefill and decode stages. Invariants: an order is sent only under a fencing token that is
 * valid at that instant, and can not take effect once the lease has expired or this daemon has stopped waiting for the
 * reply; every assignment written carries that token and a step above the last; a server is drained before it is
 * switched. The holder of a server's lease probes it about once a second; after a probe without a reply it probes at
 * every tick, and marks the server dark (unreachable) after two in a row.
 */
export const StageAssigner = {
  make(deps: Dependencies) {
    const inProgress = new Set<string>();
    const missedProbes = new Map<string, number>();
    const now = (): number => deps.world.clock.mono();
    const lastProbeAt = new Map<string, number>();
    let lastSwitchAt = -Infinity;
    let drainStarts = new Map<string, number>();
    const log = deps.world.log('cast');

    const publishAssignment = (fence: number, row: StageAssignment): boolean => {
      const mark = VersionOrder.next(deps.sheet.assignments().get(row.server)?.stamp, fence);
      return mark !== null && deps.purge.publish({ name: `row:${row.server}`, mark, body: row });
    };
    const orderStage = async (server: ListedServer, part: StageAssignment['part']): Promise<void> => {
      const fence = deps.duty.fence(`row:${server.id}`);
      const bound = deps.hails.bound(
        server,
        Math.min(deps.duty.expiresAt(`row:${server.id}`), now() + REQUEST_TIMEOUT_MS),
      );
      if (fence === null || !bound || !deps.town.findServing(server.id, server.born)) return;
      const previous = deps.sheet.assignments().get(server.id)?.stamp;
      const step = previous && previous[0] === fence ? previous[1] + 1 : 0;
      deps.world.recordEvent({ what: 'order', server: server.id, part, fence, step });
      const reply = await deps.back.setStage(
        server.addr,
        { fence, step, part, stage: 'serving', who: deps.self(), ...bound },
        REQUEST_TIMEOUT_MS,
      );
      if (reply.ok && reply.val.born === server.born && reply.val.part === part) {
        log.info(`Assigned ${server.id} to ${part}.`);
        publishAssignment(fence, { server: server.id, born: server.born, part, stage: 'serving', by: deps.self() });
      }
    };
    const probe = async (server: ListedServer): Promise<boolean> => {
      lastProbeAt.set(server.id, now());
      const reply = await deps.hails.probe(server, REQUEST_TIMEOUT_MS);
      const healthy = reply.ok && reply.val.born === server.born;
      missedProbes.set(server.id, healthy ? 0 : (missedProbes.get(server.id) ?? 0) + 1);
      return healthy;
    };
    /** Serving servers that are not marked dark, with the stage to which each is assigned. */
    const liveServers = (): { id: string; part: StageAssignment['part'] | null }[] => {
      const rows = deps.sheet.assignments();
      return deps.town
        .all()
        .filter((s) => s.mark === 'serving')
        .flatMap((s) => {
          const row = rows.get(s.id)?.assignment;
          if (row && row.born === s.born && row.stage === 'dark') return [];
          return [{ id: s.id, part: row ? row.part : null }];
        });
    };
    /** Checks one server and moves its assignment a step towards the target. */
    const reconcile = async (server: ListedServer): Promise<void> => {
      const configuration = deps.sheet.configuration(),
        fence = deps.duty.fence(`row:${server.id}`);
      if (!configuration || fence === null) return;
      const row = deps.sheet.assignments().get(server.id)?.assignment;
      const live = liveServers();
      const prefillCount = live.filter((l) => l.part === 'prefill').length,
        decodeCount = live.filter((l) => l.part === 'decode').length;
      const belowFloor =
        prefillCount < configuration.casting.floor.prefill || decodeCount < configuration.casting.floor.decode;
      const otherDraining = [...deps.sheet.assignments().values()].some(
        (r) => r.assignment.stage === 'draining' && r.assignment.server !== server.id,
      );
      const maySwitch = !otherDraining && (belowFloor || now() - lastSwitchAt > configuration.casting.calm);
      const target = StageTarget.stageFor(
        configuration,
        deps.sheet.mix()?.prefill ?? configuration.casting.prefill,
        live,
        server.id,
        maySwitch,
      );
      if (!row || row.born !== server.born) {
        const initial = row?.part ?? target;
        if (initial && (await probe(server))) await orderStage(server, initial);
        return;
      }
      if (row.stage === 'dark') {
        if (await probe(server)) await orderStage(server, row.part);
        return;
      }
      const report = deps.sheet.failureReport(server.id),
        missed = (missedProbes.get(server.id) ?? 0) > 0;
      const probeDue = now() - (lastProbeAt.get(server.id) ?? -Infinity) > PROBE_INTERVAL_MS;
      if (
        (report?.born === server.born || deps.isSuspected(server) || missed || probeDue) &&
        !(await probe(server)) &&
        (missedProbes.get(server.id) ?? 0) >= 2
      ) {
        log.warn(`${server.id} failed two probes in a row; marked dark.`);
        publishAssignment(fence, { ...row, stage: 'dark', by: deps.self() });
        return;
      }
      if (row.stage === 'draining') {
        const drainStart = drainStarts.get(server.id) ?? now();
        drainStarts = new Map(drainStarts).set(server.id, drainStart);
        const status = await deps.hails.probe(server, REQUEST_TIMEOUT_MS);
        if (!status.ok || (status.val.busy > 0 && now() - drainStart < DRAIN_TIMEOUT_MS)) return;
        const otherStage = row.part === 'prefill' ? 'decode' : 'prefill';
        // A switch that has not succeeded within twice the drain timeout is given up if there is a target.
        await orderStage(server, target !== null && now() - drainStart >= DRAIN_TIMEOUT_MS * 2 ? row.part : otherStage);
        const remaining = new Map(drainStarts);
        remaining.delete(server.id);
        drainStarts = remaining;
        return;
      }
      if (target !== null && target !== row.part) {
        log.info(`Draining ${server.id} to switch it to ${target}.`);
        deps.world.recordEvent({ what: 'swap', server: server.id, part: target });
        publishAssignment(fence, { ...row, stage: 'draining', by: deps.self() });
      }
    };
    return {
      /** Names of the leases needed, one per configured server. */
      leaseNames: (): string[] => (deps.sheet.configuration()?.servers ?? []).map((s) => `row:${s.id}`),
      /** Called when a server has changed its stage: restarts the pause between switches, whoever ordered it. */
      onStageChange(): void {
        lastSwitchAt = now();
      },
      async tick(): Promise<void> {
        await Promise.all(
          deps.town
            .all()
            .filter((s) => s.mark === 'serving' && !inProgress.has(s.id))
            .map(async (s) => {
              inProgress.add(s.id);
              await reconcile(s).finally(() => inProgress.delete(s.id));
            }),
        );
      },
    };
  },
};
