/** What a soak saw. `faults` are broken promises; `counts` are the answers by how they ended. */
export type SoakReport = { faults: string[]; counts: Record<string, number> };
