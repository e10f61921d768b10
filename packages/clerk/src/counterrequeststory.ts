type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
type Row = {
  id: string;
  reached: boolean;
  steps: Step[];
  entry: { attempt: number; state: string; by: string } | null;
};

const formatValue = (v: unknown): string => (Array.isArray(v) ? v.join(' and ') : String(v));
const STEP_TEXTS: Record<string, (m: Record<string, unknown>) => string> = {
  gated: (m) => `admitted it by route ${formatValue(m['rule'])}`,
  recorded: (m) => `recorded it at ${formatValue(m['owners'])}`,
  send: (m) =>
    `sent it to ${formatValue(m['server'])} to ${formatValue(m['part'])}, under configuration version ${formatValue(m['version'] ?? 'as before')}`,
  streams: (m) => `received the first piece from ${formatValue(m['server'])}`,
  extra: (m) => `spent a retry after ${formatValue(m['code'])}`,
  visit: (m) => `finished it: ran ${formatValue(m['ran'])}, ${formatValue(m['code'])}`,
};

/** Formats the recorded steps of a request, as reported by all daemons, as a timeline. */
export const CounterRequestTimeline = {
  formatLines(t: { key: string; daemons: Row[] }): string[] {
    const steps = t.daemons.flatMap((d) => d.steps.map((s) => ({ d, s }))).sort((a, b) => a.s.wall - b.s.wall);
    const first = steps[0]?.s.wall ?? 0;
    return [
      `Request ${t.key}:`,
      ...steps.map(
        ({ d, s }) =>
          `  +${String(s.wall - first).padStart(5)} ms  ${d.id.padEnd(6)} attempt ${s.attempt}: ` +
          `${STEP_TEXTS[s.what]?.(s.more) ?? s.what}.`,
      ),
      ...t.daemons
        .filter((d) => d.entry)
        .map(
          (d) =>
            `  ${d.id} has in its request records: attempt ${d.entry!.attempt} is ${d.entry!.state}, for ` +
            `${d.entry!.by.split('/')[0]}.`,
        ),
      ...t.daemons.filter((d) => !d.reached).map((d) => `  ${d.id} is unreachable.`),
    ];
  },
};
