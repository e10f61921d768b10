import { type Clock } from '@pumicebarrow/forms';
import type { Server } from './server.js';

type ChangeListener = (now: readonly Server[], was: readonly Server[]) => void;
type ServerTable = { all: readonly Server[]; byId: ReadonlyMap<string, Server> };
const EMPTY_TABLE: ServerTable = { all: [], byId: new Map() };
const buildTable = (servers: readonly Server[]): ServerTable => ({
  all: servers,
  byId: new Map(servers.map((s) => [s.id, s])),
});

/**
 * The platform's server list as this daemon holds it. Invariants: its age is counted from before it was asked for, on
 * this daemon's own monotonic clock; nothing is read from a list older than `maxAgeMs`; a suspension of unknown length
 * makes it too old.
 */
export const ServerList = {
  make(clock: Clock, maxAgeMs: () => number, detectSuspension: () => void) {
    let held = EMPTY_TABLE;
    let knownAt = -Infinity;
    let invalidatedAt = -Infinity;
    let source: 'shared' | 'asked' = 'shared';
    const listeners: ChangeListener[] = [];
    const ageMs = (): number => clock.mono() - knownAt;
    const isFresh = (): boolean => {
      detectSuspension();
      return ageMs() < maxAgeMs();
    };
    const setServers = (servers: readonly Server[]): void => {
      const previous = held.all;
      held = buildTable(servers);
      for (const listener of listeners) listener(held.all, previous);
    };
    return {
      isFresh,
      ageMs,
      /**
       * Replaces the list by a whole one that was asked for at `at`, by any daemon; false if the list held is newer.
       */
      replace(servers: readonly Server[], at: number, newSource: 'shared' | 'asked'): boolean {
        detectSuspension();
        if (at <= knownAt || at < invalidatedAt) return false;
        knownAt = at;
        source = newSource;
        setServers(servers);
        return true;
      },
      /**
       * Applies a newer version of the shared list whose age is not yet known: its contents count, but the list gets no
       * fresher.
       */
      applyUnconfirmed(servers: readonly Server[]): void {
        if (source === 'shared') setServers(servers);
      },
      /** Records that the list held was still the newest at `at`; false if it is not the shared list. */
      confirm(at: number): boolean {
        detectSuspension();
        if (source === 'shared' && at > knownAt && at >= invalidatedAt) knownAt = at;
        return source === 'shared';
      },
      /** Whether the list held is the shared one, not one fetched from the platform or another router. */
      isShared: (): boolean => source === 'shared',
      /** Makes the list too old, whatever was known of its age. */
      invalidate(): void {
        knownAt = -Infinity;
        invalidatedAt = clock.mono();
      },
      subscribe(listener: ChangeListener): void {
        listeners.push(listener);
      },
      freshServers: (): readonly Server[] => (isFresh() ? held.all : []),
      /** The last list seen, however old: for asking about servers, never for sending to them. */
      lastKnownServers: (): readonly Server[] => held.all,
      /** The server if the list is fresh and shows it ready. */
      readyServer(id: string): Server | null {
        if (!isFresh()) return null;
        const s = held.byId.get(id);
        return s && s.state === 'ready' ? s : null;
      },
      stageOf: (id: string): Server['stage'] => held.byId.get(id)?.stage ?? null,
    };
  },
};
