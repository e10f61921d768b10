type Step = {
  mark: [number, number];
  via: string;
  from: string;
  origin: string;
  hops: number;
  age: number;
  round: number;
  wall: number;
};
type Row = { id: string; reached: boolean; holds: [number, number] | null; steps: Step[] };
type Told = { name: string; version: number; daemons: Row[] };

const VIA: Record<string, string> = {
  origin: 'made it',
  sender: 'pulled it from the sender',
  fallback: 'pulled it elsewhere, the sender being gone',
  repair: 'was mended by comparing digests',
  catchup: 'caught up outside a gossip',
};

/** A trace told so that a newcomer can follow it. */
export const Story = {
  lines(t: Told): string[] {
    const met = t.daemons
      .flatMap((d) => {
        const s = d.steps.filter((x) => x.mark[0] === t.version).at(-1);
        return s ? [{ d, s }] : [];
      })
      .sort((a, b) => a.s.wall - b.s.wall);
    const first = met[0]?.s.wall ?? 0;
    const rows = met.map(({ d, s }) => {
      const after = `+${String(s.wall - first).padStart(5)} ms`;
      const who = s.via === 'origin' ? '' : ` from ${s.from}, hop ${s.hops}`;
      return `  ${after}  ${d.id.padEnd(6)} ${VIA[s.via] ?? s.via}${who}, in its round ${s.round}.`;
    });
    const newer = t.daemons.filter(
      (d) => d.reached && !met.some((m) => m.d.id === d.id) && (d.holds?.[0] ?? 0) >= t.version,
    );
    const missing = t.daemons.filter((d) => d.reached && (d.holds?.[0] ?? 0) < t.version);
    const holders = t.daemons.filter((d) => d.reached && (d.holds?.[0] ?? 0) >= t.version);
    const away = t.daemons.filter((d) => !d.reached);
    return [
      `${t.name} ${t.version}: ${holders.length} of ${t.daemons.length} daemons hold it or a newer one.`,
      ...rows,
      ...(newer.length > 0
        ? [`  Hold it or a newer one, but no longer remember how: ${newer.map((d) => d.id).join(', ')}.`]
        : []),
      ...(missing.length > 0
        ? [`  Missing: ${missing.map((d) => `${d.id} (holds ${d.holds?.[0] ?? 'none'})`).join(', ')}.`]
        : []),
      ...(away.length > 0 ? [`  Unreachable, and not counted: ${away.map((d) => d.id).join(', ')}.`] : []),
    ];
  },
};
