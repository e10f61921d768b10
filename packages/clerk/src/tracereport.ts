/** One arrival of a version of the document at a daemon, by gossip or otherwise. */
type Step = {
  /** Version stamp: version or fence, and step. */
  mark: [number, number];
  /** How it arrived: a key of `VIA_TEXTS`. */
  via: string;
  from: string;
  origin: string;
  hops: number;
  age: number;
  round: number;
  /** Wall-clock time in ms since the epoch. */
  wall: number;
};
type DaemonTrace = { id: string; reached: boolean; holds: [number, number] | null; steps: Step[] };
/** Without `step`, all version stamps of the version match. */
type Trace = { name: string; version: number; step?: number; title?: string; daemons: DaemonTrace[] };

const VIA_TEXTS: Record<string, string> = {
  origin: 'made it',
  sender: 'pulled it from the sender',
  fallback: 'pulled it from another daemon because the sender could not provide it',
  repair: 'was repaired by comparing digests',
  catchup: 'caught up outside of gossip',
};

/** Formats how a version of a document reached each daemon, in order of arrival. */
export const TraceReport = {
  formatLines(trace: Trace): string[] {
    const matchesTrace = (m: [number, number]): boolean =>
      m[0] === trace.version && (trace.step === undefined || m[1] === trace.step);
    const atLeast = (m: [number, number] | null): boolean =>
      m !== null && (m[0] > trace.version || (m[0] === trace.version && m[1] >= (trace.step ?? 0)));
    const formatMark = (m: [number, number]): string => (trace.step === undefined ? `${m[0]}` : m.join('.'));
    const arrivals = trace.daemons
      .flatMap((d) => {
        const s = d.steps.filter((x) => matchesTrace(x.mark)).at(-1);
        return s ? [{ d, s }] : [];
      })
      .sort((a, b) => a.s.wall - b.s.wall);
    const firstWallMs = arrivals[0]?.s.wall ?? 0;
    const arrivalLines = arrivals.map(({ d, s }) => {
      const elapsed = `+${String(s.wall - firstWallMs).padStart(5)} ms`;
      const source = s.via === 'origin' ? '' : ` from ${s.from}, hop ${s.hops}`;
      return `  ${elapsed}  ${d.id.padEnd(6)} ${VIA_TEXTS[s.via] ?? s.via}${source}, in its round ${s.round}.`;
    });
    const holdersWithoutSteps = trace.daemons.filter(
      (d) => d.reached && !arrivals.some((m) => m.d.id === d.id) && atLeast(d.holds),
    );
    const missing = trace.daemons.filter((d) => d.reached && !atLeast(d.holds));
    const holders = trace.daemons.filter((d) => d.reached && atLeast(d.holds));
    const unreachable = trace.daemons.filter((d) => !d.reached);
    const title = trace.title ?? `${trace.name} ${trace.version}`;
    return [
      `${title}: ${holders.length} of ${trace.daemons.length} daemons hold it or a newer one.`,
      ...arrivalLines,
      ...(holdersWithoutSteps.length > 0
        ? [`  Hold it or a newer one, but no longer remember how: ${holdersWithoutSteps.map((d) => d.id).join(', ')}.`]
        : []),
      ...(missing.length > 0
        ? [`  Missing: ${missing.map((d) => `${d.id} (holds ${d.holds ? formatMark(d.holds) : 'none'})`).join(', ')}.`]
        : []),
      ...(unreachable.length > 0
        ? [`  Unreachable, and not counted: ${unreachable.map((d) => d.id).join(', ')}.`]
        : []),
    ];
  },
};
