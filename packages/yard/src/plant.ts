import type { Deployment } from '@pumicebarrow/sim';
import { mkdir, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Child } from './child.js';
import { Relay } from './relay.js';
import { Tale } from './tale.js';
import { Ports } from './ports.js';
import { TownHost } from './townhost.js';

type Held = ReturnType<typeof Child.start>;
/** Callers come to `http`, a link to `inner`. */
type Edge = { id: string; site: string; addr: string; hear: string; http: string; inner: string };
type Core = { id: string; site: string; addr: string; hear: string; http: string; data: string };
type Back = { id: string; site: string; addr: string; slots: number };

/** A whole fleet as real processes on this machine, in a folder of its own; `apart` puts links between daemons too. */
export const Plant = {
  async make(d: Deployment, dir: string, apart = false) {
    await rm(dir, { recursive: true, force: true });
    await mkdir(dir, { recursive: true });
    const ports = await Ports.free(d.cores * 3 + d.edges * 4 + d.servers * 2 + 2);
    const addr = (): string => `127.0.0.1:${ports.pop()!}`;
    const place = (): { addr: string; hear: string } => {
      const at = addr();
      return { addr: at, hear: apart ? addr() : at };
    };
    const zone = (i: number): string => d.zones[i % d.zones.length]!;
    const cores: Core[] = Array.from({ length: d.cores }, (_, i) => ({
      id: `c${i + 1}`,
      site: zone(i),
      ...place(),
      http: addr(),
      data: join(dir, `c${i + 1}`),
    }));
    const edges: Edge[] = Array.from({ length: d.edges }, (_, i) => ({
      id: `e${i + 1}`,
      site: zone(i),
      ...place(),
      http: addr(),
      inner: addr(),
    }));
    const backs: Back[] = d.charter.servers.map((s) => ({ id: s.id, site: s.site, addr: addr(), slots: s.slots }));
    const townAddr = addr();
    const town = TownHost.make(townAddr);
    const tale = Tale.make();
    const links = new Map<string, Awaited<ReturnType<typeof Relay.make>>>();
    const link = async (name: string, to: string, at = addr()): Promise<void> => {
      links.set(name, await Relay.make(at, to));
    };
    await link('town', townAddr);
    for (const b of backs) await link(b.id, b.addr);
    for (const e of edges) await link(e.id, e.inner, e.http);
    for (const x of apart ? [...cores, ...edges] : []) await link(`mail ${x.id}`, x.hear, x.addr);
    const up = new Map<string, Held>();
    const log = (id: string): string => join(dir, `${id}.log`);
    /** One core and two edge daemons for an edge daemon, the other two cores and one edge daemon for a core. */
    const seeds = (own: string): string[] => {
      const i = edges.findIndex((e) => e.addr === own);
      const list =
        i < 0
          ? [...cores.map((c) => c.addr).filter((a) => a !== own), edges[0]!.addr]
          : [cores[i % cores.length]!.addr, edges[(i + 1) % edges.length]!.addr, edges[(i + 2) % edges.length]!.addr];
      return list.flatMap((a) => ['--seeds', a]);
    };
    const where = (x: Edge | Core): string[] => [
      ...['--id', x.id, '--site', x.site, '--level', 'debug'],
      ...['--addr', x.addr, '--hear', x.hear],
    ];
    const startCore = (c: Core): void => {
      tale.tell({ what: 'start', who: c.id });
      up.set(
        c.id,
        Child.start('registryd', [...where(c), '--http', c.http, '--data', c.data, ...seeds(c.addr)], log(c.id)),
      );
    };
    const startEdge = (e: Edge): void => {
      tale.tell({ what: 'start', who: e.id });
      up.set(
        e.id,
        Child.start(
          'counterd',
          [...where(e), ...['--http', e.inner, '--town', links.get('town')!.at, '--control'], ...seeds(e.addr)],
          log(e.id),
        ),
      );
    };
    const startBack = async (b: Back): Promise<void> => {
      const held = Child.start('yard', ['back', '--id', b.id, '--addr', b.addr, '--slots', String(b.slots)], log(b.id));
      up.set(b.id, held);
      const born = (await held.line).replace('ready ', '');
      tale.tell({ what: 'listed', who: b.id, mark: 'serving', born });
      const rest = town.list().servers.filter((s) => s.id !== b.id);
      town.set({ servers: [...rest, { id: b.id, addr: links.get(b.id)!.at, site: b.site, born, mark: 'serving' }] });
    };
    return {
      dir,
      tale,
      links,
      /**
       * Cuts the links between two groups of daemons, both ways, or makes them whole; tells how much the cut held
       * up.
       */
      cut(on: boolean, a: readonly string[], b: readonly string[]): number {
        const met = (): number => [...links.values()].reduce((n, l) => n + l.met(), 0);
        for (const x of a)
          for (const y of b) {
            links.get(`mail ${x}`)!.cut(on, y);
            links.get(`mail ${y}`)!.cut(on, x);
          }
        return met();
      },
      /** Lists a server as leaving, or takes it off the list. */
      mark(id: string, as: 'draining' | 'gone'): void {
        tale.tell({ what: 'listed', who: id, mark: as });
        const list = town.list().servers.filter((s) => as === 'draining' || s.id !== id);
        town.set({ servers: list.map((s) => (s.id === id ? { ...s, mark: 'draining' as const } : s)) });
      },
      cores,
      edges,
      backs,
      town,
      alive: (id: string): boolean => up.has(id),
      pid: (id: string): number | undefined => up.get(id)?.proc.pid,
      async start(): Promise<void> {
        await town.start();
        for (const c of cores) startCore(c);
        for (const e of edges) startEdge(e);
        await Promise.all(backs.map(startBack));
      },
      async rise(id: string): Promise<void> {
        const c = cores.find((x) => x.id === id),
          e = edges.find((x) => x.id === id),
          b = backs.find((x) => x.id === id);
        if (c) startCore(c);
        if (e) startEdge(e);
        if (b) await startBack(b);
      },
      /** Ends one of our own processes, by its id; gives its exit code. */
      async fall(id: string, how: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
        const held = up.get(id);
        if (!held) return null;
        up.delete(id);
        tale.tell({ what: 'killed', who: id });
        held.proc.kill(how);
        return held.gone;
      },
      signal(id: string, how: 'SIGSTOP' | 'SIGCONT'): void {
        up.get(id)?.proc.kill(how);
      },
      wipe: (id: string): Promise<void> => rm(cores.find((c) => c.id === id)!.data, { recursive: true, force: true }),
      async stop(): Promise<Record<string, number | null>> {
        const codes: Record<string, number | null> = {};
        await Promise.all(
          [...up].map(async ([id, held]) => {
            held.proc.kill(id.startsWith('m') ? 'SIGKILL' : 'SIGTERM');
            const late = setTimeout(() => held.proc.kill('SIGKILL'), 15_000);
            codes[id] = await held.gone;
            clearTimeout(late);
          }),
        );
        up.clear();
        for (const l of links.values()) await l.close();
        await town.close();
        return codes;
      },
    };
  },
};
