import type { Clock, World } from '@pumicebarrow/forms';

type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
const MAX_REQUESTS = 1024;

/** What this daemon did for its latest requests, step by step. Invariant: never more than MOST requests are kept. */
export const RequestDiary = {
  make(clock: Clock) {
    const stepsByKey = new Map<string, readonly Step[]>();
    return {
      of: (key: string): readonly Step[] => stepsByKey.get(key) ?? [],
      /** The same world, whose deeds are also written here when they are about a request. */
      listen: (world: World): World => ({
        ...world,
        tell(event) {
          const { what, key, attempt, ...more } = event;
          if (typeof key === 'string' && typeof attempt === 'number') {
            const earlierSteps = stepsByKey.get(key) ?? [];
            stepsByKey.delete(key);
            stepsByKey.set(key, [...earlierSteps, { what: String(what), wall: clock.wall(), attempt, more }]);
            if (stepsByKey.size > MAX_REQUESTS) stepsByKey.delete(stepsByKey.keys().next().value!);
          }
          world.tell(event);
        },
      }),
    };
  },
};
