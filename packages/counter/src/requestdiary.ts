import type { Clock, World } from '@pumicebarrow/forms';

type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
const MOST = 1024;

/** What this daemon did for its latest requests, step by step. Invariant: never more than MOST requests are kept. */
export const RequestDiary = {
  make(clock: Clock) {
    const rows = new Map<string, readonly Step[]>();
    return {
      of: (key: string): readonly Step[] => rows.get(key) ?? [],
      /** The same world, whose deeds are also written here when they are about a request. */
      listen: (world: World): World => ({
        ...world,
        tell(d) {
          const { what, key, attempt, ...more } = d;
          if (typeof key === 'string' && typeof attempt === 'number') {
            const old = rows.get(key) ?? [];
            rows.delete(key);
            rows.set(key, [...old, { what: String(what), wall: clock.wall(), attempt, more }]);
            if (rows.size > MOST) rows.delete(rows.keys().next().value!);
          }
          world.tell(d);
        },
      }),
    };
  },
};
