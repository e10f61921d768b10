import type { Deployment } from '@pumicebarrow/sim';
import { mkdir, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { Child } from './child.js';
import { Ports } from './ports.js';
import { TownHost } from './townhost.js';

type Held = ReturnType<typeof Child.start>;
type Edge = { id: string; site: string; addr: string; http: string };
type Core = { id: string; site: string; addr: string; data: string };
type Back = { id: string; site: string; addr: string; slots: number };

/** A whole fleet as real processes on this machine, in a folder of its own. */
export const Plant = {
  async make(d: Deployment, dir: string) {
    await rm(dir, { recursive: true, force: true });
    await mkdir(dir, { recursive: true });
    const ports = await Ports.free(d.cores + d.edges * 2 + d.servers + 1);
    const addr = (): string => `127.0.0.1:${ports.pop()!}`;
    const site = (i: number): string => d.sites[i % d.sites.length]!;
    const cores: Core[] = Array.from({ length: d.cores }, (_, i) => ({
      id: `c${i + 1}`,
      site: site(i),
      addr: addr(),
      data: join(dir, `c${i + 1}`),
    }));
    const edges: Edge[] = Array.from({ length: d.edges }, (_, i) => ({
      id: `e${i + 1}`,
      site: site(i),
      addr: addr(),
      http: addr(),
    }));
    const backs: Back[] = d.charter.servers.map((s) => ({ id: s.id, site: s.site, addr: addr(), slots: s.slots }));
    const townAddr = addr();
    const town = TownHost.make(townAddr);
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
    const startCore = (c: Core): void => {
      up.set(
        c.id,
        Child.start(
          'registryd',
          ['--id', c.id, '--addr', c.addr, '--site', c.site, '--data', c.data, ...seeds(c.addr)],
          log(c.id),
        ),
      );
    };
    const startEdge = (e: Edge): void => {
      up.set(
        e.id,
        Child.start(
          'counterd',
          [
            '--id',
            e.id,
            '--addr',
            e.addr,
            '--http',
            e.http,
            '--site',
            e.site,
            '--town',
            townAddr,
            '--control',
            ...seeds(e.addr),
          ],
          log(e.id),
        ),
      );
    };
    const startBack = async (b: Back): Promise<void> => {
      const held = Child.start('yard', ['back', '--id', b.id, '--addr', b.addr, '--slots', String(b.slots)], log(b.id));
      up.set(b.id, held);
      const born = (await held.line).replace('ready ', '');
      const rest = town.list().servers.filter((s) => s.id !== b.id);
      town.set({ servers: [...rest, { id: b.id, addr: b.addr, site: b.site, born, mark: 'serving' }] });
    };
    return {
      dir,
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
        held.proc.kill(how);
        return held.gone;
      },
      signal(id: string, how: 'SIGSTOP' | 'SIGCONT'): void {
        up.get(id)?.proc.kill(how);
      },
      leaves(id: string): void {
        town.set({ servers: town.list().servers.filter((s) => s.id !== id) });
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
        await town.close();
        return codes;
      },
    };
  },
};
