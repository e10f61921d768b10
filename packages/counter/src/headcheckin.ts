import type { Clock, Ident } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { ControlClient } from '@pumicebarrow/registry';
import type { ConfigurationCatchUp } from './configurationcatchup.js';
import type { FleetRecordsView } from './fleetrecordsview.js';

/** Weight of requests that want or use a server, by stage: `read` is prefill, `write` is decode. */
type Load = { read: number; write: number };
type Dependencies = {
  clock: Clock;
  controlClient: ControlClient;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  recordStore: RecordStore;
  newest: ReturnType<typeof ConfigurationCatchUp.make>;
  demand: () => Load;
};
/** Time that gossip is given to bring a configuration version that the head already has. */
const GOSSIP_LAG_MS = 600;
/** A version of the configuration that this daemon does not have yet, and since when it is known to be behind. */
type Missing = { version: number; since: number };

/**
 * Periodic check-in with the head of the chain: reports what this daemon stores and its load, and learns which daemons
 * are live and the load of the fleet. Invariant: a daemon that has been behind for GOSSIP_LAG_MS reads the
 * configuration from the tail at that moment, not at a later check-in.
 */
export const HeadCheckin = {
  make(deps: Dependencies) {
    let roster: readonly Ident[] = [];
    let load: Load = { read: 0, write: 0 };
    let missing: Missing | null = null;
    let reading = false;
    const caughtUp = (): boolean => missing === null || deps.sheet.version() >= missing.version;
    const readIfBehind = async (): Promise<void> => {
      if (reading || caughtUp()) return;
      const wanted = missing;
      reading = true;
      if ((await deps.newest.readTail(300)) && missing === wanted) missing = null;
      reading = false;
    };
    return {
      /** Live daemons, as of the last check-in. */
      roster: (): readonly Ident[] => roster,
      /** Load of the whole fleet, as of the last check-in. */
      load: (): Load => load,
      async tick(): Promise<void> {
        const reply = await deps.controlClient.checkin({
          version: deps.sheet.version(),
          sum: deps.recordStore.digest(),
          load: deps.demand(),
        });
        if (!reply) return;
        if (reply.roster) roster = reply.roster;
        load = reply.load;
        if (reply.version <= deps.sheet.version()) {
          missing = null;
        } else if (missing === null || caughtUp()) {
          const newlyMissing = { version: reply.version, since: deps.clock.mono() };
          missing = newlyMissing;
          deps.clock.after(GOSSIP_LAG_MS, () => {
            if (missing === newlyMissing) void readIfBehind();
          });
        } else if (deps.clock.mono() - missing.since > GOSSIP_LAG_MS) {
          await readIfBehind();
        }
      },
    };
  },
};
