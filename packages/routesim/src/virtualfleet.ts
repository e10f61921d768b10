import { Err, Ok, Verdicts, type Result, type Routing, type Verdict } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { ControlReplica, Router } from '@pumicebarrow/router';
import { Host, Net, SimDisk, type Box, type Motor, type Platter } from '@pumicebarrow/sim';
import type { Bent } from './bent.js';
import { Bounds } from './bounds.js';
import { ModelEngine } from './modelengine.js';
import { ModelPlatform } from './modelplatform.js';
import type { Seen } from './seen.js';
import type { Size } from './size.js';

type Routed = ReturnType<typeof Router.make>;
type Keeping = Extract<Awaited<ReturnType<typeof ControlReplica.make>>, { ok: true }>['val'];
type Port = ReturnType<typeof ModelEngine.make>;
const ACCEPT_WHILE_LEAVING_MS = 2600;
const GRACE_MARGIN_MS = 700;
const POLL_INTERVAL_MS = 50;
const RESTART_DELAY_MS = 500;
const ZONES = ['z1', 'z2'];

/** Routers and control replicas on simulated machines: the daemons' own code, and round it what the programs do. */
export const VirtualFleet = {
  make(motor: Motor, size: Size, bent: Bent, tell: (x: Seen) => void) {
    const net = Net.make(motor);
    const platform = ModelPlatform.make(motor, bent, tell, net.mute);
    const boxes = new Map<string, Box>();
    const disks = new Map<string, Platter>();
    const routers = new Map<string, Routed>();
    const replicas = new Map<string, Keeping>();
    const ports = new Map<string, Port>();
    const open = new Map<string, number>();
    const ears: ((id: string, dark: boolean) => void)[] = [];
    const barred = new Set<string>();
    let founded = false;
    let spare = 50;
    let seeds: readonly string[] = [];
    const replicaIds = Array.from({ length: size.replicas }, (_, i) => `k${i + 1}`);
    const routerIds = Array.from({ length: size.routers }, (_, i) => `r${i + 1}`);
    const add = (id: string, addr: string, zone: string, disk: Platter | null): void => {
      const b = Host.make(motor, id, addr, zone, disk?.disk ?? null, () => undefined);
      boxes.set(id, b);
      if (disk) disks.set(id, disk);
      net.add(b);
    };
    const zone = (i: number): string => ZONES[i % ZONES.length]!;
    const addReplica = (id: string, addr: string, inZone: string): void =>
      add(id, addr, inZone, SimDisk.make(motor, 3));
    replicaIds.forEach((id, i) => addReplica(id, `10.0.0.${i + 1}:7000`, size.zones?.[i] ?? zone(i)));
    routerIds.forEach((id, i) => add(id, `10.1.0.${i + 1}:7000`, zone(i), null));
    /** The router on the machine of each control replica, where they share one. */
    const mates = new Map<string, string>(size.shared ? replicaIds.map((id, i) => [id, routerIds[i]!]) : []);
    /** These daemons, and those that go down with them. */
    const together = (ids: readonly string[]): string[] => [...ids, ...ids.flatMap((id) => mates.get(id) ?? [])];
    const listSeeds = (): void => {
      seeds = replicaIds.slice(0, 3).map((id) => boxes.get(mates.get(id) ?? id)!.addr());
    };
    listSeeds();
    const downOne = (id: string, dark: boolean): void => {
      const b = boxes.get(id)!;
      if (!b.up()) return;
      b.kill();
      disks.get(id)?.stop();
      routers.delete(id);
      replicas.delete(id);
      ports.get(id)?.reset();
      ports.delete(id);
      tell({ what: 'life', id, up: false, at: motor.now() });
      for (const fn of ears) fn(id, dark);
    };
    const down = (id: string, dark: boolean): void => {
      for (const one of together([id])) downOne(one, dark);
    };
    const startOne = (id: string): void => {
      const b = boxes.get(id)!;
      if (b.up() || barred.has(id) || (bent === 'staysdown' && b.life() > 0)) return;
      const w = net.world(b),
        life = b.life();
      tell({ what: 'life', id, up: true, at: motor.now() });
      const engine = ModelEngine.make(motor, b, w.clock, platform, net.mute, bent, tell);
      ports.set(id, engine);
      const own = seeds;
      const startup = {
        ...{ id, addr: b.addr(), zone: b.site, tunes: { ...GossipDefaults, round: 200 } },
        ...{ seeds: () => (founded ? seeds : own).filter((a) => a !== b.addr()), budget: Bounds.budget },
        ...{ drain: Bounds.drain, revocation: { within: Bounds.revoke, everywhere: false } },
      };
      if (routerIds.includes(id)) {
        const r = Router.make(w, startup, engine, platform.source(b));
        routers.set(id, r);
        open.set(id, 0);
        r.start();
        return;
      }
      const core = {
        ...{ losses: size.losses, zoneLosses: size.zoneLosses ?? 0, regionLosses: size.regionLosses ?? 0 },
        ...{ regions: size.regions ?? {}, first: !founded, lease: Bounds.lease },
      };
      void ControlReplica.make(w, { ...startup, ...core }, platform.source(b), engine)
        .catch((e: unknown): Result<never, string> => Err(String(e)))
        .then((made) => {
          if (b.life() !== life) return;
          if (made.err) {
            downOne(id, false);
            motor.at(motor.now() + RESTART_DELAY_MS, () => startOne(id));
            return;
          }
          replicas.set(id, made.val);
          made.val.start();
        });
    };
    const start = (id: string): void => {
      for (const one of together([id])) startOne(one);
    };
    /** SIGTERM, as the programs take it: they leave in order and end, at the latest when their time is up. */
    const termOne = async (id: string): Promise<void> => {
      const b = boxes.get(id)!,
        life = b.life();
      const here = (): boolean => b.life() === life && b.up();
      const nap = (ms: number): Promise<void> => new Promise((done) => motor.at(motor.now() + ms, done));
      const from = motor.now();
      const gone = (): number => motor.now() - from;
      const r = routers.get(id),
        k = replicas.get(id);
      if (bent === 'rashterm') {
        downOne(id, false);
        return;
      }
      r?.leave(ACCEPT_WHILE_LEAVING_MS, Bounds.grace - GRACE_MARGIN_MS);
      if (r)
        while (
          here() &&
          gone() < Bounds.grace - GRACE_MARGIN_MS &&
          (gone() < ACCEPT_WHILE_LEAVING_MS || (open.get(id) ?? 0) > 0)
        )
          await nap(POLL_INTERVAL_MS);
      if (k) await Promise.race([k.leave(), nap(Bounds.grace)]);
      if (!here()) return;
      r?.stop();
      k?.stop();
      downOne(id, false);
    };
    const term = async (id: string): Promise<void> => {
      await Promise.all(together([id]).map(termOne));
    };
    const desk = {
      /** One call at a control replica, as its control port answers it. */
      async replace(id: string, base: number, routing: Routing): Promise<Verdict | null> {
        const k = replicas.get(id);
        if (!k) return null;
        if (bent === 'hollowack' && routing.revision % 3 === 0) return Verdicts.ran('confirmed', 'bent');
        const v = await k.replace(base, routing);
        if (bent === 'falselost' && v.ran === 'yes') return Verdicts.notRun('lost', 'bent');
        if (bent === 'ackbad' && v.code === 'bad') return Verdicts.ran('confirmed', 'bent');
        if (bent === 'acklost' && v.code === 'lost') return Verdicts.ran('confirmed', 'bent');
        return v;
      },
      async read(id: string): Promise<Result<Routing | null, string> | null> {
        const got = (await replicas.get(id)?.read()) ?? null;
        if (bent === 'oldread' && got?.ok && got.val) return Ok({ ...got.val, revision: got.val.revision - 1 });
        return got;
      },
    };
    const chain = (): string[] => {
      const views = [...replicas.values()].flatMap((k) => k.core.view() ?? []);
      const newest = views.sort((a, b) => b.epoch - a.epoch)[0];
      return (newest?.chain ?? []).map((m) => m.id);
    };
    return {
      ...{
        motor,
        net,
        platform,
        boxes,
        disks,
        routers,
        replicas,
        replicaIds,
        routerIds,
        open,
        desk,
        start,
        down,
        term,
        together,
      },
      /** How many control replicas' machines may be lost at once. */
      losses: size.losses,
      startAll(): void {
        for (const id of [...replicaIds, ...routerIds]) start(id);
      },
      /** From here on a start is not the first of the whole fleet. */
      found: (): void => {
        founded = true;
      },
      bar: (id: string): void => void barred.add(id),
      /** The seeds file is written anew for all. */
      reseed: listSeeds,
      wipe: (id: string): void => disks.get(id)?.wipe(),
      /** A replica under another name and address, with an empty disk, in the place of one that is gone for good. */
      replaceReplica(old: string): string {
        const id = `k${spare}`;
        const inZone = size.zones ? boxes.get(old)!.site : zone(spare + 1);
        addReplica(id, `10.0.1.${spare++}:7000`, inZone);
        replicaIds.push(id);
        replicaIds.splice(replicaIds.indexOf(old), 1);
        if (size.shared) {
          const mate = `r${spare}`;
          add(mate, `10.1.1.${spare}:7000`, zone(spare), null);
          routerIds.push(mate);
          mates.set(id, mate);
          barred.add(mates.get(old)!);
        }
        return id;
      },
      /** Tells of each process that ends, so that clients see their connections torn or fall silent. */
      torn: (fn: (id: string, dark: boolean) => void): void => void ears.push(fn),
      /** The chain, head first, and its head, as any control replica last knew them. */
      chain,
      head: (): string | null => chain()[0] ?? null,
      nap: (ms: number): Promise<void> => new Promise((done) => motor.at(motor.now() + ms, done)),
    };
  },
};
