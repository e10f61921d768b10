/** Runs in progress, prompts waiting to be read, and their tokens. */
type ServerLoad = { runs: number; reads: number; tokens: number };
type FleetLoads = { all: ReadonlyMap<string, ServerLoad>; own: ReadonlyMap<string, ServerLoad>; at: number };
/** How long the loads of all routers, once fetched, take precedence over what others reported by gossip. */
const FLEET_LOADS_VALID_MS = 400;
const NO_LOAD: ServerLoad = { runs: 0, reads: 0, tokens: 0 };

/** What this daemon has under way at each server, and what others last reported of theirs. */
export const ServerLoads = {
  make(mono: () => number = () => 0) {
    const own = new Map<string, ServerLoad>();
    let gossipedLoads: ReadonlyMap<string, ServerLoad> = new Map();
    /** Adds up the gossip received since; null once that is done. */
    let gossipSource: (() => ReadonlyMap<string, ServerLoad>) | null = null;
    let notifyChange: (id: string) => void = () => undefined;
    let fleetLoads: FleetLoads | null = null;
    const adjust = (id: string, delta: ServerLoad): void => {
      const current = own.get(id) ?? NO_LOAD;
      const next = {
        runs: current.runs + delta.runs,
        reads: current.reads + delta.reads,
        tokens: current.tokens + delta.tokens,
      };
      if (next.runs === 0 && next.reads === 0) own.delete(id);
      else own.set(id, next);
      notifyChange(id);
    };
    const add = (id: string, delta: ServerLoad): (() => void) => {
      let open = true;
      adjust(id, delta);
      return () => {
        if (open) adjust(id, { runs: -delta.runs, reads: -delta.reads, tokens: -delta.tokens });
        open = false;
      };
    };
    /** The fleet's loads at the time of the query, adjusted by what began or ended here since. */
    const estimate = (fleet: FleetLoads, id: string): ServerLoad => {
      const all = fleet.all.get(id) ?? NO_LOAD,
        ownThen = fleet.own.get(id) ?? NO_LOAD,
        ownNow = own.get(id) ?? NO_LOAD;
      return {
        runs: Math.max(0, all.runs + ownNow.runs - ownThen.runs),
        reads: Math.max(0, all.reads + ownNow.reads - ownThen.reads),
        tokens: Math.max(0, all.tokens + ownNow.tokens - ownThen.tokens),
      };
    };
    return {
      /** Registers the listener called for each server at which this daemon's load changes. */
      subscribe(listener: (id: string) => void): void {
        notifyChange = listener;
      },
      snapshot: (): ReadonlyMap<string, ServerLoad> => new Map(own),
      /**
       * Sets the loads of all routers as of the moment when `ownThen` was this daemon's own; they count for a short
       * while.
       */
      setFleetLoads(all: ReadonlyMap<string, ServerLoad>, ownThen: ReadonlyMap<string, ServerLoad>, at: number): void {
        fleetLoads = { all, own: ownThen, at };
      },
      /**
       * Adds a run at the server. Returns the function that ends it; calling it twice counts once. The same holds for
       * `beginRead`.
       */
      beginRun: (id: string): (() => void) => add(id, { runs: 1, reads: 0, tokens: 0 }),
      /** Adds a prompt that is read there, by itself or at the start of a run. */
      beginRead: (id: string, tokens: number): (() => void) => add(id, { runs: 0, reads: 1, tokens }),
      /** This daemon's totals: tokens to be read at prefill servers, tokens to be read at other servers, and runs. */
      ownTotals(isPrefill: (id: string) => boolean): { read: number; beside: number; run: number } {
        const sum = { read: 0, beside: 0, run: 0 };
        for (const [id, r] of own) {
          if (isPrefill(id)) sum.read += r.tokens;
          else sum.beside += r.tokens;
          sum.run += r.runs;
        }
        return sum;
      },
      ownLoads: (): ReadonlyMap<string, ServerLoad> => own,
      loadAt(id: string): ServerLoad {
        if (fleetLoads && mono() - fleetLoads.at < FLEET_LOADS_VALID_MS) return estimate(fleetLoads, id);
        if (gossipSource) gossipedLoads = gossipSource();
        gossipSource = null;
        const a = own.get(id) ?? NO_LOAD,
          b = gossipedLoads.get(id) ?? NO_LOAD;
        return { runs: a.runs + b.runs, reads: a.reads + b.reads, tokens: a.tokens + b.tokens };
      },
      /** Marks that gossip has arrived; it is added up when loads are next read, not before. */
      setGossipSource(next: () => ReadonlyMap<string, ServerLoad>): void {
        gossipSource = next;
      },
    };
  },
};
