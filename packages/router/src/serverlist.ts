import { type Clock } from '@pumicebarrow/forms';
import type { Server } from './server.js';

type Ear = (now: readonly Server[], was: readonly Server[]) => void;
type Table = { all: readonly Server[]; byId: ReadonlyMap<string, Server> };
const EMPTY: Table = { all: [], byId: new Map() };
const table = (servers: readonly Server[]): Table => ({ all: servers, byId: new Map(servers.map((s) => [s.id, s])) });

/**
 * The platform's list as this daemon holds it. Invariants: its age counts from before it was asked for, on our own
 * steady clock; nothing is read off a list older than `oldest`; a sleep of unknown length makes it too old.
 */
export const ServerList = {
  make(clock: Clock, oldest: () => number, look: () => void) {
    let held = EMPTY;
    let from = -Infinity;
    let dropped = -Infinity;
    let by: 'shared' | 'asked' = 'shared';
    const ears: Ear[] = [];
    const age = (): number => clock.mono() - from;
    const young = (): boolean => {
      look();
      return age() < oldest();
    };
    const set = (servers: readonly Server[]): void => {
      const was = held.all;
      held = table(servers);
      for (const fn of ears) fn(held.all, was);
    };
    return {
      young,
      age,
      /** A whole list that was asked for at `at`, by whomever; false if what is held is younger. */
      take(servers: readonly Server[], at: number, how: 'shared' | 'asked'): boolean {
        look();
        if (at <= from || at < dropped) return false;
        from = at;
        by = how;
        set(servers);
        return true;
      },
      /** A later list than the shared one held, of an age not known yet: what it shows counts, its youth does not. */
      glimpse(servers: readonly Server[]): void {
        if (by === 'shared') set(servers);
      },
      /** What is held was still the newest at `at`; false if it is not the shared one. */
      confirm(at: number): boolean {
        look();
        if (by === 'shared' && at > from && at >= dropped) from = at;
        return by === 'shared';
      },
      /** Whether what is held is the shared list, and not one asked of the platform or of a router. */
      shared: (): boolean => by === 'shared',
      drop(): void {
        from = -Infinity;
        dropped = clock.mono();
      },
      heed(fn: Ear): void {
        ears.push(fn);
      },
      all: (): readonly Server[] => (young() ? held.all : []),
      /** Whatever was last seen, however old: for asking about, never for sending by. */
      seen: (): readonly Server[] => held.all,
      good(id: string): Server | null {
        if (!young()) return null;
        const s = held.byId.get(id);
        return s && s.state === 'ready' ? s : null;
      },
      stage: (id: string): Server['stage'] => held.byId.get(id)?.stage ?? null,
    };
  },
};
