import { RendezvousHash } from '@pumicebarrow/forms';

/** `examinedUpTo` is the index in `arrivals` up to which all names have been ranked. */
type Selection = { ids: readonly string[]; examinedUpTo: number };
type Peers = { ids: readonly string[]; whole: boolean };
type Dependencies = { mono: () => number; peerCount: number };
/** Names ranked per ms on average, at most in one burst, and at least per query. */
const NAMES_PER_MS = 250;
const BURST_NAMES = 200_000;
const MIN_NAMES_PER_QUERY = 8;
/** Stale entries tolerated in `arrivals` beyond twice the live ones. */
const COMPACTION_SLACK = 64;

/**
 * Selects for each member the few others that rank first by rendezvous hashing, and keeps the selection between
 * queries. Invariants: once `whole` is true, the selection equals the first of a ranking of all live members; no name
 * is ranked twice except those selected, and all names are ranked again only if a selected one is gone; ranking takes a
 * bounded part of the time and continues at the next query.
 */
export const PeerSelector = {
  make(deps: Dependencies) {
    /** Names in order of arrival; an entry is current only if `positions` maps the name to its index. */
    let arrivals: string[] = [];
    const positions = new Map<string, number>();
    const selections = new Map<string, Selection>();
    let allowance = BURST_NAMES,
      allowanceAt = deps.mono();
    /** Takes up to `wanted` names from the rate limit, and at least MIN_NAMES_PER_QUERY. */
    const takeAllowance = (wanted: number): number => {
      const now = deps.mono();
      allowance = Math.min(BURST_NAMES, allowance + NAMES_PER_MS * (now - allowanceAt));
      allowanceAt = now;
      const granted = Math.min(wanted, Math.max(MIN_NAMES_PER_QUERY, Math.floor(allowance)));
      allowance = Math.max(0, allowance - granted);
      return granted;
    };
    /** Removes stale entries from `arrivals` once they outnumber the live ones. */
    const compact = (): void => {
      if (arrivals.length < 2 * positions.size + COMPACTION_SLACK) return;
      const newPositions: number[] = [],
        liveIds: string[] = [];
      arrivals.forEach((id, i) => {
        newPositions.push(liveIds.length);
        if (positions.get(id) === i) liveIds.push(id);
      });
      for (const selection of selections.values())
        selection.examinedUpTo = newPositions[selection.examinedUpTo] ?? liveIds.length;
      arrivals = liveIds;
      arrivals.forEach((id, i) => positions.set(id, i));
    };
    return {
      add(id: string): void {
        compact();
        positions.set(id, arrivals.length);
        arrivals.push(id);
      },
      remove(id: string): void {
        positions.delete(id);
        selections.delete(id);
      },
      peersOf(memberId: string): Peers {
        const selection = selections.get(memberId) ?? { ids: [], examinedUpTo: 0 };
        const ids = selection.ids.filter((id) => positions.has(id));
        const start = ids.length < selection.ids.length ? 0 : selection.examinedUpTo;
        const end = start + (start < arrivals.length ? takeAllowance(arrivals.length - start) : 0);
        const candidates = arrivals.slice(start, end).filter((id, i) => positions.get(id) === start + i);
        if (candidates.length > 0 || ids.length < selection.ids.length)
          selection.ids = RendezvousHash.top(memberId, new Set([...ids, ...candidates]), (id) => id, deps.peerCount + 1)
            .filter((id) => id !== memberId)
            .slice(0, deps.peerCount);
        selection.examinedUpTo = end;
        selections.set(memberId, selection);
        return { ids: selection.ids, whole: end === arrivals.length };
      },
    };
  },
};
