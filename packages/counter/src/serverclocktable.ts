import { Timer, type Clock, type Result } from '@pumicebarrow/forms';
import type { ModelServerClient } from './modelserverclient.js';
import type { ModelServerFault } from './modelserverfault.js';
import type { ModelServerState } from './modelserverstate.js';
import type { ExecutionBound } from './executionbound.js';
import type { ListedServer } from './listedserver.js';

/** A reading of a server's clock; `at` is when its reply arrived here, on this daemon's monotonic clock. */
type Reading = { born: string; clock: number; at: number };
const TICK_MS = 200;
const REFRESH_MS = 3000;
const MAX_AGE_MS = 30_000;
const REQUEST_TIMEOUT_MS = 500;

/**
 * The latest reading of each server's own clock, by which deadlines of this daemon are translated to that clock.
 * Invariants: `at` is no earlier than the instant at which the server read `clock`, so a translated deadline is never
 * later than intended; after a suspension of this daemon no reading is valid until the next exchange.
 */
export const ServerClockTable = {
  make(clock: Clock, back: ModelServerClient, listed: () => readonly ListedServer[], checkSuspension: () => void) {
    let readings: ReadonlyMap<string, Reading> = new Map();
    const probing = new Set<string>();
    let resets = 0;
    let stop: () => void = () => undefined;
    const validReading = (server: ListedServer): Reading | null => {
      const reading = readings.get(server.id);
      return reading && reading.born === server.born && clock.mono() - reading.at < MAX_AGE_MS ? reading : null;
    };
    const probeServer = async (
      server: ListedServer,
      timeoutMs: number,
    ): Promise<Result<ModelServerState, ModelServerFault>> => {
      const resetsBefore = resets,
        reply = await back.fetchState(server.addr, timeoutMs);
      checkSuspension();
      if (reply.ok && resetsBefore === resets)
        readings = new Map(readings).set(server.id, {
          born: reply.val.born,
          clock: reply.val.clock,
          at: clock.mono(),
        });
      return reply;
    };
    const refresh = async (server: ListedServer): Promise<void> => {
      if (probing.has(server.id)) return;
      probing.add(server.id);
      await probeServer(server, REQUEST_TIMEOUT_MS);
      probing.delete(server.id);
    };
    /** Probes the servers whose reading is missing or due; forgets the servers that are no longer listed. */
    const tick = (): void => {
      const servers = listed();
      if (readings.size > servers.length)
        readings = new Map([...readings].filter(([id]) => servers.some((s) => s.id === id)));
      for (const server of servers) {
        const reading = validReading(server);
        if (server.mark === 'serving' && (!reading || clock.mono() - reading.at > REFRESH_MS)) void refresh(server);
      }
    };
    return {
      start(): void {
        stop = Timer.every(clock, TICK_MS, tick);
      },
      stop(): void {
        stop();
      },
      tick,
      /** Asks a server for its state, and records its clock. */
      probe: probeServer,
      /** Forgets all readings, also those under way. */
      forgetAll(): void {
        readings = new Map();
        resets++;
      },
      isKnown: (server: ListedServer): boolean => validReading(server) !== null,
      /** The bound of a request that must not start after `until` on this daemon's clock; null if there is none. */
      bound(server: ListedServer, until: number): ExecutionBound | null {
        checkSuspension();
        const reading = validReading(server);
        return reading && until > clock.mono() ? { born: server.born, by: reading.clock + (until - reading.at) } : null;
      },
    };
  },
};
