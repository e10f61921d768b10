/**
 * Maximum members of a view. Invariants: a chain has room for all voters and one newcomer; the voters' maximum is odd,
 * and one less than a power of two, on which the ballot numbers of different releases agree (see ViewChanger).
 */
export const ViewLimits = { maxVoters: 15, maxChainLength: 16 };
