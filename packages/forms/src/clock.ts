/**
 * Time as a daemon sees it. `mono` never goes back and is what every age and term is taken from;
 * `wall` may jump and is only for people to read.
 */
export type Clock = {
  mono(): number;
  wall(): number;
  after(ms: number, fn: () => void): () => void;
  /** The same for what comes again and again, at about that time: with whatever else is due then. */
  beat?(ms: number, fn: () => void): () => void;
};
