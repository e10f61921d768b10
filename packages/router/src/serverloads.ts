type Row = { runs: number; reads: number; tokens: number };
const NONE: Row = { runs: 0, reads: 0, tokens: 0 };

/** What this daemon has under way at each server, and what others last said they have. */
export const ServerLoads = {
  make() {
    const own = new Map<string, Row>();
    let others: ReadonlyMap<string, Row> = new Map();
    /** Adds up what was heard since; null once that is done. */
    let added: (() => ReadonlyMap<string, Row>) | null = null;
    const bump = (id: string, by: Row): void => {
      const row = own.get(id) ?? NONE;
      const next = { runs: row.runs + by.runs, reads: row.reads + by.reads, tokens: row.tokens + by.tokens };
      if (next.runs === 0 && next.reads === 0) own.delete(id);
      else own.set(id, next);
    };
    const add = (id: string, by: Row): (() => void) => {
      let open = true;
      bump(id, by);
      return () => {
        if (open) bump(id, { runs: -by.runs, reads: -by.reads, tokens: -by.tokens });
        open = false;
      };
    };
    return {
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
