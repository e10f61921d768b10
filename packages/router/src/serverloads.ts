type Row = { runs: number; reads: number; tokens: number };
type Exact = { all: ReadonlyMap<string, Row>; own: ReadonlyMap<string, Row>; at: number };
/** ms for which the loads of all, once asked for, go before what others last said. */
const EXACT = 400;
const NONE: Row = { runs: 0, reads: 0, tokens: 0 };

/** What this daemon has under way at each server, and what others last said they have. */
export const ServerLoads = {
  make(mono: () => number = () => 0) {
    const own = new Map<string, Row>();
    let others: ReadonlyMap<string, Row> = new Map();
    /** Adds up what was heard since; null once that is done. */
    let added: (() => ReadonlyMap<string, Row>) | null = null;
    let heed: (id: string) => void = () => undefined;
    let exact: Exact | null = null;
    const bump = (id: string, by: Row): void => {
      const row = own.get(id) ?? NONE;
      const next = { runs: row.runs + by.runs, reads: row.reads + by.reads, tokens: row.tokens + by.tokens };
      if (next.runs === 0 && next.reads === 0) own.delete(id);
      else own.set(id, next);
      heed(id);
    };
    const add = (id: string, by: Row): (() => void) => {
      let open = true;
      bump(id, by);
      return () => {
        if (open) bump(id, { runs: -by.runs, reads: -by.reads, tokens: -by.tokens });
        open = false;
      };
    };
    /** What all had under way when it was asked for, and what began or ended here since. */
    const since = (then: Exact, id: string): Row => {
      const all = then.all.get(id) ?? NONE,
        was = then.own.get(id) ?? NONE,
        now = own.get(id) ?? NONE;
      return {
        runs: Math.max(0, all.runs + now.runs - was.runs),
        reads: Math.max(0, all.reads + now.reads - was.reads),
        tokens: Math.max(0, all.tokens + now.tokens - was.tokens),
      };
    };
    return {
      /** Is told of each server at which what this daemon has under way changes. */
      heed(fn: (id: string) => void): void {
        heed = fn;
      },
      snapshot: (): ReadonlyMap<string, Row> => new Map(own),
      /** What all routers had under way when `own` was what this one had; it counts for a short while. */
      exact(all: ReadonlyMap<string, Row>, ownThen: ReadonlyMap<string, Row>, at: number): void {
        exact = { all, own: ownThen, at };
      },
      /** Each gives back what ends it; ending twice counts once. */
      run: (id: string): (() => void) => add(id, { runs: 1, reads: 0, tokens: 0 }),
      /** A prompt that is read by itself, or at the start of a run. */
      read: (id: string, tokens: number): (() => void) => add(id, { runs: 0, reads: 1, tokens }),
      /** All that this daemon has under way: tokens to be read at prefill servers, those at others, and runs. */
      total(prefill: (id: string) => boolean): { read: number; beside: number; run: number } {
        const sum = { read: 0, beside: 0, run: 0 };
        for (const [id, r] of own) {
          if (prefill(id)) sum.read += r.tokens;
          else sum.beside += r.tokens;
          sum.run += r.runs;
        }
        return sum;
      },
      mine: (): ReadonlyMap<string, Row> => own,
      at(id: string): Row {
        if (exact && mono() - exact.at < EXACT) return since(exact, id);
        if (added) others = added();
        added = null;
        const a = own.get(id) ?? NONE,
          b = others.get(id) ?? NONE;
        return { runs: a.runs + b.runs, reads: a.reads + b.reads, tokens: a.tokens + b.tokens };
      },
      /** There is news; it is added up when it is next looked at, not before. */
      heard(next: () => ReadonlyMap<string, Row>): void {
        added = next;
      },
    };
  },
};
