/** One daemon's share of a server's slots among so many, in weights; never less than one request's worth. */
export const Share = {
  of: (slots: number, daemons: number): number => Math.max(1, Math.ceil((slots * 1.5) / Math.max(1, daemons))),
};
