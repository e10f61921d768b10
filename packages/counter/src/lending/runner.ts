import { Timer, type Charter, type Rule, type Verdict, type World } from '@pumicebarrow/forms';
import { Shards, type Burst, type ControlClient, type Generation } from '@pumicebarrow/registry';
import type { CallerSink } from '../callersink.js';
import type { Duties } from '../duties.js';
import type { Request } from '../request.js';
import { Takes } from '../takes.js';

type Tools = {
  world: World;
  line: ControlClient;
  duty: Duties;
  charter: () => Charter | null;
  /** How many more may be begun, for a rule. */
  room: (rule: Rule) => number;
  run: (request: Request, sink: CallerSink) => Promise<Verdict>;
};
type Place = { burst: Burst; index: number; generation: Generation };
type Step = { mark: number; turn: number; fence: number };

const WRITE = 1500;
const AGAIN = 500;
const PAUSE = 300;

/**
 * Runs the bursts whose shards this daemon holds, in the order of their beginning and, within one, of their numbers.
 * Invariants: a request is sent only once the core holds its mark, made under a fence that is live here; what is in
 * hand is not taken up again by this daemon; each ends in one word to the core, said until it is taken.
 */
export const Runner = {
  make(t: Tools) {
    let bursts: readonly Burst[] = [];
    /** Places whose state was read since this daemon last had them in hand. */
    let known = new Set<string>();
    const hand = new Set<string>();
    /** Places that were given back here and not begun again since: nothing that comes later is begun before them. */
    const back = new Set<string>();
    /** Marks that may have been written and for which nothing was sent, since the core did not say. */
    const unsaid = new Map<string, Step>();
    let pause = 0;
    let reading = false;
    let off = false;
    const now = (): number => t.world.clock.mono();
    const ruleOf = (b: Burst): Rule | null => {
      const c = t.charter();
      return c?.lending?.rules.includes(b.spec.rule) ? (c.rules.find((r) => r.name === b.spec.rule) ?? null) : null;
    };
    const places = (): Place[] =>
      bursts.flatMap((burst) =>
        burst.generations.flatMap((generation, index): Place[] =>
          (generation.state === 'waiting' && !burst.ended) || generation.state === 'begun'
            ? [{ burst, index, generation }]
            : [],
        ),
      );
    const id = (p: Place): string => `${p.burst.spec.key}.${p.index}`;
    /** Says what became of a mark until the core has taken it, or knows better. */
    const settle = async (p: Place, step: Step, out: ReturnType<typeof Takes.outcome>): Promise<void> => {
      const base = { do: 'settle' as const, id: p.burst.spec.key, index: p.index, mark: step.mark, turn: step.turn };
      for (;;) {
        const { verdict } = (await t.line.write({ ...base, ...out }, WRITE)).ruling;
        if (verdict.ran === 'yes' || (verdict.ran === 'no' && verdict.code !== 'unready' && verdict.code !== 'full'))
          return;
        await Timer.nap(t.world.clock, AGAIN);
      }
    };
    const send = async (p: Place, rule: Rule, step: Step): Promise<void> => {
      const { spec } = p.burst,
        prompt = spec.prompts[Math.floor(p.index / spec.samples)]!;
      const take = Takes.make();
      const request: Request = { key: `${id(p)}.${step.mark}`, attempt: step.turn, rule: rule.name, ...prompt };
      const out = Takes.outcome(await t.run(request, take.sink), take);
      if (out.to === 'unrun') {
        pause = now() + PAUSE;
        back.add(id(p));
      }
      t.world.tell({ what: 'generation', burst: spec.key, index: p.index, mark: step.mark, to: out.to });
      await settle(p, step, out);
    };
    const start = async (p: Place, rule: Rule): Promise<void> => {
      const fence = t.duty.fence(Shards.of(p.burst.spec.key)),
        g = p.generation;
      if (fence === null) return;
      const waits = g.state === 'waiting';
      const step = { mark: waits ? g.mark + 1 : g.mark, turn: waits ? 1 : g.turn + 1, fence };
      const left = unsaid.get(id(p));
      unsaid.delete(id(p));
      if (!waits && left && left.mark === g.mark && left.turn === g.turn && left.fence === g.fence)
        return send(p, rule, left);
      const { ruling } = await t.line.write({ do: 'mark', id: p.burst.spec.key, index: p.index, ...step }, WRITE);
      if (ruling.verdict.ran === 'maybe') unsaid.set(id(p), step);
      if (ruling.verdict.ran !== 'yes') {
        pause = now() + PAUSE;
        if (waits && g.mark > 0) back.add(id(p));
        return;
      }
      await send(p, rule, step);
    };
    const fill = (): void => {
      if (off || now() < pause) return;
      for (const p of places()) {
        const rule = ruleOf(p.burst),
          name = id(p);
        if (!rule) continue;
        if (hand.has(name) || !known.has(name)) {
          if (back.has(name)) return;
          continue;
        }
        if (hand.size * rule.weight + rule.weight > t.room(rule)) return;
        hand.add(name);
        back.delete(name);
        t.world.tell({ what: 'taken', burst: p.burst.spec.key, index: p.index, mark: p.generation.mark });
        void start(p, rule).finally(() => {
          hand.delete(name);
          known.delete(name);
          void read();
        });
      }
    };
    const read = async (): Promise<void> => {
      if (reading) return;
      reading = true;
      const mine = (key: string): boolean => t.duty.fence(Shards.of(key)) !== null;
      const all = await t.line.bursts({}, 0);
      if (!all) {
        reading = false;
        return;
      }
      const held = all.list
        .filter((b) => !b.gone && b.waiting + b.begun > 0 && mine(b.key))
        .sort((a, b) => a.order - b.order);
      const next: Burst[] = [];
      const early = new Set(hand),
        unread = new Set<string>();
      for (const b of held) {
        const got = await t.line.bursts({ key: b.key }, 0);
        const burst = got ? got.burst : bursts.find((x) => x.spec.key === b.key);
        if (burst) next.push(burst);
        if (!got) unread.add(b.key);
      }
      bursts = next;
      const open = places();
      const sure = open.filter((p) => !early.has(id(p)) && (!unread.has(p.burst.spec.key) || known.has(id(p))));
      known = new Set(sure.map(id));
      for (const name of back)
        if (!open.some((p) => id(p) === name) && !hand.has(name) && back.delete(name))
          t.world.tell({ what: 'passedon', name });
      reading = false;
      fill();
    };
    return {
      names: (): readonly string[] => (t.charter()?.lending ? Shards.names : []),
      /** The first burst that has something to begin, or something in hand; null when nothing needs a loan. */
      need(): { burst: string; order: number } | null {
        const first = off ? undefined : places().find((p) => ruleOf(p.burst) !== null);
        return first ? { burst: first.burst.spec.key, order: first.burst.order } : null;
      },
      hand: (): number => hand.size,
      fill,
      read,
      stop(): void {
        off = true;
      },
    };
  },
};
