import { Design, Hollow, Tally, type Figure } from '@pumicebarrow/sim';
import { HollowFleet } from './hollowfleet.js';
import { HollowRouting } from './hollowrouting.js';
import { MeteredMotor } from './meteredmotor.js';

const SERVERS = 16;
const ROUTES = 8;
const SETTLE = 8000;
const CALM = 10_000;
const LOOK = 50;
const LONGEST = 60_000;
/** Routers of a rack, at most a quarter of the fleet. */
const RACK = 35;
const REGIONS = 11;

/** What is left of a hollow fleet where a part is lost or cut off: whether its lists stay young, bytes, versions. */
export const RoutedLosses = {
  async make(routers: number, seed: number, run: string) {
    const motor = MeteredMotor.make(seed),
      tally = Tally.make();
    const f = await HollowFleet.make(
      motor,
      { routers, replicas: 5, servers: SERVERS, slow: 0 },
      { exchange: tally.add, held: () => undefined },
    );
    let revision = 0;
    /** A change by a control replica that lives; true once it is acknowledged. */
    const change = async (by: string): Promise<boolean> => {
      const got = await f.replicas.get(by)!.replace(revision, HollowRouting.make(revision + 1, ROUTES));
      const now = await f.replicas.get(by)!.read();
      if (now.ok && now.val) revision = now.val.revision;
      return got.ran === 'yes';
    };
    motor.at(3000, () => void change('k5'));
    await motor.run(SETTLE);
    const bytes = (ids: readonly string[], ms: number): number =>
      [...tally.mean(ids).values()].reduce((sum, s) => sum + ((s.in + s.out) * 1000) / ms, 0);
    const mails = (ids: readonly string[], ms: number): number =>
      [...tally.mean(ids).values()].reduce((sum, s) => sum + (s.mails * 1000) / ms, 0);
    /** Whether all of these hold the newest configuration that was acknowledged. */
    const hold = (ids: readonly string[]): boolean =>
      ids.every((id) => (f.routers.get(id)!.routes()?.revision ?? 0) >= revision);
    const a = { run, axis: 'routers', at: routers };
    return {
      ...{ motor, tally, f, change, bytes, mails, hold },
      one: (what: string, unit: string, value: number): Figure => Hollow.figure(a, 'router', what, unit, value),
      revision: (): number => revision,
      /** Looks at the lists of some for a time: the greatest age, and the part of looks at which one was too old. */
      async lists(
        ids: readonly string[],
        until: number,
        look: () => void = () => undefined,
      ): Promise<{ oldest: number; old: number }> {
        let oldest = 0,
          old = 0,
          looks = 0;
        while (motor.now() < until) {
          await motor.run(Math.min(until, motor.now() + LOOK));
          look();
          for (const id of ids) {
            const { list } = f.routers.get(id)!;
            oldest = Math.max(oldest, list.ageMs());
            looks++;
            if (!list.isFresh()) old++;
          }
        }
        return { oldest, old: old / looks };
      },
      /** ms until all of these hold the newest configuration; NaN if they don't in time. */
      async agreed(ids: readonly string[]): Promise<number> {
        const from = motor.now();
        while (!hold(ids) && motor.now() < from + LONGEST) await motor.run(motor.now() + LOOK);
        return hold(ids) ? motor.now() - from : NaN;
      },
    };
  },
  /** A rack takes the head and one more control replica with it, a zone one control replica that isn't the head. */
  async power(n: number, seed: number, what: 'rack' | 'zone'): Promise<Figure[]> {
    const w = await RoutedLosses.make(n, seed, what);
    const { f, motor } = w,
      head = f.head();
    const others = f.replicaIds.filter((id) => id !== head);
    const many = what === 'rack' ? Math.min(RACK, Math.floor(n / 4)) : Math.max(1, Math.round(n / Design.zones));
    const lost = f.routerIds.slice(-many),
      rest = f.routerIds.slice(0, -many);
    w.tally.reset();
    const calm = await w.lists(rest, motor.now() + CALM);
    const before = { bytes: w.bytes(rest, CALM), mails: w.mails(rest, CALM) };
    f.kill([...lost, ...(what === 'rack' ? [head, others[0]!] : [others[0]!])]);
    w.tally.reset();
    const from = motor.now();
    let acked = NaN,
      held = NaN;
    const asking = (async () => {
      while (!(await w.change(others.at(-1)!)) && motor.now() < from + LONGEST);
      acked = motor.now() - from;
    })();
    const after = await w.lists(rest, from + CALM, () => {
      if (Number.isNaN(held) && !Number.isNaN(acked) && w.hold(rest)) held = motor.now() - from;
    });
    const storm = { bytes: w.bytes(rest, CALM), mails: w.mails(rest, CALM) };
    while (Number.isNaN(acked) && motor.now() < from + LONGEST) await motor.run(motor.now() + LOOK);
    await asking;
    if (Number.isNaN(held)) held = motor.now() - from + (await w.agreed(rest));
    return [
      w.one('lost', 'count', many),
      w.one('oldest list before', 'ms', calm.oldest),
      w.one('oldest list in the 10 s after', 'ms', after.oldest),
      w.one('lists too old in the 10 s after', 'share', after.old),
      w.one('bytes of the others in the 10 s after, against before', 'x', storm.bytes / before.bytes),
      w.one('mails of the others in the 10 s after, against before', 'x', storm.mails / before.mails),
      w.one('a change asked for at once is acknowledged', 'ms', acked),
      w.one('all others hold it', 'ms', held),
    ];
  },
  /** A region of routers without a replica, which still gets the platform's own list; the rest is changed meanwhile. */
  async region(n: number, seed: number, span: number): Promise<Figure[]> {
    const w = await RoutedLosses.make(n, seed, span >= 3_600_000 ? 'region, an hour' : 'region, a minute');
    const { f, motor } = w;
    const apart = f.routerIds.slice(-Math.max(1, Math.round(n / REGIONS))),
      rest = f.routerIds.slice(0, -apart.length);
    w.tally.reset();
    await motor.run(motor.now() + CALM);
    const before = w.bytes(f.routerIds, CALM);
    f.cut(apart);
    w.tally.reset();
    const from = motor.now(),
      polls = f.list.polls(),
      first = w.revision();
    for (let t = 2000; t < span - 3000; t += span / 15) motor.at(from + t, () => void w.change('k5'));
    const inside = await w.lists(apart, from + span);
    const during = { in: w.bytes(apart, span), out: w.bytes(rest, span) };
    const asked = ((f.list.polls() - polls) * 1000) / span;
    f.cut([]);
    w.tally.reset();
    const healed = motor.now();
    const agreed = await w.agreed(f.routerIds);
    await motor.run(healed + CALM);
    return [
      w.one('cut off', 'count', apart.length),
      w.one('changes meanwhile', 'count', w.revision() - first),
      w.one('oldest list of those cut off', 'ms', inside.oldest),
      w.one('lists too old of those cut off', 'share', inside.old),
      w.one('lists asked of the platform meanwhile', 'per s', asked),
      w.one('bytes of those cut off, against before', 'x', during.in / before),
      w.one('bytes of the others, against before', 'x', during.out / before),
      w.one('all hold the newest configuration after the cut', 'ms', agreed),
      w.one('bytes of those cut off in the 10 s after, against before', 'x', w.bytes(apart, CALM) / before),
    ];
  },
};
