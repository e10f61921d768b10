/**
 * A daemon's share of a server's slots, in weights, when so many daemons send to it: half as much again as an equal
 * part, and never less than one request of weight 1.
 */
export const SlotShare = {
  of: (slots: number, daemons: number): number => Math.max(1, Math.ceil((slots * 1.5) / Math.max(1, daemons))),
};
