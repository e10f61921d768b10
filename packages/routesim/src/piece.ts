/** One event of an answer as a client gets it: its number, the run that made it, whose it is, whether it is last. */
export type Piece = { n: number; run: string; key: string; last: boolean };
