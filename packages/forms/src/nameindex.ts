/**
 * Maps names to dense indices where they enter the daemon, so that statistics by name are kept in plain arrays.
 * Invariants: a name keeps its index for as long as the daemon lives; indices run from 0 without gaps.
 */
export const NameIndex = {
  make() {
    const indices = new Map<string, number>();
    const names: string[] = [];
    return {
      /** The index of a name; a new name gets the next free index. */
      indexOf(name: string): number {
        const known = indices.get(name);
        if (known !== undefined) return known;
        indices.set(name, names.length);
        names.push(name);
        return names.length - 1;
      },
      nameAt: (index: number): string | undefined => names[index],
      size: (): number => names.length,
    };
  },
};
