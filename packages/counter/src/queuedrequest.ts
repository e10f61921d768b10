import type { NamedRoute } from '@pumicebarrow/forms';

/** A queued request. Invariant: `resolve` is called once, with true for its turn or with false if it is given up. */
export type QueuedRequest = {
  rule: NamedRoute;
  /** When it is given up, in monotonic ms. */
  due: number;
  /** Order of arrival. */
  sequence: number;
  pending: boolean;
  resolve: (granted: boolean) => void;
};
