/**
 * One run to be made: a drill or a day of so many faults on a fleet; or, on the core alone, a schedule of so many acts
 * (`explore`), or the disk points of one job, way and reach (`points confirm stop one`).
 */
export type Job = { fleet: 'coop' | 'registry'; drill: string; faults: number; seed: number };
