import type { RequestStep } from '@pumicebarrow/router';

/** The steps that one router has logged for the request. */
type DaemonSteps = { id: string; zone: string; reached: boolean; steps: readonly RequestStep[] };
const plural = (n: number, noun: string): string => `${n} ${noun}${n === 1 ? '' : 's'}`;
const RAN_TEXTS: Record<string, string> = { no: 'it has not run', maybe: 'it may have run', yes: 'it ran' };
const prefillText = (step: RequestStep): string => {
  const placementReason = step.why === 'home' ? 'the home of its prefix' : 'sooner than the home of its prefix';
  const work = `${plural(step.tokens, 'token')} to read, ${Math.round(step.ahead)} ahead of it`;
  return `sent it to ${step.at} to be read: ${placementReason}, ${work}`;
};
const runText = (step: RequestStep): string => {
  const from =
    step.word === '' ? `${plural(step.tokens, 'token')} to read there` : `the prompt handed over by ${step.word}`;
  return `sent it to ${step.at} to be run: ${from}, ${plural(Math.round(step.ahead), 'run')} beside it`;
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
  formatLines(request: { request: string; daemons: readonly DaemonSteps[] }): string[] {
    const steps = request.daemons.flatMap((d) => d.steps.map((s) => ({ d, s }))).sort((a, b) => a.s.wall - b.s.wall);
    const firstWallMs = steps[0]?.s.wall ?? 0;
    return [
      `Request ${request.request}, from ${new Date(firstWallMs).toISOString()}:`,
      ...steps.map(
        ({ d, s }) =>
          `  +${String(Math.round(s.wall - firstWallMs)).padStart(5)} ms  ${d.id.padEnd(10)} ${STEP_TEXTS[s.what](s)}.`,
      ),
      ...request.daemons.filter((d) => !d.reached).map((d) => `  ${d.id} is unreachable; it may know more.`),
    ];
  },
};
