/** How large a core is: how many machines may be lost at once, and how many stand by to join. `first` false: none is
 * started to make the first view. */
export type Size = { losses: number; spares: number; first?: boolean };
