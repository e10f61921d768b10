import type { Clock } from '@pumicebarrow/forms';

/** ms over which what a tenant asked for fades. */
const FADE = 3000;
/** Less work than this is forgotten. */
const LITTLE = 1;
/** No tenant has less than this part of what all have on average admitted of its work. */
const LEAST = 0.5;
/** ms for which a level that was found stands, and the change of the part to refuse from which on it does not. */
const STANDS = 100;
const CHANGE = 0.01;
/** Halvings in the search for the level. */
const STEPS = 24;
type Demand = { work: number; at: number };

/**
 * Whom a part of all work is refused to: max-min fairness by approximate fair dropping. All are admitted up to one level
 * of work, so that who asks for more than the others is refused more, and who asks for little is not refused for them.
 * Invariants: over all tenants the part refused is the one asked for; of nobody's work less than LEAST of the average
 * part is admitted, so that a large tenant does not starve either; one tenant alone is refused just that part.
 */
export const TenantShares = {
  make(clock: Clock) {
    const demands = new Map<string, Demand>();
    let found = { at: -Infinity, refused: 0, level: Infinity };
    const fresh = (d: Demand): number => d.work * Math.exp((d.at - clock.mono()) / FADE);
    const admitted = (work: number, level: number, refused: number): number =>
      work <= 0 ? 1 : Math.min(1, Math.max(level / work, LEAST * (1 - refused)));
    const search = (refused: number): number => {
      for (const [tenant, d] of demands) if (fresh(d) < LITTLE) demands.delete(tenant);
      const all = [...demands.values()].map(fresh);
      const wanted = all.reduce((sum, work) => sum + work, 0) * (1 - refused);
      let [low, high] = [0, Math.max(0, ...all)];
      for (let i = 0; i < STEPS; i++) {
        const level = (low + high) / 2;
        const sum = all.reduce((n, work) => n + work * admitted(work, level, refused), 0);
        if (sum < wanted) low = level;
        else high = level;
      }
      return high;
    };
    const level = (refused: number): number => {
      const now = clock.mono();
      if (now - found.at >= STANDS || Math.abs(found.refused - refused) > CHANGE)
        found = { at: now, refused, level: search(refused) };
      return found.level;
    };
    return {
      /** A tenant asks for so much work. */
      note(tenant: string, work: number): void {
        const before = demands.get(tenant);
        demands.set(tenant, { work: (before ? fresh(before) : 0) + work, at: clock.mono() });
      },
      /** The part of this tenant's work that is to be refused where it is `refused` of all work. */
      refused(tenant: string, refused: number): number {
        const own = demands.get(tenant);
        if (refused <= 0 || !own || demands.size === 1) return refused;
        return 1 - admitted(fresh(own), level(refused), refused);
      },
    };
  },
};
