/** One event of a run's history, read by the consistency checker and the tracer. Daemons never read it back. */
export type HistoryEvent = {
  /** The kind of event. */
  what: string;
  /** The daemon that recorded it. */
  who: string;
  /** When it happened, in ms. */
  at: number;
  [key: string]: unknown;
};
