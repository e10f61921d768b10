type Step = { what: string; wall: number; attempt: number; more: Record<string, unknown> };
/** What one daemon knows of the request; `entry` is its request record. */
type DaemonSteps = {
  id: string;
  reached: boolean;
  steps: Step[];
  entry: { attempt: number; state: string; by: string } | null;
};

/** A value as text; a list is joined. */
const text = (v: unknown): string => (Array.isArray(v) ? v.join(' and ') : String(v));
const STEP_TEXTS: Record<string, (m: Record<string, unknown>) => string> = {
  gated: (m) => `admitted it by route ${text(m['rule'])}`,
  recorded: (m) => `recorded it at ${text(m['owners'])}`,
  send: (m) =>
    `sent it to ${text(m['server'])} to ${text(m['part'])}, under configuration ${text(m['version'] ?? 'as before')}`,
  streams: (m) => `received the first piece from ${text(m['server'])}`,
  extra: (m) => `spent a retry after ${text(m['code'])}`,
  visit: (m) => `finished it: ran ${text(m['ran'])}, ${text(m['code'])}`,
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
