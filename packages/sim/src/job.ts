/** One run to be made: a drill, or a day of so many faults. */
export type Job = { fleet: 'coop' | 'registry'; drill: string; faults: number; seed: number };
