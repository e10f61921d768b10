/**
 * Names mapped to dense indices at the door, so that what is counted by name is kept in plain arrays.
 * Invariants: one name has one index for as long as the daemon lives; indices run from 0 without a gap.
 */
export const Indices = {
  make() {
    const by = new Map<string, number>();
    const names: string[] = [];
    return {
      of(name: string): number {
        const old = by.get(name);
        if (old !== undefined) return old;
        by.set(name, names.length);
        names.push(name);
        return names.length - 1;
      },
      name: (i: number): string | undefined => names[i],
      size: (): number => names.length,
    };
  },
};
