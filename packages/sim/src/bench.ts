import {
  Err,
  Messaging,
  type FleetConfiguration,
  type HistoryEvent,
  type Ident,
  type Result,
  type World,
} from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { ControlClient, Introducer, RegistryNode } from '@pumicebarrow/registry';
import type { Box } from './box.js';
import type { Size } from './size.js';
import { Host } from './host.js';
import type { Motor } from './motor.js';
import { Net } from './net.js';
import { SimDisk } from './simdisk.js';
import { TopView } from './topview.js';

type Core = Extract<Awaited<ReturnType<typeof RegistryNode.make>>, { ok: true }>['val'];
const IDS = ['c1', 'c2', 'c3'];
const SEEDS = 3;
const THREE: Size = { losses: 1, spares: 0 };

/** A daemon that may be a seed and is no member of the core, as a router is. */
const introduce = (world: World, box: Box, seeds: readonly string[]): void => {
  const me: Ident = { id: box.id, born: 'i', addr: box.addr(), site: 's1', role: 'counter' };
  const post = Messaging.make(world, () => me);
  const control = ControlClient.make(world, post, () => seeds);
  const member = { id: me.id, born: me.born, addr: me.addr };
  Introducer.make({ clock: world.clock, post, me: () => member, view: control.view });
};

/**
 * The core alone on simulated machines, and two machines that ask things of it. The first three are everyone's seeds;
 * spares are machines that only ever join, and are started by the script.
 */
export const Bench = {
  ids: IDS,
  make(motor: Motor, pace: number, tell: (d: HistoryEvent) => void, size: Size = THREE) {
    const ids = Array.from({ length: 2 * size.losses + 1 + (size.more ?? 0) }, (_, i) => `c${i + 1}`);
    const spares = Array.from({ length: size.spares }, (_, i) => `n${i + 1}`);
    const every = [...ids, ...spares];
    const net = Net.make(motor);
    const disks = new Map(every.map((id) => [id, SimDisk.make(motor, pace)]));
    const boxes = new Map(
      every.map((id, i) => [id, Host.make(motor, id, `10.0.0.${i + 1}:7000`, 's1', disks.get(id)!.disk, tell)]),
    );
    const desks = ['o1', 'o2'].map((id, i) => Host.make(motor, id, `10.3.0.${i + 1}:7000`, 's1', null, tell));
    const cores = new Map<string, Core>();
    const introducers = Array.from({ length: size.introducers ? SEEDS : 0 }, (_, i) =>
      Host.make(motor, `i${i + 1}`, `10.4.0.${i + 1}:7000`, 's1', null, tell),
    );
    const seeds = size.introducers
      ? introducers.map((b) => b.addr())
      : ids.slice(0, SEEDS).map((_, i) => `10.0.0.${i + 1}:7000`);
    let spare = 10;
    for (const b of [...boxes.values(), ...desks, ...introducers]) net.add(b);
    for (const b of introducers) introduce(net.world(b), b, seeds);
    const start = async (id: string): Promise<void> => {
      const b = boxes.get(id)!;
      if (b.up()) return;
      const w = net.world(b),
        life = b.life();
      b.tell({ what: 'start' });
      const made = await RegistryNode.make(w, {
        id,
        addr: b.addr(),
        site: 's1',
        seeds: seeds.filter((a) => a !== b.addr()),
        tunes: GossipDefaults,
        losses: size.losses,
        first: size.first !== false && !spares.includes(id),
      }).catch((e: unknown): Result<Core, string> => Err(String(e)));
      if (b.life() !== life) return;
      if (made.err) {
        // A daemon that can't use its disk ends; who looks after the machine starts it again.
        b.kill();
        motor.at(motor.now() + 500, () => {
          void start(id);
        });
        return;
      }
      cores.set(id, made.val);
      made.val.start();
    };
    const kill = (id: string): void => {
      const b = boxes.get(id)!;
      if (!b.up()) return;
      b.kill();
      disks.get(id)!.stop();
      cores.delete(id);
      b.tell({ what: 'killed' });
    };
    /** One writes, the other only reads, and so may know an old view for long. */
    const [line, reader] = desks.map((b) => {
      const w = net.world(b);
      const me: Ident = { id: b.id, born: 'o', addr: b.addr(), site: 's1', role: 'counter' };
      return ControlClient.make(
        w,
        Messaging.make(w, () => me),
        () => seeds,
      );
    }) as [ReturnType<typeof ControlClient.make>, ReturnType<typeof ControlClient.make>];
    return {
      motor,
      net,
      disks,
      boxes,
      cores,
      line,
      reader,
      start,
      kill,
      ids,
      spares,
      /** Stops a core's daemon in good order, and then its machine. */
      async leave(id: string): Promise<void> {
        await cores.get(id)?.leave();
        kill(id);
      },
      move(id: string): void {
        boxes.get(id)!.move(`10.0.1.${spare++}:7000`);
      },
      /** Machines that are down come back, each at the address of the next, and the last at the first one's. */
      exchange(list: readonly string[]): void {
        const addrs = list.map((id) => boxes.get(id)!.addr());
        list.forEach((id, i) => boxes.get(id)!.move(addrs[(i + 1) % addrs.length]!));
      },
      /** The ids on the chain, head first, as the newest view met has it. */
      chain: (): string[] => TopView.of(cores.values())?.chain.map((m) => m.id) ?? [],
      /** All are up, in the chain and voting, with nothing of the last fault left. */
      whole(): boolean {
        const view = TopView.of(cores.values());
        if (!view || cores.size < ids.length || view.chain.length < ids.length) return false;
        const known = (list: readonly { id: string; born: string }[]): boolean =>
          list.every((m) => cores.get(m.id)?.ident.born === m.born);
        const placed = view.chain.every((m) => boxes.get(m.id)!.addr() === m.addr);
        const fresh = view.chain.every((m) => {
          const c = cores.get(m.id)!;
          return c.core.view()?.epoch === view.epoch && c.core.chain.fresh();
        });
        return known(view.chain) && known(view.voters) && placed && fresh;
      },
      charter(n: number): FleetConfiguration {
        return {
          sites: ['s1'],
          rules: [
            { name: 'verdict', weight: 1, urgency: 9, limit: n, waitlist: 1, deadline: 2000, pieces: 2, bytes: 1000 },
          ],
          servers: ['m1', 'm2'].map((id) => ({ id, site: 's1', part: 'either' as const, slots: 1 })),
          casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
        };
      },
    };
  },
};
