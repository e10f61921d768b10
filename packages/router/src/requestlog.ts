import type { Clock } from '@pumicebarrow/forms';
import type { RequestStep } from './requeststep.js';

type StepDetails = Partial<Omit<RequestStep, 'what' | 'wall'>>;
type Entry = { id: string; wall: number; what: RequestStep['what']; details: StepDetails };
const DEFAULT_CAPACITY = 8192;
const NO_DETAILS: StepDetails = {};

/**
 * The last steps of requests, for operators that ask. Invariants: never more than `size` steps are held, the oldest go
 * first; a step costs one write into the ring, and nothing is looked up, joined or sent before somebody asks.
 */
export const RequestLog = {
  make(clock: Clock, capacity = DEFAULT_CAPACITY) {
    const ring: Entry[] = [];
    let nextIndex = 0;
    return {
      note(id: string, what: RequestStep['what'], details: StepDetails = NO_DETAILS): void {
        ring[nextIndex] = { id, wall: clock.wall(), what, details: details };
        nextIndex = (nextIndex + 1) % capacity;
      },
      /** The steps still held of one request, oldest first. */
      stepsOf: (id: string): RequestStep[] =>
        [...ring.slice(nextIndex), ...ring.slice(0, nextIndex)]
          .filter((entry) => entry.id === id)
          .map(({ wall, what, details: details }) => ({
            ...{ what, wall, at: '', word: '', tokens: 0, ahead: 0, why: '' },
            ...details,
          })),
    };
  },
};
