import type { Mark } from '@pumicebarrow/forms';

/** One line of the tracer: how one version came to be held here. */
export type Arrival = {
  name: string;
  mark: Mark;
  via: 'origin' | 'sender' | 'fallback' | 'repair' | 'catchup';
  from: string;
  origin: string;
  hops: number;
  age: number;
  round: number;
  wall: number;
};
