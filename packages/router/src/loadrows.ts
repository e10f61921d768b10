import type { ServerLoad } from './serverload.js';

type Rows = [string, number, number, number][];
const GRAIN = 100;

/** What is under way at servers, as daemons tell it each other. */
export const LoadRows = {
  pack: (loads: ReadonlyMap<string, ServerLoad>): Rows =>
    [...loads].map(([id, r]) => [id, r.runs, r.reads, Math.round(r.tokens / GRAIN)]),
  open: (rows: Rows): ReadonlyMap<string, ServerLoad> =>
    new Map(rows.map(([id, runs, reads, tokens]) => [id, { runs, reads, tokens: tokens * GRAIN }])),
};
