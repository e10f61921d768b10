import { Err, Logs, type Clock, type World } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { ControlReplica, Router, type ModelServerClient } from '@pumicebarrow/router';
import { Design, Host, SimDisk, type Box } from '@pumicebarrow/sim';
import { Bounds } from '../bounds.js';
import { CountedWire } from './countedwire.js';
import { HollowList } from './hollowlist.js';
import type { Metered } from './metered.js';

type Routed = ReturnType<typeof Router.make>;
type Keeping = Extract<Awaited<ReturnType<typeof ControlReplica.make>>, { ok: true }>['val'];
type Asked = { routers: number; replicas: number; servers: number; slow: number };
type Told = {
  exchange: (kind: string, from: string, to: string, sent: number, back: number) => void;
  held: (who: string, name: string, mark: readonly number[], via: string) => void;
};
const PACE = 3;

/**
 * Routers and replicas without requests, many to a process: their own code, each daemon's work under its own name.
 * Invariant: what a daemon does begins in a timer of its clock, a mail that it hears, a reply, its disk or the list.
 */
export const HollowFleet = {
  async make(motor: Metered, a: Asked, told: Told) {
    const net = CountedWire.make(motor, told.exchange, a.slow);
    const later = (id: string) => (ms: number, fn: () => void) =>
      motor.at(motor.now() + ms, () => {
        motor.own(id);
        fn();
      });
    let owner = '';
    const list = HollowList.make(a.servers, (ms, fn) => later(owner)(ms, fn));
    let orders = 0;
    const engine = {
      setStage: () => {
        orders++;
        return Promise.resolve(Err('lost' as const));
      },
    } as unknown as ModelServerClient;
    const boxes = new Map<string, Box>();
    const routers = new Map<string, Routed>();
    const replicas = new Map<string, Keeping>();
    const zone = (i: number): string => `zone-${i % Design.zones}`;
    const replicaIds = Array.from({ length: a.replicas }, (_, i) => `k${i + 1}`);
    const routerIds = Array.from({ length: a.routers }, (_, i) => `r${i + 1}`);
    const address = (kind: number, i: number): string => `10.${kind}.${Math.floor(i / 250)}.${(i % 250) + 1}:7000`;
    const seeds = replicaIds.slice(0, 3).map((_, i) => address(0, i));
    const host = (id: string, addr: string, i: number, disk: boolean): { box: Box; world: World } => {
      const own = { ...motor, at: (ms: number, fn: () => void) => later(id)(ms - motor.now(), fn) };
      const kept = disk ? SimDisk.make(own, PACE).disk : null;
      const box = Host.make(motor, id, addr, zone(i), kept, (d) => {
        if (d.what === 'held') told.held(id, String(d['name']), d['mark'] as number[], String(d['via']));
      });
      net.add(box);
      boxes.set(id, box);
      const base = box.begin();
      const clock: Clock = {
        ...base,
        after: (ms, fn) =>
          base.after(ms, () => {
            motor.own(id);
            fn();
          }),
      };
      const world = { clock, random: box.chance, wire: net.wire(box), disk: kept, log: Logs.silent };
      return { box, world: { ...world, recordEvent: (d) => box.tell(d) } };
    };
    const startup = (id: string, box: Box) => ({
      ...{ id, addr: box.addr(), zone: box.site, tunes: { ...GossipDefaults, round: 200 } },
      ...{ seeds: () => seeds.filter((s) => s !== box.addr()), budget: Bounds.budget, drain: Bounds.drain },
      revocation: { within: Bounds.revoke, everywhere: false },
    });
    const source = (id: string) => ({
      poll: () => {
        owner = id;
        return list.source().poll();
      },
    });
    const core = { losses: Math.floor((a.replicas - 1) / 2), first: true, lease: Bounds.lease };
    const making = replicaIds.map(async (id, i) => {
      const { box, world } = host(id, address(0, i), i, true);
      const made = await ControlReplica.make(world, { ...startup(id, box), ...core }, source(id), engine);
      if (made.err) throw new Error(made.val);
      replicas.set(id, made.val);
      made.val.start();
    });
    await motor.run(1000);
    await Promise.all(making);
    const router = (id: string, i: number): Routed => {
      const { box, world } = host(id, address(1, i), i, false);
      const made = Router.make(world, startup(id, box), engine, source(id));
      routers.set(id, made);
      return made;
    };
    routerIds.forEach((id, i) => {
      const made = router(id, i);
      later(id)(motor.chance.real() * 1000, made.start);
    });
    return {
      ...{ motor, routers, replicas, routerIds, replicaIds, list },
      /** These end at once, as by a loss of power. */
      kill(ids: readonly string[]): void {
        for (const id of ids) {
          boxes.get(id)!.kill();
          routers.delete(id);
          replicas.delete(id);
        }
      },
      cut: net.cut,
      /** One more router, which knows nothing but the seeds. */
      join(): Routed {
        const made = router('late', a.routers);
        later('late')(0, made.start);
        return made;
      },
      orders: (): number => orders,
      head(): string {
        const views = [...replicas.values()].flatMap((k) => k.core.view() ?? []);
        return views.sort((x, y) => y.epoch - x.epoch)[0]!.chain[0]!.id;
      },
    };
  },
};
