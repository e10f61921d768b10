import type { RequestStep } from '@pumicebarrow/router';

type Row = { id: string; zone: string; reached: boolean; steps: readonly RequestStep[] };
const plural = (n: number, noun: string): string => `${n} ${noun}${n === 1 ? '' : 's'}`;
const RAN_TEXTS: Record<string, string> = { no: 'it has not run', maybe: 'it may have run', yes: 'it ran' };
const prefillText = (s: RequestStep): string => {
  const placementReason = s.why === 'home' ? 'the home of its prefix' : 'sooner than the home of its prefix';
  const work = `${plural(s.tokens, 'token')} to read, ${Math.round(s.ahead)} ahead of it`;
  return `sent it to ${s.at} to be read: ${placementReason}, ${work}`;
};
const runText = (s: RequestStep): string => {
  const from = s.word === '' ? `${plural(s.tokens, 'token')} to read there` : `the prompt handed over by ${s.word}`;
  return `sent it to ${s.at} to be run: ${from}, ${plural(Math.round(s.ahead), 'run')} beside it`;
};
const STEP_TEXTS: Record<RequestStep['what'], (s: RequestStep) => string> = {
  taken: (s) =>
    `took it by route ${s.word} for service ${s.at}, ${plural(s.tokens, 'prompt token')}` +
    (s.tenant === undefined ? '' : `, as of tenant ${s.tenant}`),
  queued: () => 'queued it because all servers were full',
  prefill: prefillText,
  handle: (s) => `had ${s.at} hold its prompt (${plural(s.tokens, 'token')}) for the hand-over`,
  unread: (s) => `got no prefill from ${s.at}: ${s.word}, ${s.why}`,
  beside: () => 'chose to prefill it on its decode server',
  run: runText,
  first: (s) => `had the first of the answer from ${s.at}`,
  failed: (s) => `saw the decode run at ${s.at} fail: ${s.word}, ${s.why}`,
  done: (s) => `ended it: ${s.word}, ${RAN_TEXTS[s.at] ?? s.at}${s.at === 'yes' ? '' : ` (${s.why})`}`,
};

/** Formats the steps of one request, as logged by the routers, as a timeline. */
export const RequestTimeline = {
  formatLines(t: { request: string; daemons: readonly Row[] }): string[] {
    const steps = t.daemons.flatMap((d) => d.steps.map((s) => ({ d, s }))).sort((a, b) => a.s.wall - b.s.wall);
    const first = steps[0]?.s.wall ?? 0;
    return [
      `Request ${t.request}, from ${new Date(first).toISOString()}:`,
      ...steps.map(
        ({ d, s }) =>
          `  +${String(Math.round(s.wall - first)).padStart(5)} ms  ${d.id.padEnd(10)} ${STEP_TEXTS[s.what](s)}.`,
      ),
      ...t.daemons.filter((d) => !d.reached).map((d) => `  ${d.id} is unreachable; it may know more.`),
    ];
  },
};
