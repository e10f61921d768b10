/** Runs and reads under way at a server, and prompt tokens that it has yet to read for them. */
export type ServerLoad = { runs: number; reads: number; tokens: number };
