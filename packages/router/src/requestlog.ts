import type { Clock } from '@pumicebarrow/forms';
import type { RequestStep } from './requeststep.js';

type More = Partial<Omit<RequestStep, 'what' | 'wall'>>;
type Row = { id: string; wall: number; what: RequestStep['what']; more: More };
const SIZE = 8192;
const NONE: More = {};

/**
 * The last steps of requests, for operators that ask. Invariants: never more than `size` steps are held, the oldest go
 * first; a step costs one write into the ring, and nothing is looked up, joined or sent before somebody asks.
 */
export const RequestLog = {
  make(clock: Clock, size = SIZE) {
    const ring: Row[] = [];
    let next = 0;
    return {
      note(id: string, what: RequestStep['what'], more: More = NONE): void {
        ring[next] = { id, wall: clock.wall(), what, more };
        next = (next + 1) % size;
      },
      /** The steps still held of one request, oldest first. */
      stepsOf: (id: string): RequestStep[] =>
        [...ring.slice(next), ...ring.slice(0, next)]
          .filter((r) => r.id === id)
          .map(({ wall, what, more }) => ({
            ...{ what, wall, at: '', word: '', tokens: 0, ahead: 0, why: '' },
            ...more,
          })),
    };
  },
};
