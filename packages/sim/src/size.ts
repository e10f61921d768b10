/**
 * How large a core is: how many machines may be lost at once, and how many stand by to join. `first` false: none is
 * started to make the first view; `more`: so many beyond those that will vote are. `introducers`: the seeds are daemons
 * that are no members and only let candidates find each other.
 */
export type Size = { losses: number; spares: number; first?: boolean; more?: number; introducers?: boolean };
