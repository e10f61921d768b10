import type { VersionStamp } from '@pumicebarrow/forms';
import { Design, Hollow, Tally, Timed, type Figure } from '@pumicebarrow/sim';
import { HollowFleet } from './hollowfleet.js';
import { HollowRouting } from './hollowrouting.js';
import { InForce } from './inforce.js';
import { MeteredMotor } from './meteredmotor.js';
import { UnderWay } from './underway.js';

type Asked = {
  run: string;
  axis: string;
  at: number;
  seed: number;
  routers: number;
  servers: number;
  /** Routes of the configuration. */
  routes?: number;
  /** Requests under way at each router. */
  runs?: number;
  /** Changes of the list a second. */
  listed?: number;
  /** ms that each mail takes on its way, beside the usual 0.3 to 1.8. */
  slow?: number;
  /** ms that is measured. */
  span?: number | undefined;
};
const REPLICAS = 5;
const ROUTES = 8;
const SETTLE = 8000;
const SPAN = 16_000;
const ROUND = 200;
/** ms before the end from which on no version is judged by when it is in force. */
const LATE = 6000;

/** A whole hollow routed fleet: what each role says, hears and spends a second, and how soon a change is in force. */
export const RoutedFleet = {
  async run(a: Asked): Promise<Figure[]> {
    const motor = MeteredMotor.make(a.seed),
      tally = Tally.make(),
      span = a.span ?? SPAN,
      bare = Timed.used();
    const ids: string[] = [];
    const force = InForce.make(motor.now, () => ids);
    const f = await HollowFleet.make(
      motor,
      { routers: a.routers, replicas: REPLICAS, servers: a.servers, slow: a.slow ?? 0 },
      { exchange: tally.add, held: (who, name, mark, via) => force.held(who, name, mark as VersionStamp, via) },
    );
    ids.push(...f.routerIds, ...f.replicaIds);
    let revision = 0;
    const change = (): void => {
      const replica = f.replicas.get(f.replicaIds.at(-1)!)!;
      void replica.replace(revision++, HollowRouting.make(revision, a.routes ?? ROUTES));
    };
    motor.at(3000, change);
    motor.at(4000, () => {
      for (const r of f.routers.values()) UnderWay.begin(motor, motor.chance, r, f.list.servers, a.runs ?? 0);
    });
    await motor.run(SETTLE);
    tally.reset();
    motor.reset();
    force.reset();
    const polls = f.list.polls(),
      end = SETTLE + span;
    const gap = 1000 / Design.changes,
      turn = a.listed ? 1000 / a.listed : Infinity;
    for (let t = SETTLE + gap / 4; t < end; t += gap) motor.at(t, change);
    for (let t = SETTLE + turn / 4; t < end; t += turn) motor.at(t, f.list.change);
    const cpu = process.cpuUsage();
    await motor.run(end);
    const { user } = process.cpuUsage(cpu);
    const out: Figure[] = [];
    const one = (role: string, what: string, unit: string, value: number): void =>
      void out.push(Hollow.figure(a, role, what, unit, value));
    const all = [...motor.spent().values()].reduce((x, y) => x + y, 0);
    const head = f.head();
    const spentBy = (some: readonly string[]): number => some.reduce((x, id) => x + (motor.spent().get(id) ?? 0), 0);
    for (const [role, some] of [
      ['router', f.routerIds],
      ['head', [head]],
      ['keeper', f.replicaIds.filter((id) => id !== head)],
    ] as const) {
      const sum = { mails: 0, bytes: 0 };
      for (const [what, s] of [...tally.mean(some)].sort()) {
        const mails = (s.mails / span) * 1000,
          bytes = ((s.in + s.out) / span) * 1000;
        sum.mails += mails;
        sum.bytes += bytes;
        one(role, what, 'frames/s', mails);
        one(role, what, 'B/s', bytes);
      }
      one(role, 'all', 'frames/s', sum.mails);
      one(role, 'all', 'B/s', sum.bytes);
      const ms = spentBy(some);
      one(role, 'processor', 'core%', ((ms / all) * user) / 10 / span / some.length);
    }
    one('head', 'lists asked for', 'per s', ((f.list.polls() - polls) / span) * 1000);
    one('server', 'orders', 'count', f.orders());
    for (const [name, what] of [
      ['charter', 'a configuration in force'],
      ['list', 'a list in force'],
    ] as const) {
      const ms = force.times(name, SETTLE, end - LATE);
      if (ms.length === 0) continue;
      one('router', `${what}, median`, 'rounds', ms[Math.floor(ms.length / 2)]! / ROUND);
      one('router', `${what}, worst`, 'rounds', ms.at(-1)! / ROUND);
      one('router', `${what}, worst`, 'ms', ms.at(-1)!);
      one('router', `${what}, by a fetch past gossip`, 'share', force.share(name, ['catchup']));
    }
    const shelf = f.routers.get('r1')!.recordStore;
    one('router', 'the configuration', 'B', JSON.stringify(shelf.get('charter')).length);
    one('router', 'the list', 'B', JSON.stringify(shelf.get('list')).length);
    one('router', 'heap of the process by routers', 'heap', (Timed.used() - bare) / f.routerIds.length);
    return out;
  },
};
