import type { Clock } from '@pumicebarrow/forms';
import type { RequestStep } from './requeststep.js';

type StepDetails = Partial<Omit<RequestStep, 'what' | 'wall'>>;
type Entry = { id: string; wall: number; what: RequestStep['what']; details: StepDetails };
const DEFAULT_CAPACITY = 8192;
const NO_DETAILS: StepDetails = {};

/**
 * Ring buffer of the latest request steps, for operators' queries. Invariants: at most `capacity` steps are held and
 * the oldest are overwritten first; recording a step costs one write, and steps are searched and assembled only on a
 * query.
 */
export const RequestLog = {
  make(clock: Clock, capacity = DEFAULT_CAPACITY) {
    const ring: Entry[] = [];
    let nextIndex = 0;
    return {
      record(id: string, what: RequestStep['what'], details: StepDetails = NO_DETAILS): void {
        ring[nextIndex] = { id, wall: clock.wall(), what, details };
        nextIndex = (nextIndex + 1) % capacity;
      },
      /** Steps of one request that are still held, oldest first. */
      stepsOf: (id: string): RequestStep[] =>
        [...ring.slice(nextIndex), ...ring.slice(0, nextIndex)]
          .filter((entry) => entry.id === id)
          .map(({ wall, what, details }) => ({
            ...{ what, wall, at: '', word: '', tokens: 0, ahead: 0, why: '' },
            ...details,
          })),
    };
  },
};
