import { Random, type RandomSource, type Clock } from '@pumicebarrow/forms';
import {
  PrefixCacheEstimate,
  Placement,
  ServerHealth,
  ServerList,
  ServerLoads,
  type Prompt,
  type Server,
} from '@pumicebarrow/router';
import { Design, Hollow, type Figure } from '@pumicebarrow/sim';
import { HollowList } from './hollowlist.js';
import { HollowRouting } from './hollowrouting.js';
import { UnderWay } from './underway.js';

const SERVICES = 8;
const STAGES = 3;
/** A server's slots: what is under way at the design size, 189 runs, takes 0.7 of them. */
const SLOTS = 270;
const HEADS = 100;
/** Routers that are played, of those that there would be; requests that are played where one table knows all. */
const ROUTERS = 48;
const KNOWN = 20_000;
/** ms that a read takes; so many are under way. */
const READ = 150;
const clock: Clock = { mono: () => 5000, wall: () => 5000, after: () => () => undefined };
const nobody: ReadonlySet<string> = new Set();

/**
 * Where prompts are read and decoded by the real `Placement`, and so how many hand-overs stay in their zone. Servers of
 * each service and stage are in all zones alike. Invariant: as many requests a server as at the design size, or fewer.
 */
export const Handing = {
  servers: (n: number): Server[] =>
    Array.from({ length: n }, (_, i) => ({
      ...HollowList.server(i, 0, n),
      ...{ service: `model-${i % SERVICES}`, slots: SLOTS },
      zone: `zone-${Math.floor(i / SERVICES / STAGES) % Design.zones}`,
      stage: Math.floor(i / SERVICES) % STAGES === 0 ? 'prefill' : 'decode',
    })),
  prompt(chance: RandomSource, turn: number): Prompt {
    const parts = [
      { id: `s${Random.int(chance, HEADS)}`, tokens: 4000 },
      { id: `o${turn}`, tokens: 1900 },
    ];
    return { model: `m${turn % SERVICES}`, tokens: 5900, most: 486, parts };
  },
  /** What one table of loads knows, asked from all zones; `reads` are under way, and none of the runs ends. */
  play(servers: readonly Server[], zones: readonly string[], requests: number, reads: number, chance: RandomSource) {
    const list = ServerList.make(
      clock,
      () => 1000,
      () => undefined,
    );
    list.replace(servers, 5000, 'shared');
    const loads = ServerLoads.make(),
      health = ServerHealth.make(clock),
      kept = PrefixCacheEstimate.make(() => 400_000);
    const all = zones.map((zone) =>
      Placement.make({
        ...{ random: chance, zone, list, loads, health, kept },
        ...{ changing: () => () => false, linked: () => true, pace: () => 40, speed: () => 1, wait: () => 0 },
      }),
    );
    const { services, routes } = HollowRouting.make(1, SERVICES);
    const under: (() => void)[] = [];
    const runs = new Map<string, number>();
    const sum = { beside: 0, near: 0, far: 0 };
    for (let i = 0; i < requests; i++) {
      const p = Handing.prompt(chance, i);
      const at = all[i % all.length]!,
        service = services[i % SERVICES]!;
      const from = at.evaluate(service, routes[i % SERVICES]!, p, nobody).prefill;
      const to = at.chooseDecode(service, p, from?.server ?? null, nobody);
      if (!to) continue;
      if (!from) sum.beside++;
      else if (from.server.zone === to.zone) sum.near++;
      else sum.far++;
      const reader = from?.server ?? to;
      under.push(loads.beginRead(reader.id, from?.fresh ?? p.tokens));
      kept.record(reader.id, p);
      if (under.length > reads) under.shift()!();
      loads.beginRun(to.id);
      runs.set(to.id, (runs.get(to.id) ?? 0) + 1);
    }
    return { ...sum, runs };
  },
  run(n: number, seed: number): Figure[] {
    const servers = Handing.servers(n),
      chance = Random.seeded(seed);
    const zones = [...new Set(servers.map((s) => s.zone))];
    const decoders = servers.filter((s) => s.stage === 'decode').length;
    const a = { run: 'handing', axis: 'servers', at: n };
    const figures = (what: string, some: { beside: number; near: number; far: number }): Figure[] => {
      const over = some.near + some.far;
      return [
        Hollow.figure(a, 'router', `read where it is decoded, ${what}`, 'share', some.beside / (over + some.beside)),
        Hollow.figure(a, 'router', `handed over within a zone, ${what}`, 'share', some.near / over),
      ];
    };
    const perRouter = Math.round((Design.requests / Design.daemons / 1000) * UnderWay.STREAM);
    const own = { beside: 0, near: 0, far: 0 };
    for (let i = 0; i < ROUTERS; i++) {
      const reads = Math.round((Design.requests / Design.daemons) * (READ / 1000));
      const got = Handing.play(servers, [zones[i % zones.length]!], perRouter, reads, chance);
      own.beside += got.beside;
      own.near += got.near;
      own.far += got.far;
    }
    const known = Handing.play(
      servers,
      zones,
      KNOWN,
      Math.round((Design.requests * READ * n) / 1000 / Design.servers),
      chance,
    );
    const most = Math.max(...known.runs.values());
    return [
      ...figures('each router knows its own', own),
      ...figures('one table knows all', known),
      Hollow.figure(a, 'server', 'runs, one table knows all', 'count', KNOWN / decoders),
      Hollow.figure(a, 'server', 'runs at the busiest, against the mean', 'x', (most * decoders) / KNOWN),
    ];
  },
};
