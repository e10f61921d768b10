import { Engine } from '../engine.js';
import { Fleet } from '../fleet.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';
import { Tally } from './tally.js';

const SETTLE = 9000;
const CUT = 60_000;
const ZONES = 40;
const REGIONS = 11;
const LOOK = 50;

/** What the loss of a zone, and of a region's links for a minute, does to the others; one core is in no lost part. */
export const Losses = {
  async run(n: number, seed: number): Promise<Figure[]> {
    const d = Hollow.deployment(n, 4),
      motor = Engine.make(seed),
      tally = Tally.make();
    const serving = new Map<string, number>();
    const f = Fleet.make(motor, d, (x) => {
      if (x.what === 'serving') serving.set(x.who, x.at);
    });
    f.net.tap(tally.add);
    const a = { run: 'losses', axis: 'daemons', at: n };
    const one = (what: string, unit: string, value: number): Figure => Hollow.figure(a, 'edge', what, unit, value);
    const bytes = (ids: readonly string[], ms: number): number =>
      [...tally.mean(ids).values()].reduce((sum, s) => sum + ((s.in + s.out) * 1000) / ms, 0);
    const until = async (ok: () => boolean): Promise<number> => {
      const from = motor.now();
      while (!ok() && motor.now() < from + 30_000) await motor.run(motor.now() + LOOK);
      return motor.now() - from;
    };
    let serial = 0;
    const change = async (): Promise<void> => {
      const { controlClient: line, sheet } = f.counters.get('e1')!,
        id = `p${++serial}`,
        rules = d.charter.rules.map((r) => ({ ...r, limit: r.limit + serial }));
      await line.write({ do: 'plan', id, base: sheet.version(), charter: { ...d.charter, rules } });
      await line.write({ do: 'confirm', id });
    };
    f.startAll();
    motor.at(3000, () => void change());
    await motor.run(SETTLE);
    const lost = f.edgeIds.slice(-Math.max(1, Math.round(n / ZONES))),
      rest = f.edgeIds.slice(0, -lost.length);
    tally.reset();
    await motor.run(motor.now() + 3000);
    const calm = bytes(rest, 3000);
    tally.reset();
    const cutAt = motor.now();
    for (const id of lost) f.kill(id);
    const off = await until(() =>
      rest.every(
        (id) =>
          !f.counters
            .get(id)!
            .roster()
            .some((r) => lost.includes(r.id)),
      ),
    );
    const storm = bytes(rest, motor.now() - cutAt);
    const back = motor.now();
    serving.clear();
    for (const id of lost) f.start(id);
    const up = await until(() => lost.every((id) => serving.has(id)));
    const rosters = await until(() =>
      rest.every((id) =>
        lost.every((x) =>
          f.counters
            .get(id)!
            .roster()
            .some((r) => r.id === x),
        ),
      ),
    );
    const apart = f.edgeIds.slice(-Math.round(n / REGIONS)),
      others = [...f.coreIds, ...f.edgeIds.slice(0, -apart.length)];
    const lift = f.net.cut(apart, others);
    const from = motor.now();
    tally.reset();
    for (let t = 2000; t < CUT; t += 4000) motor.at(from + t, () => void change());
    await motor.run(from + CUT);
    const inside = bytes(f.edgeIds.slice(0, -apart.length), CUT);
    const newest = f.counters.get('e1')!.sheet.version();
    lift();
    const healed = await until(() => apart.every((id) => f.counters.get(id)!.sheet.version() >= newest));
    return [
      one('a lost site is off every roster', 'ms', off),
      one('bytes of the others meanwhile, against before', 'x', storm / calm),
      one('the site serves again after its start', 'ms', up),
      one('and is on every roster', 'ms', motor.now() > back ? up + rosters : NaN),
      one('bytes outside a region that is cut off, against before', 'x', inside / calm),
      one('changes while it was cut off', 'count', newest - 1),
      one('its daemons hold the newest after the cut', 'ms', healed),
    ];
  },
};
