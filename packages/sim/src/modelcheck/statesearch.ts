/** A step: what was done, the state after it, and what it showed to be broken. */
type Step<W> = { name: string; next: W; broken?: string };
/** What may happen in a model, what names its states, and what must hold in each. */
type Model<W> = {
  first: W;
  steps: (world: W) => readonly Step<W>[];
  key: (world: W) => string;
  /** The first invariant that does not hold; null while all do. */
  broken: (world: W) => string | null;
};
type Limits = { depth: number; states: number };
type Found = { states: number; depth: number; whole: boolean; broken: string | null; path: readonly string[] };
type Reached<W> = { world: W; from: Reached<W> | null; name: string };
const path = <W>(at: Reached<W> | null): string[] => (at && at.from ? [...path(at.from), at.name] : []);

/**
 * Explores every state of a model that can be reached within a depth, nearest first.
 * Invariant: the path given to a broken invariant is a shortest one; `whole` tells that no state was left out.
 */
export const StateSearch = {
  run<W>(model: Model<W>, limits: Limits): Found {
    const seen = new Set([model.key(model.first)]);
    let level: Reached<W>[] = [{ world: model.first, from: null, name: '' }];
    for (let depth = 1; depth <= limits.depth && level.length > 0; depth++) {
      const next: Reached<W>[] = [];
      for (const at of level)
        for (const step of model.steps(at.world)) {
          const reached = { world: step.next, from: at, name: step.name };
          const broken = step.broken ?? model.broken(step.next);
          if (broken) return { states: seen.size, depth, whole: false, broken, path: path(reached) };
          const key = model.key(step.next);
          if (seen.has(key)) continue;
          if (seen.size >= limits.states) return { states: seen.size, depth, whole: false, broken: null, path: [] };
          seen.add(key);
          next.push(reached);
        }
      level = next;
    }
    return { states: seen.size, depth: limits.depth, whole: true, broken: null, path: [] };
  },
};
