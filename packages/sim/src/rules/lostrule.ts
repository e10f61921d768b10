import type { NeverRule } from '../neverrule.js';

/** Never 8. */
export const Lost: NeverRule = {
  name: 'lost',
  never: 'a confirmed charter is lost',
  judge(h) {
    const yes = h.of('verdict').filter((d) => d['code'] === 'confirmed');
    const final = h.of('final').at(-1);
    const won = (final?.['won'] ?? {}) as Record<string, number>;
    const broken = yes
      .filter((d) => won[String(d['plan'])] !== d['version'])
      .map((d) => ({
        at: d.at,
        why:
          `${String(d['plan'])} was confirmed as ${String(d['version'])}; at the end it is ` +
          `${String(won[String(d['plan'])] ?? 'unknown')}`,
        deeds: [d, ...(final ? [final] : [])],
      }));
    return { checked: yes.length, broken, worst: `${broken.length} broken` };
  },
};
