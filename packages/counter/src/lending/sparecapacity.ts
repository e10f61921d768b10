import type { FleetConfiguration } from '@pumicebarrow/forms';
import type { StageAssignment } from '@pumicebarrow/registry';

/** Load of the whole fleet by live requests: `read` is prefill, `write` is decode. */
type Load = { read: number; write: number };

/**
 * Computes how many slots of a server may be lent. Pure, so that every lender comes to the same result from the same
 * records. Invariant: the sum over the servers of a stage is never more than the configured fraction, nor than what is
 * left beside live requests and the configured reserve.
 */
export const SpareCapacity = {
  slots(configuration: FleetConfiguration, rows: readonly StageAssignment[], load: Load, server: string): number {
    const lending = configuration.lending,
      row = rows.find((r) => r.server === server && r.stage === 'serving');
    if (!lending || !row) return 0;
    const slotsOf = (id: string): number => configuration.servers.find((s) => s.id === id)?.slots ?? 0;
    const stageSlots = rows
      .filter((r) => r.part === row.part && r.stage === 'serving')
      .reduce((n, r) => n + slotsOf(r.server), 0);
    const used = row.part === 'prefill' ? load.read : load.write;
    const lendable = Math.min(stageSlots * lending.most[row.part], stageSlots - lending.keep[row.part] - used);
    return Math.max(0, Math.floor((lendable * slotsOf(server)) / stageSlots));
  },
};
