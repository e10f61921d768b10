import type { VersionStamp } from '@pumicebarrow/forms';

/** A line of the trace: how one version of a record arrived at this daemon. */
export type Arrival = {
  name: string;
  mark: VersionStamp;
  /**
   * 'origin': published here; 'sender': pulled from the sender of the notice; 'fallback': pulled from another peer;
   * 'repair': pulled after a comparison of range digests; 'catchup': learnt by other means than gossip.
   */
  via: 'origin' | 'sender' | 'fallback' | 'repair' | 'catchup';
  /** The daemon, or the other source, that the version came from. */
  from: string;
  /** The daemon that wrote the notice; otherwise the same as `from`. */
  origin: string;
  hops: number;
  /** Age of the notice in ms; 0 if the version did not come with a notice. */
  age: number;
  /** The gossip round in which it arrived. */
  round: number;
  /** The wall-clock time of its arrival. */
  wall: number;
};
