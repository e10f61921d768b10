import type { History } from './history.js';
import { Nevers } from './nevers.js';

type Row = {
  name: string;
  never: string;
  checked: number;
  broken: number;
  worst: string;
  seeds: number[];
  shown: string;
};

/** Gathers what the nevers say of many runs. */
export const Report = {
  make() {
    const rows = new Map<string, Row>(
      Nevers.map((n) => [
        n.name,
        { name: n.name, never: n.never, checked: 0, broken: 0, worst: '-', seeds: [], shown: '' },
      ]),
    );
    let shortest = Infinity;
    const figure = (w: string): number => {
      const n = parseFloat(w);
      return Number.isNaN(n) ? -Infinity : n;
    };
    return {
      add(seed: number, label: string, h: ReturnType<typeof History.make>): number {
        let bad = 0;
        for (const n of Nevers) {
          const got = n.judge(h),
            row = rows.get(n.name)!;
          row.checked += got.checked;
          row.broken += got.broken.length;
          const least = n.name === 'orders';
          if (
            figure(got.worst) > -Infinity &&
            (row.worst === '-' ||
              (least ? figure(got.worst) < figure(row.worst) : figure(got.worst) > figure(row.worst)))
          )
            row.worst = got.worst;
          if (got.broken.length > 0) {
            bad += got.broken.length;
            row.seeds.push(seed);
            const first = [...got.broken].sort((a, b) => a.deeds.length - b.deeds.length)[0]!;
            if (row.shown === '' || first.deeds.length < shortest) {
              shortest = first.deeds.length;
              row.shown = [
                `${label} seed ${seed}: ${first.why}`,
                ...first.deeds.slice(0, 40).map((d) => `    ${JSON.stringify(d)}`),
              ].join('\n');
            }
          }
        }
        return bad;
      },
      rows: (): Row[] => [...rows.values()],
      broken: (): boolean => [...rows.values()].some((r) => r.broken > 0),
      lines(): string[] {
        return [
          `${'never'.padEnd(9)}${'checked'.padStart(9)}${'broken'.padStart(8)}  ` +
            `${'worst seen'.padEnd(22)}what must never happen`,
          ...[...rows.values()].map(
            (r) =>
              `${r.name.padEnd(9)}${String(r.checked).padStart(9)}${String(r.broken).padStart(8)}  ` +
              `${r.worst.padEnd(22)}${r.never}`,
          ),
          ...[...rows.values()]
            .filter((r) => r.broken > 0)
            .map((r) => `\n${r.name} is broken; seeds ${[...new Set(r.seeds)].slice(0, 12).join(', ')}\n${r.shown}`),
        ];
      },
    };
  },
};
