/** Maximum members of a view. Invariant: a chain has room for all voters and one newcomer. */
export const ViewLimits = { maxVoters: 7, maxChainLength: 8 };
