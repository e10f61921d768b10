/** One line of a run's history, for the checker and the tracer. Nothing in a daemon reads it back. */
export type Deed = { what: string; who: string; at: number; [key: string]: unknown };
