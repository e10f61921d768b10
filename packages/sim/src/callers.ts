import { Random, type HistoryEvent, type Verdict } from '@pumicebarrow/forms';
import type { ResponseWriter, ClientRequest } from '@pumicebarrow/counter';
import type { Fleeting } from './fleeting.js';
import { Text } from './text.js';

type Out =
  | { kind: 'end' }
  | { kind: 'cut' | 'refused'; verdict: Verdict }
  | { kind: 'torn'; pieces: number }
  | { kind: 'unreached' };
const SIZES: Record<string, { prefix: number; part: number }> = {
  review: { prefix: 6000, part: 1500 },
  changelog: { prefix: 2500, part: 500 },
  verdict: { prefix: 1200, part: 120 },
};
const TRIES = 4;
/** The callers' name on the simulated network. */
const CALLERS = 'callers';
const GIVEUP = 6000;

/** Simulated callers: they try again as the brief's do, and check every piece they are given. */
export const Callers = {
  make(f: Fleeting, tell: (d: HistoryEvent) => void) {
    const { motor, d } = f;
    const lines = new Set<{ id: string; snap: () => void }>();
    let serial = 0;
    let mix = Object.entries({ review: 1, changelog: 6, verdict: 3 });
    let rate = d.rate;
    let off = false;
    let long = 1;
    const at = (): number => motor.now();
    f.torn((id) => {
      for (const l of [...lines]) if (l.id === id) l.snap();
    });
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        motor.at(at() + ms, done);
      });

    const once = (id: string, v: ClientRequest): Promise<Out> =>
      new Promise((done) => {
        const c = f.counters.get(id),
          box = f.boxes.get(id)!;
        if (!c || !box.up()) {
          motor.at(at() + 1, () => done({ kind: 'unreached' }));
          return;
        }
        const expect = Text.digest(v.prefix, v.part);
        let open = true;
        let n = 0;
        let good = true;
        const line = { id, snap: () => finish({ kind: 'torn', pieces: n }) };
        const finish = (o: Out): void => {
          if (!open) return;
          open = false;
          lines.delete(line);
          done(o);
        };
        lines.add(line);
        const waiting: (() => void)[] = [];
        /** What the daemon says comes in order, and not while callers are cut off from it. */
        const flush = (): void => {
          if (f.net.mute(id, CALLERS)) {
            motor.at(at() + 50, flush);
            return;
          }
          for (const fn of waiting.splice(0)) if (open) fn();
        };
        const late = (fn: () => void): void => {
          waiting.push(fn);
          if (waiting.length === 1) motor.at(at() + 1, flush);
        };
        const sink: ResponseWriter = {
          writePiece: (k, text) =>
            late(() => {
              n++;
              if (k !== n || text !== Text.piece(expect, k)) {
                good = false;
                tell({ what: 'wrongpiece', who: id, at: at(), key: v.key, n: k });
              }
              if (n === 1) tell({ what: 'first', who: id, at: at(), key: v.key, rule: v.rule });
            }),
          end: (count) =>
            late(() => {
              const whole =
                good &&
                count === n &&
                n === Text.count(expect, d.charter.rules.find((r) => r.name === v.rule)?.pieces ?? 1);
              tell({ what: 'whole', who: id, at: at(), key: v.key, attempt: v.attempt, good: whole, rule: v.rule });
              finish({ kind: 'end' });
            }),
          abort: (verdict) => late(() => finish({ kind: 'cut', verdict })),
          refuse: (verdict) => late(() => finish({ kind: 'refused', verdict })),
          isClientGone: () => !open,
        };
        tell({ what: 'called', who: id, at: at(), key: v.key, attempt: v.attempt, rule: v.rule });
        const life = box.life();
        motor.at(at() + 1, function hand() {
          if (box.life() !== life) return;
          if (f.net.mute(CALLERS, id)) {
            motor.at(at() + 50, hand);
            return;
          }
          if (box.frozen()) {
            motor.at(box.thaw(), hand);
            return;
          }
          if (open) void c.request(v, sink);
        });
        const wait = (): void => {
          const before = n;
          motor.at(at() + GIVEUP + (d.charter.rules.find((r) => r.name === v.rule)?.deadline ?? 0), () => {
            if (open && n === before) finish({ kind: 'torn', pieces: n });
            else if (open) wait();
          });
        };
        wait();
      });

    /** A new request's key and body. */
    const wish = (rule: string, zone: string) => {
      const size = SIZES[rule]!,
        key = `v${++serial}`;
      const group = Random.int(motor.chance, 4);
      const body = {
        rule,
        prefix: `${rule}${group} `.repeat(Math.ceil((size.prefix * long) / 8)),
        part: `${key} `.repeat(Math.ceil(size.part / 6)),
      };
      tell({ what: 'wish', who: zone, at: at(), key, rule, digest: Text.digest(body.prefix, body.part) });
      return { key, body };
    };
    /** One attempt, sent to each of several daemons at its own time; each call's outcome speaks of that call alone. */
    const twin = async (
      calls: readonly { id: string; after: number }[],
      owners: string[] | undefined,
    ): Promise<void> => {
      const { key, body } = wish('verdict', d.zones[0]!);
      await Promise.all(
        calls.map(async ({ id, after }) => {
          await nap(after);
          const out = await once(id, { key, attempt: 1, ...body, ...(owners ? { owners } : {}) });
          tell({
            what: 'twin',
            who: id,
            at: at(),
            key,
            out: out.kind,
            ran: 'verdict' in out ? out.verdict.ran : 'maybe',
          });
        }),
      );
    };
    const request = async (rule: string, zone: string): Promise<void> => {
      const { key, body } = wish(rule, zone);
      let attempt = 1;
      let dead = 0;
      while (attempt <= TRIES) {
        const near = f.edgeIds.filter((id) => f.boxes.get(id)!.site === zone && f.boxes.get(id)!.up());
        const id = Random.pick(motor.chance, near.length > 0 ? near : f.edgeIds)!;
        const out = await once(id, { key, attempt, ...body });
        if (out.kind === 'unreached') {
          if (++dead > 8) break;
          await nap(300);
          continue;
        }
        const verdict = 'verdict' in out ? out.verdict : null;
        tell({
          what: 'told',
          who: id,
          at: at(),
          key,
          attempt,
          rule,
          out: out.kind,
          ran: verdict?.ran ?? (out.kind === 'end' ? 'yes' : 'maybe'),
          code: verdict?.code ?? out.kind,
        });
        const again = (out.kind === 'refused' && out.verdict.ran === 'no') || (out.kind === 'torn' && out.pieces === 0);
        if (!again) break;
        attempt++;
        await nap((verdict?.after ?? 1) * 1000 * (0.9 + motor.chance.real() * 0.4));
      }
    };
    const flow = (): void => {
      if (off) return;
      const total = mix.reduce((a, [, w]) => a + w, 0);
      let r = motor.chance.real() * total;
      const kind = mix.find(([, w]) => (r -= w) < 0)?.[0] ?? mix[0]![0];
      void request(kind, Random.pick(motor.chance, d.zones)!);
      motor.at(at() + (-Math.log(1 - motor.chance.real()) * 1000) / rate, flow);
    };
    return {
      start: flow,
      stop(): void {
        off = true;
      },
      crowd(n: number): void {
        for (let i = 0; i < n; i++)
          void request(
            Random.pick(motor.chance, ['changelog', 'changelog', 'verdict', 'review'])!,
            Random.pick(motor.chance, d.zones)!,
          );
      },
      mix(next: Record<string, number>, times = 1): void {
        mix = Object.entries(next);
        rate = d.rate * times;
      },
      long(by: number): void {
        long = by;
      },
      request,
      twin,
    };
  },
};
