import { VersionOrder, type VersionStamp } from '@pumicebarrow/forms';

type Version = { name: string; mark: VersionStamp; said: number; left: Set<string>; all: number | null };

/**
 * When each shared version is in force everywhere: once every daemon holds it or a newer one.
 * Invariant: a version begins when the first daemon holds it, and ends once; one skipped for a newer is in force too.
 */
export const InForce = {
  make(now: () => number, daemons: () => readonly string[]) {
    const versions: Version[] = [];
    const ways = new Map<string, number>();
    return {
      held(who: string, name: string, mark: VersionStamp, via: string): void {
        ways.set(`${name} ${via}`, (ways.get(`${name} ${via}`) ?? 0) + 1);
        if (!versions.some((v) => v.name === name && VersionOrder.compare(v.mark, mark) === 0))
          versions.push({ name, mark, said: now(), left: new Set(daemons()), all: null });
        for (const v of versions) {
          if (v.all !== null || v.name !== name || VersionOrder.isNewer(v.mark, mark)) continue;
          v.left.delete(who);
          if (v.left.size === 0) v.all = now();
        }
      },
      /** Those said since, but no later than until: ms until each was in force; Infinity for one that never was. */
      times: (name: string, since: number, until: number): number[] =>
        versions
          .filter((v) => v.name === name && v.said >= since && v.said <= until)
          .map((v) => (v.all ?? Infinity) - v.said)
          .sort((x, y) => x - y),
      /** The part of all holds that came by one of these ways. */
      share(name: string, some: readonly string[]): number {
        const of = (list: readonly string[]): number => list.reduce((n, w) => n + (ways.get(`${name} ${w}`) ?? 0), 0);
        const all = of(['origin', 'sender', 'fallback', 'repair', 'catchup']);
        return all > 0 ? of(some) / all : 0;
      },
      reset: (): void => ways.clear(),
    };
  },
};
