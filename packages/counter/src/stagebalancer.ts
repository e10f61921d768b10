import type { World } from '@pumicebarrow/forms';
import type { GossipNode } from '@pumicebarrow/purge';
import type { DaemonLeases } from './daemonleases.js';
import type { FleetRecordsView } from './fleetrecordsview.js';
import { StageTarget } from './stagetarget.js';
import type { InventoryView } from './inventoryview.js';

/** Weight of requests that want or use a server, by stage: `read` is prefill, `write` is decode. */
type Load = { read: number; write: number };
/** A change must bring the utilization of the busier stage below this fraction of its present value. */
const REQUIRED_GAIN_RATIO = 0.85;
/** Below this utilization of the busier stage nothing is changed. */
const MIN_UTILIZATION_RATIO = 0.6;
/** How many ticks in a row must favour the same change. */
const MIN_CONSECUTIVE_TICKS = 4;
/** Factor on the pause before a change that reverts the previous one. */
const REVERSAL_PAUSE_FACTOR = 2;

/**
 * Decides how many servers run prefill. Invariant: the number changes by one, only after several ticks in a row have
 * favoured the same direction, only if the busier stage would be clearly less utilized for it, and never twice within
 * the configured `calm` period; so it settles under a steady load. A change that reverts the previous one waits twice
 * as long.
 */
export const StageBalancer = {
  make(deps: {
    world: World;
    /** Configuration and stage assignments. */
    sheet: FleetRecordsView;
    /** Backend inventory. */
    town: InventoryView;
    /** Named leases held by this daemon. */
    duty: DaemonLeases;
    /** Gossip by which the target is published. */
    purge: GossipNode;
    /** Load of the whole fleet. */
    load: () => Load;
    self: () => string;
  }) {
    /** Number of ticks in a row that favoured more (positive) or fewer (negative) prefill servers. */
    let trend = 0;
    let lastChangeAt = -Infinity;
    let lastDirection = 0;
    return {
      /** Name of the lease under which the target is published. */
      leaseName: 'mix',
      tick(): void {
        const configuration = deps.sheet.configuration(),
          fence = deps.duty.fence('mix');
        if (!configuration || fence === null || !configuration.casting.swing) {
          trend = 0;
          return;
        }
        const rows = [...deps.sheet.assignments().values()]
          .map((r) => r.assignment)
          .filter((r) => r.stage !== 'dark' && deps.town.findServing(r.server, r.born));
        const slotsOf = (stage: string): number =>
          rows
            .filter((r) => r.part === stage)
            .reduce((a, r) => a + (configuration.servers.find((s) => s.id === r.server)?.slots ?? 1), 0);
        const load = deps.load(),
          slotsPerServer = (slotsOf('prefill') + slotsOf('decode')) / Math.max(1, rows.length);
        /** Utilization of the busier stage if `change` more servers ran prefill. */
        const maxUtilization = (change: number): number => {
          const prefillSlots = slotsOf('prefill') + change * slotsPerServer,
            decodeSlots = slotsOf('decode') - change * slotsPerServer;
          return prefillSlots <= 0 || decodeSlots <= 0
            ? Infinity
            : Math.max(load.read / prefillSlots, load.write / decodeSlots);
        };
        const current = maxUtilization(0),
          favoured =
            current < MIN_UTILIZATION_RATIO
              ? 0
              : maxUtilization(1) < current * REQUIRED_GAIN_RATIO
                ? 1
                : maxUtilization(-1) < current * REQUIRED_GAIN_RATIO
                  ? -1
                  : 0;
        trend = favoured === 0 ? 0 : Math.sign(trend) === favoured ? trend + favoured : favoured;
        const pauseMs = configuration.casting.calm * (Math.sign(trend) === -lastDirection ? REVERSAL_PAUSE_FACTOR : 1);
        if (Math.abs(trend) < MIN_CONSECUTIVE_TICKS || deps.world.clock.mono() - lastChangeAt < pauseMs) return;
        const currentCount = deps.sheet.mix()?.prefill ?? configuration.casting.prefill;
        const direction = Math.sign(trend),
          nextCount = StageTarget.prefillCount(configuration, currentCount + direction, rows.length);
        trend = 0;
        if (nextCount === currentCount) return;
        lastChangeAt = deps.world.clock.mono();
        lastDirection = direction;
        const previous = deps.sheet.stamp('mix');
        const step = previous && previous[0] === fence ? previous[1] + 1 : 0;
        deps.purge.publish({ name: 'mix', mark: [fence, step], body: { prefill: nextCount, by: deps.self() } });
        deps.world.recordEvent({ what: 'mix', prefill: nextCount });
      },
    };
  },
};
