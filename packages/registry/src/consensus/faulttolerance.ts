/** What may be lost at once without losing the core: so many machines, or all machines of so many zones or regions. */
export type FaultTolerance = { machines: number; zones: number; regions: number };
