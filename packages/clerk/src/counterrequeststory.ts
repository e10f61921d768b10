type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
type DaemonSteps = {
  id: string;
  reached: boolean;
  steps: Step[];
  entry: { attempt: number; state: string; by: string } | null;
};

const format = (v: unknown): string => (Array.isArray(v) ? v.join(' and ') : String(v));
const STEP_TEXTS: Record<string, (m: Record<string, unknown>) => string> = {
  gated: (m) => `admitted it by route ${format(m['rule'])}`,
  recorded: (m) => `recorded it at ${format(m['owners'])}`,
  send: (m) =>
    `sent it to ${format(m['server'])} to ${format(m['part'])}, under configuration ${format(m['version'] ?? 'as before')}`,
  streams: (m) => `received the first piece from ${format(m['server'])}`,
  extra: (m) => `spent a retry after ${format(m['code'])}`,
  visit: (m) => `finished it: ran ${format(m['ran'])}, ${format(m['code'])}`,
};

/** Formats the recorded steps of a request, as reported by all daemons, as a timeline. */
export const CounterRequestTimeline = {
  formatLines(request: { key: string; daemons: DaemonSteps[] }): string[] {
    const steps = request.daemons.flatMap((d) => d.steps.map((s) => ({ d, s }))).sort((a, b) => a.s.wall - b.s.wall);
    const firstWallMs = steps[0]?.s.wall ?? 0;
    return [
      `Request ${request.key}:`,
      ...steps.map(
        ({ d, s }) =>
          `  +${String(s.wall - firstWallMs).padStart(5)} ms  ${d.id.padEnd(6)} attempt ${s.attempt}: ` +
          `${STEP_TEXTS[s.what]?.(s.more) ?? s.what}.`,
      ),
      ...request.daemons
        .filter((d) => d.entry)
        .map(
          (d) =>
            `  ${d.id} has in its request records: attempt ${d.entry!.attempt} is ${d.entry!.state}, for ` +
            `${d.entry!.by.split('/')[0]}.`,
        ),
      ...request.daemons.filter((d) => !d.reached).map((d) => `  ${d.id} is unreachable.`),
    ];
  },
};
