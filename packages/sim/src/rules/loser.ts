import type { NeverRule } from '../neverrule.js';

/** Never 9: whoever is told no never comes in force, and of the plans against one version one at the most wins. */
export const Loser: NeverRule = {
  name: 'loser',
  never: 'a refused charter, or the loser of a race, comes in force',
  judge(h) {
    const force = new Set([
      ...h.of('confirmed').map((d) => d['plan']),
      ...h
        .of('held')
        .filter((d) => d['plan'] !== undefined)
        .map((d) => d['plan']),
    ]);
    const said = new Map<string, string[]>();
    for (const d of h.of('verdict'))
      said.set(String(d['plan']), [...(said.get(String(d['plan'])) ?? []), `${String(d['ran'])} ${String(d['code'])}`]);
    const final = (x: string): boolean => /^no (lost|dropped|stale|bad)$/.test(x);
    const losers = [...said].filter(([, l]) => l.some(final) || l.every((x) => x.startsWith('no')));
    const broken = losers
      .filter(([p]) => force.has(p))
      .map(([p, l]) => ({
        at: 0,
        why: `${p} was told ${l.join(', ')} and came in force`,
        deeds: h.all.filter((d) => d['plan'] === p),
      }));
    const base = new Map(
      h
        .of('planned')
        .filter((d) => d['base'] !== undefined)
        .map((d) => [d['plan'], d['base']]),
    );
    const won = new Map<unknown, string>();
    for (const d of h.of('verdict').filter((x) => x['code'] === 'confirmed' && base.has(x['plan']))) {
      const at = base.get(d['plan']),
        old = won.get(at);
      won.set(at, String(d['plan']));
      if (old === undefined || old === d['plan']) continue;
      const why = `${old} and ${String(d['plan'])} were both confirmed against version ${String(at)}`;
      broken.push({ at: d.at, why, deeds: h.all.filter((x) => x['plan'] === d['plan'] || x['plan'] === old) });
    }
    return { checked: losers.length, broken, worst: `${broken.length} broken` };
  },
};
