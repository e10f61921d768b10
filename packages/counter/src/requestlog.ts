import type { Clock, World } from '@pumicebarrow/forms';

type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
const MAX_REQUESTS = 1024;

/** Log of the steps this daemon took for its latest requests. Invariant: keeps at most MAX_REQUESTS requests. */
export const RequestLog = {
  make(clock: Clock) {
    const stepsByKey = new Map<string, readonly Step[]>();
    return {
      stepsOf: (key: string): readonly Step[] => stepsByKey.get(key) ?? [],
      /** Wraps a world so that its events about requests are also recorded here. */
      recordEvents: (world: World): World => ({
        ...world,
        recordEvent(event) {
          const { what, key, attempt, ...more } = event;
          if (typeof key === 'string' && typeof attempt === 'number') {
            const earlierSteps = stepsByKey.get(key) ?? [];
            stepsByKey.delete(key);
            stepsByKey.set(key, [...earlierSteps, { what: String(what), wall: clock.wall(), attempt, more }]);
            if (stepsByKey.size > MAX_REQUESTS) stepsByKey.delete(stepsByKey.keys().next().value!);
          }
          world.recordEvent(event);
        },
      }),
    };
  },
};
