import { Hash, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Burst } from './burst.js';
import type { BurstCommand } from './burstcommand.js';
import type { BurstSpec } from './burstspec.js';
import type { Generation } from './generation.js';
import { Shards } from './shards.js';

type Command = Static<typeof BurstCommand>;
type Of<D extends Command['do']> = Extract<Command, { do: D }>;
type Leases = Readonly<Record<string, { fence: number }>>;
type Done = { bursts: readonly Burst[]; verdict: Verdict };

const MOST = { each: 256, all: 1024, body: 32_768, open: 16, gone: 64 };
const FINAL: readonly Generation['state'][] = ['ran', 'unsure', 'dropped'];
const over = (b: Burst): boolean => b.generations.every((g) => FINAL.includes(g.state));

/** What each command does to the bursts that the core keeps. Pure, as all of the core's rulings. */
export const Bursts = {
  over: over,
  apply(bursts: readonly Burst[], leases: Leases, c: Command): Done {
    const no = (code: string, why: string): Done => ({ bursts, verdict: Verdicts.not(code, why) });
    const yes = (code: string, why: string): Done => ({ bursts, verdict: Verdicts.ran(code, why) });
    const id = c.do === 'begin' ? c.spec.key : c.id;
    const held = bursts.find((b) => b.spec.key === id);
    const put = (next: Burst, code: string, why: string): Done => ({
      bursts: bursts.map((b) => (b === held ? next : b)),
      verdict: Verdicts.ran(code, why),
    });

    const begin = (spec: BurstSpec): Done => {
      const digest = Hash.of([spec.rule, spec.prompts.map((p) => [p.prefix, p.part]), spec.samples, spec.repeats]),
        size = spec.prompts.length * spec.samples;
      if (held)
        return held.digest === digest
          ? yes('begun', `Burst ${id} is begun.`)
          : no('otherbody', `The key ${id} was used for another burst.`);
      const body = spec.prompts.reduce((n, p) => n + Buffer.byteLength(p.prefix) + Buffer.byteLength(p.part), 0);
      if (size > MOST.each || body > MOST.body)
        return no('toolarge', `A burst has ${MOST.each} generations and ${MOST.body} bytes of prompts at the most.`);
      const kept = bursts.filter((b) => !b.gone);
      if (kept.length >= MOST.open || kept.reduce((n, b) => n + b.generations.length, 0) + size > MOST.all)
        return no('full', 'Too many bursts are kept; end those whose outcomes were read.');
      const one: Generation = { state: 'waiting', mark: 0, turn: 0, repeated: 0 };
      const order = 1 + bursts.reduce((n, b) => Math.max(n, b.order), 0);
      const fresh: Burst = {
        ...{ spec, digest, order, ended: false, gone: false },
        generations: Array.from({ length: size }, () => one),
      };
      return { bursts: [...bursts, fresh], verdict: Verdicts.ran('begun', `Burst ${id} is begun.`) };
    };
    /** What waits is dropped; once nothing runs, a second end forgets the outcomes too. */
    const end = (b: Burst): Done => {
      if (b.gone) return yes('gone', `Burst ${id} is ended, and its outcomes are gone.`);
      if (!over(b)) {
        if (b.ended) return yes('ending', `Burst ${id} is ended; what was begun runs on.`);
        const generations = b.generations.map((g) => (g.state === 'waiting' ? { ...g, state: 'dropped' as const } : g));
        return put({ ...b, ended: true, generations }, 'ending', `Burst ${id} is ended; what was begun runs on.`);
      }
      const gone = {
        ...b,
        spec: { ...b.spec, prompts: [{ prefix: '', part: '' }] },
        ended: true,
        gone: true,
        generations: [],
      };
      const rest = bursts.map((x) => (x === b ? gone : x));
      const old = rest.filter((x) => x.gone).slice(0, -MOST.gone);
      return {
        bursts: rest.filter((x) => !old.includes(x)),
        verdict: Verdicts.ran('gone', `Burst ${id} is ended, and its outcomes are gone.`),
      };
    };
    const swap = (b: Burst, index: number, g: Generation, code: string): Done =>
      put({ ...b, generations: b.generations.map((x, i) => (i === index ? g : x)) }, code, `${id} ${index}: ${code}.`);
    const mark = (b: Burst, g: Generation, m: Of<'mark'>): Done => {
      if (leases[Shards.of(id)]?.fence !== m.fence) return no('fenced', 'Another daemon runs this burst.');
      const same = g.state === 'begun' && g.mark === m.mark;
      if (same && g.turn === m.turn && g.fence === m.fence) return yes('marked', `${id} ${m.index} is marked.`);
      const first = g.state === 'waiting' && m.mark === g.mark + 1 && m.turn === 1;
      if (!(first || (same && m.turn === g.turn + 1))) return no('stale', `${id} ${m.index} is not as you know it.`);
      return swap(b, m.index, { ...g, state: 'begun', mark: m.mark, turn: m.turn, fence: m.fence }, 'marked');
    };
    const settle = (b: Burst, g: Generation, s: Of<'settle'>): Done => {
      const done = g.mark === s.mark && ((s.to === 'unrun' && g.state === 'waiting') || g.state === s.to);
      if (done) return yes('settled', `${id} ${s.index} is settled.`);
      const mine = g.state === 'begun' && g.mark === s.mark && s.turn <= g.turn;
      if (!mine || (s.to !== 'ran' && s.turn !== g.turn)) return no('stale', `${id} ${s.index} is not as you know it.`);
      const { fence: _fence, ...rest } = g;
      const idle = { ...rest, state: b.ended ? ('dropped' as const) : ('waiting' as const) };
      if (s.to === 'unrun') return swap(b, s.index, idle, 'settled');
      if (s.to === 'unsure' && g.repeated < b.spec.repeats && !b.ended)
        return swap(b, s.index, { ...idle, repeated: g.repeated + 1 }, 'settled');
      const told = (({ text, count, digest, why }) => ({ text, count, digest, why }))(s);
      const kept = Object.fromEntries(Object.entries(told).filter(([, v]) => v !== undefined));
      return swap(b, s.index, { ...rest, ...kept, state: s.to }, 'settled');
    };

    if (c.do === 'begin') return begin(c.spec);
    if (!held) return no('unknown', `There is no burst ${id}.`);
    if (c.do === 'end') return end(held);
    const g = held.generations[c.index];
    if (!g) return no('unknown', `Burst ${id} has no generation ${c.index}.`);
    return c.do === 'mark' ? mark(held, g, c) : settle(held, g, c);
  },
};
