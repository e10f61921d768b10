import { Random, type HistoryEvent } from '@pumicebarrow/forms';
import { Counter, type CounterDaemon } from '@pumicebarrow/counter';
import { GossipDefaults } from '@pumicebarrow/purge';
import { RegistryNode } from '@pumicebarrow/registry';
import type { Box } from './box.js';
import type { Deployment } from './deployment.js';
import { Host } from './host.js';
import type { Motor } from './motor.js';
import { Net } from './net.js';
import { Park } from './park.js';
import type { Platter } from './platter.js';
import { SimDisk } from './simdisk.js';
import { TopView } from './topview.js';

type Core = Extract<Awaited<ReturnType<typeof RegistryNode.make>>, { ok: true }>['val'];

/** A whole fleet on simulated machines: the daemons' own code, everything round it made here. */
export const Fleet = {
  make(motor: Motor, d: Deployment, tell: (deed: HistoryEvent) => void) {
    const net = Net.make(motor);
    const park = Park.make(
      motor,
      d.charter.servers.map((s, i) => ({ id: s.id, addr: `10.2.0.${i + 1}:80`, site: s.site, slots: s.slots })),
      tell,
      net.mute,
      net.seen,
    );
    const boxes = new Map<string, Box>();
    const disks = new Map<string, Platter>();
    const counters = new Map<string, CounterDaemon>();
    const cores = new Map<string, Core>();
    const ears: ((id: string) => void)[] = [];
    let spare = 100;
    const sent = new Map<string, { n: number; by: string }>();
    const noted = (d: HistoryEvent): void => {
      if (d.what === 'order')
        sent.set(String(d['server']), { n: (sent.get(String(d['server']))?.n ?? 0) + 1, by: d.who });
      tell(d);
    };
    const coreIds = Array.from({ length: d.cores }, (_, i) => `c${i + 1}`);
    const edgeIds = Array.from({ length: d.edges }, (_, i) => `e${i + 1}`);
    coreIds.forEach((id, i) => {
      const disk = SimDisk.make(motor, d.diskPace, (how) => tell({ what: 'disk', who: id, at: motor.now(), how }));
      disks.set(id, disk);
      boxes.set(id, Host.make(motor, id, `10.0.0.${i + 1}:7000`, d.zones[i % d.zones.length]!, disk.disk, tell));
    });
    const edgeAddr = (i: number): string => `10.1.${Math.floor(i / 250)}.${(i % 250) + 1}:7000`;
    edgeIds.forEach((id, i) =>
      boxes.set(id, Host.make(motor, id, edgeAddr(i), d.zones[i % d.zones.length]!, null, noted)),
    );
    for (const b of boxes.values()) net.add(b);
    const coreAddrs = coreIds.map((_, i) => `10.0.0.${i + 1}:7000`);
    const start = (id: string, seeds?: readonly string[]): void => {
      const b = boxes.get(id)!;
      if (b.up()) return;
      const w = net.world(b);
      b.tell({ what: 'start' });
      if (coreIds.includes(id)) {
        const life = b.life();
        void RegistryNode.make(w, {
          id,
          addr: b.addr(),
          site: b.site,
          seeds: [...coreAddrs.filter((a) => a !== b.addr()), '10.1.0.1:7000', '10.1.0.2:7000'],
          tunes: GossipDefaults,
        }).then((r) => {
          if (r.err || b.life() !== life) return;
          cores.set(id, r.val);
          r.val.start();
        });
        return;
      }
      const i = edgeIds.indexOf(id),
        near = (n: number): string => edgeAddr((i + n) % d.edges);
      const c = Counter.make(
        w,
        {
          id,
          addr: b.addr(),
          site: b.site,
          seeds: seeds ?? [coreAddrs[i % d.cores]!, near(1), near(2)],
          control: true,
          tunes: GossipDefaults,
        },
        park.back(b),
        park.town(b),
      );
      counters.set(id, c);
      c.start();
    };
    const kill = (id: string): void => {
      const b = boxes.get(id)!;
      if (!b.up()) return;
      b.kill();
      disks.get(id)?.stop();
      counters.delete(id);
      cores.delete(id);
      b.tell({ what: 'killed' });
      for (const f of ears) f(id);
    };
    return {
      d,
      motor,
      net,
      park,
      boxes,
      disks,
      counters,
      cores,
      coreIds,
      edgeIds,
      start,
      kill,
      startAll(): void {
        for (const id of [...coreIds, ...edgeIds]) start(id);
      },
      /** How many orders daemons have sent to a server, and who sent the last. */
      orders: (server: string): number => sent.get(server)?.n ?? 0,
      orderer: (server: string): string | null => sent.get(server)?.by ?? null,
      /** Tells of each kill, so that callers see their connections torn. */
      torn(fn: (id: string) => void): void {
        ears.push(fn);
      },
      /** SIGTERM: the daemon leaves as it would, then stops. */
      async leave(id: string, ms: number): Promise<void> {
        const c = counters.get(id),
          life = boxes.get(id)!.life();
        if (!c) return;
        boxes.get(id)!.tell({ what: 'leaves' });
        await Promise.race([
          c.leave(ms),
          new Promise((done) => {
            motor.at(motor.now() + ms + 2000, () => done(null));
          }),
        ]);
        if (boxes.get(id)!.life() === life) kill(id);
      },
      freeze(id: string, ms: number): void {
        const b = boxes.get(id)!;
        b.freeze(ms);
        b.tell({ what: 'frozen', ms });
      },
      /** Two machines that are down come back at each other's address. */
      exchange(one: string, two: string): void {
        const [a, b] = [boxes.get(one)!, boxes.get(two)!],
          old = a.addr();
        a.move(b.addr());
        b.move(old);
        for (const x of [a, b]) x.tell({ what: 'moved' });
      },
      pause(id: string, ms: number): void {
        const b = boxes.get(id)!;
        b.pause(ms);
        b.tell({ what: 'frozen', ms });
      },
      /** A core machine that comes back with an empty disk at another address. */
      replace(id: string): void {
        kill(id);
        disks.get(id)!.wipe();
        boxes.get(id)!.move(`10.0.1.${spare++}:7000`);
        for (const what of ['wiped', 'moved']) boxes.get(id)!.tell({ what });
      },
      wipe(id: string): void {
        kill(id);
        disks.get(id)!.wipe();
        boxes.get(id)!.tell({ what: 'wiped' });
      },
      /** The ids on the chain, head first, as the newest view met has it. */
      chain: (): string[] => TopView.of(cores.values())?.chain.map((m) => m.id) ?? [],
      some: <T>(list: readonly T[], n: number): T[] => Random.sample(motor.chance, list, n),
    };
  },
};
