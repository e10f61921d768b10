import { GossipDefaults } from '@pumicebarrow/purge';
import type { Deployment } from '../deployment.js';
import { Deployments } from '../deployments.js';
import { Engine } from '../engine.js';
import { Fleet } from '../fleet.js';
import { Spread } from '../spread.js';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Tally } from './tally.js';

type Asked = { run: string; axis: string; at: number; edges: number; servers: number; seed: number; span?: number };
const SETTLE = 9000;
const SPAN = 12_000;

/** Hollow daemons: the daemons' own code, many to a process, in virtual time and over a counted wire. */
export const Hollow = {
  deployment(edges: number, servers: number): Deployment {
    const c = Deployments.coop.charter;
    const list = Array.from({ length: servers }, (_, i) => ({
      id: `m${i + 1}`,
      site: c.sites[i % c.sites.length]!,
      part: 'either' as const,
      slots: 8,
    }));
    const casting = { ...c.casting, prefill: Math.max(1, Math.round(servers * 0.34)), swing: false };
    return { ...Deployments.coop, edges, servers, charter: { ...c, servers: list, casting } };
  },
  /** A whole fleet without requests, whose charter is changed as often as at the design size. */
  async fleet(a: Asked): Promise<Figure[]> {
    const d = Hollow.deployment(a.edges, a.servers),
      span = a.span ?? SPAN;
    const motor = Engine.make(a.seed),
      tally = Tally.make();
    const holds = new Map<number, number>();
    const slowest: number[] = [];
    const f = Fleet.make(motor, d, (x) => {
      if (x.what === 'confirmed') holds.set(Number(x['version']), holds.get(Number(x['version'])) ?? motor.now());
      if (x.what !== 'held' || x['name'] !== 'charter') return;
      const v = (x['mark'] as [number, number])[0],
        since = holds.get(v);
      if (since !== undefined) slowest[v] = Math.max(slowest[v] ?? 0, motor.now() - since);
    });
    f.net.tap(tally.add);
    f.startAll();
    let serial = 0;
    const change = async (): Promise<void> => {
      const { controlClient: line, sheet } = f.counters.get('e1')!,
        id = `p${++serial}`,
        rules = d.charter.rules.map((r) => ({ ...r, limit: r.limit + serial }));
      const charter = { ...d.charter, rules };
      await line.write({ do: 'plan', id, base: sheet.version(), charter });
      await line.write({ do: 'confirm', id });
    };
    motor.at(3000, () => void change());
    const gap = 1000 / Design.changes;
    for (let t = SETTLE + gap / 2; t < SETTLE + span; t += gap) motor.at(t, () => void change());
    await motor.run(SETTLE);
    tally.reset();
    await motor.run(SETTLE + span);
    const head = f.chain()[0]!,
      tail = f.chain().at(-1)!;
    const out: Figure[] = [];
    for (const [role, ids] of [
      ['edge', f.edgeIds],
      ['head', [head]],
      ['tail', [tail]],
      ['platform', ['town']],
      ['server', d.charter.servers.map((s) => s.id)],
    ] as const) {
      const sum = { mails: 0, bytes: 0 };
      for (const [what, s] of [...tally.mean(ids)].sort()) {
        const mails = (s.mails / span) * 1000,
          bytes = ((s.in + s.out) / span) * 1000;
        sum.mails += mails;
        sum.bytes += bytes;
        out.push(Hollow.figure(a, role, what, 'frames/s', mails), Hollow.figure(a, role, what, 'B/s', bytes));
      }
      out.push(Hollow.figure(a, role, 'all', 'frames/s', sum.mails), Hollow.figure(a, role, 'all', 'B/s', sum.bytes));
    }
    out.push(Hollow.figure(a, 'edge', 'charter', 'B', JSON.stringify(d.charter).length));
    out.push(Hollow.figure(a, 'edge', 'slowest hold', 'ms', Math.max(0, ...slowest.filter((x) => x > 0))));
    return out;
  },
  figure: (a: Pick<Asked, 'run' | 'axis' | 'at'>, role: string, what: string, unit: string, value: number): Figure => ({
    run: a.run,
    axis: a.axis,
    at: a.at,
    role,
    what,
    unit,
    value: Math.round(value * 100) / 100,
  }),
  /** Purge alone over n daemons: rounds until all hold a notice, and what a daemon says and hears for it. */
  async purge(
    run: string,
    nodes: number,
    docs: number,
    gap: number,
    burst: number,
    seed: number,
    slow = 0,
  ): Promise<Figure[]> {
    const tally = Tally.make(),
      a = { run, axis: 'daemons', at: nodes };
    const span = (20 + docs * gap + 60) * GossipDefaults.round;
    const r = await Spread.run({
      seed,
      nodes,
      docs,
      gap,
      burst,
      tunes: GossipDefaults,
      tap: (net) => {
        net.tap(tally.add);
        net.slow(slow);
      },
    });
    const sorted = [...r.rounds].sort((x, y) => x - y);
    const all = [...tally.mean(Array.from({ length: nodes }, (_, i) => `n${i}`))];
    return [
      Hollow.figure(a, 'edge', 'rounds, median', 'rounds', sorted[Math.floor(sorted.length / 2)] ?? NaN),
      Hollow.figure(a, 'edge', 'rounds, worst', 'rounds', sorted.at(-1) ?? NaN),
      Hollow.figure(a, 'edge', 'reached all', 'share', r.rounds.length / docs),
      ...all
        .sort()
        .flatMap(([what, s]) => [
          Hollow.figure(a, 'edge', what, 'frames/s', (s.mails / span) * 1000),
          Hollow.figure(a, 'edge', what, 'B/s', ((s.in + s.out) / span) * 1000),
        ]),
    ];
  },
};
