/** One call on the register of configurations, as its caller saw it. Times are in ms. */
type Call = { from: number; to: number } & (
  | { kind: 'replace'; base: number; revision: number; outcome: 'won' | 'lost' | 'unclear' }
  | { kind: 'read'; revision: number }
);
type State = { revision: number };

/** What the register is after a call; null where it can't have replied so. */
const after = (s: State, c: Call): State | null => {
  if (c.kind === 'read') return c.revision === s.revision ? s : null;
  const wins = c.base === s.revision;
  if (c.outcome === 'lost') return wins ? null : s;
  if (!wins) return c.outcome === 'won' ? null : s;
  return { revision: c.revision };
};

/** An order under way: it has all clear calls before `first`, those of `done` beyond it, and unclear ones `applied`. */
type Point = { first: number; done: readonly number[]; applied: readonly number[]; state: State };

/** Every way to go on by one call. No call that begins after the first end of those left may come next. */
const nexts = (at: Point, must: readonly Call[], may: readonly Call[]): Point[] => {
  const out: Point[] = [];
  let limit = Infinity;
  for (let i = at.first; i < must.length && must[i]!.from <= limit; i++)
    if (!at.done.includes(i)) limit = Math.min(limit, must[i]!.to);
  may.forEach((call, i) => {
    const state = call.from <= limit && !at.applied.includes(i) ? after(at.state, call) : null;
    if (state && state !== at.state) out.push({ ...at, applied: [...at.applied, i], state });
  });
  for (let i = at.first; i < must.length && must[i]!.from <= limit; i++) {
    const state = at.done.includes(i) ? null : after(at.state, must[i]!);
    if (!state) continue;
    const done = new Set([...at.done, i]);
    let { first } = at;
    while (done.delete(first)) first++;
    out.push({ first, done: [...done].sort((a, b) => a - b), applied: at.applied, state });
  }
  return out;
};

/**
 * Judges a history of calls on one compare-and-set register: is there one order of all calls, each taking effect at an
 * instant between its beginning and its end, that gives every caller what it saw? A call without a clear outcome may
 * have taken effect at any time after its beginning, or never. Revisions of two replacements may be equal: a read then
 * fits either.
 */
export const RegisterHistory = {
  /** The calls that no order can explain: those left over by the order that came furthest; none if one fits. */
  unexplained(calls: readonly Call[]): readonly Call[] {
    const unclear = (c: Call): boolean => c.kind === 'replace' && c.outcome === 'unclear';
    const must = calls.filter((c) => !unclear(c)).sort((a, b) => a.from - b.from);
    const may = calls.filter(unclear);
    const seen = new Set<string>();
    let furthest: Point = { first: 0, done: [], applied: [], state: { revision: 0 } };
    // Depth first, without recursion: a history may be long.
    const stack = [furthest];
    for (let at = stack.pop(); at; at = stack.pop()) {
      const key = `${at.first} ${at.done.join()} ${at.applied.join()} ${at.state.revision}`;
      if (seen.has(key)) continue;
      seen.add(key);
      if (at.first === must.length) return [];
      if (at.first + at.done.length > furthest.first + furthest.done.length) furthest = at;
      stack.push(...nexts(at, must, may));
    }
    const { first, done } = furthest;
    return must.filter((_, i) => i >= first && !done.includes(i)).slice(0, 3);
  },
};
