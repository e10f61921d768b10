/** The most members of a view. Invariant: a chain has room for one newcomer beside all voters. */
export const ViewLimits = { maxVoters: 7, maxChainLength: 8 };
