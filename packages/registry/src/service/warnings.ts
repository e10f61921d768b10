import { Intents, type Charter, type Intent } from '@pumicebarrow/forms';

type InUse = { server: string; part: string; stage: string };
const HALF = 0.5;
const slots = (c: Charter): number => c.servers.reduce((n, s) => n + s.slots, 0);
const share = (was: number, will: number): string => `${Math.round((100 * (was - will)) / was)}%`;

const capacity = (was: Charter, will: Charter): string[] => {
  const out: string[] = [];
  const [a, b] = [slots(was), slots(will)];
  if (b < a * HALF) out.push(`it takes away ${share(a, b)} of the fleet's slots (${a} to ${b})`);
  for (const r of was.rules) {
    const next = will.rules.find((x) => x.name === r.name);
    if (!next) out.push(`requests of the rule ${r.name} will be bounced: it goes`);
    else if (next.limit < r.limit * HALF)
      out.push(`the rule ${r.name} lets in ${share(r.limit, next.limit)} fewer requests at once`);
  }
  return out;
};
const servers = (was: Charter, will: Charter, rows: readonly InUse[]): string[] => {
  const gone = was.servers.filter((s) => !will.servers.some((x) => x.id === s.id));
  const fresh = will.servers.filter((s) => !was.servers.some((x) => x.id === s.id));
  const used = gone.filter((s) => rows.some((r) => r.server === s.id && r.stage === 'serving'));
  const out = used.map((s) => `server ${s.id} is in use, and no request will go to it any more`);
  for (const s of used) {
    const twin = fresh.find((x) => x.site === s.site && x.part === s.part && x.slots === s.slots);
    if (twin) out.push(`${s.id} seems to be renamed to ${twin.id}: the platform must list it under that name`);
  }
  return out;
};
const parts = (will: Charter, rows: readonly InUse[]): string[] =>
  will.servers.flatMap((s) => {
    const row = rows.find((r) => r.server === s.id && r.stage === 'serving');
    return row && s.part !== 'either' && s.part !== row.part
      ? [`server ${s.id} is to ${row.part} now, and will be emptied to ${s.part}`]
      : [];
  });

/** Whether capacity is lent that was not lent before, or is kept no more; and whose bursts will come to rest. */
const lending = (was: Charter, will: Charter): string[] => {
  const out: string[] = [],
    [a, b] = [was.lending, will.lending];
  for (const p of ['prefill', 'decode'] as const) {
    if (b && b.most[p] > (a?.most[p] ?? 0))
      out.push(`up to ${Math.round(b.most[p] * 100)}% of the slots that ${p} may be lent to bursts`);
    if (a && b && b.keep[p] < a.keep[p])
      out.push(`only ${b.keep[p]} slots that ${p} are kept for live work (${a.keep[p]} before)`);
  }
  for (const r of a?.rules ?? [])
    if (!b?.rules.includes(r)) out.push(`bursts of the rule ${r} borrow no more, and come to rest`);
  return out;
};

/** What of a plan an operator should look at twice, in plain words. It is said, never held against the plan. */
export const Warnings = {
  of(before: Intent | null, after: Intent, rows: readonly InUse[]): string[] {
    const was = Intents.charter(before),
      will = Intents.charter(after);
    return !was || !will
      ? []
      : [...capacity(was, will), ...servers(was, will, rows), ...parts(will, rows), ...lending(was, will)];
  },
};
