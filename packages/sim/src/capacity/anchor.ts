import { Counter, type ModelServerClient, type InventorySource } from '@pumicebarrow/counter';
import { Err, FileDisk, Logs, Ok, SystemClock, TcpWire, type Disk, type World } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { RegistryNode } from '@pumicebarrow/registry';
import { spawn } from 'node:child_process';
import { readFile, readdir, rm } from 'node:fs/promises';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';

type Watched = 'head' | 'edge' | 'tail';
const FIRST = 21_000;
const WARM = 12_000;
const SPAN = 20_000;
const TICKS = 100;
const nap = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));
const bin = (pack: string): string =>
  fileURLToPath(import.meta.resolve(`@pumicebarrow/${pack}`).replace(/dist\/index\.js$/, 'bin/run.js'));
const quiet = { info: () => undefined, warn: () => undefined };

/** Processor time and memory of one process, as the kernel has them; ticks of it are 10 ms. */
const look = async (pid: number): Promise<{ ms: number; mb: number }> => {
  const stat = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]!.split(' ');
  const rss = /VmRSS:\s+(\d+)/.exec(await readFile(`/proc/${pid}/status`, 'utf8'));
  return { ms: ((Number(stat[11]) + Number(stat[12])) * 1000) / TICKS, mb: Number(rss?.[1] ?? 0) / 1024 };
};

/**
 * One real process in real time, among `n` daemons that are hollow: many in this process, over real sockets.
 * Invariant: there are two processes, this one and the one that is looked at, and it ends with the run.
 */
export const Anchor = {
  async run(n: number, watched: Watched): Promise<Figure[]> {
    const d = Hollow.deployment(n, 4);
    let port = FIRST;
    const addr = (): string => `127.0.0.1:${port++}`;
    const http = addr();
    const dir = join(tmpdir(), `anchor-${process.pid}`);
    const cores = ['c1', 'c2', 'c3'].map((id) => ({ id, addr: addr() })),
      edges = Array.from({ length: n }, (_, i) => ({ id: `e${i + 1}`, addr: addr() }));
    const real = { head: 'c1', tail: 'c3', edge: `e${n}` }[watched];
    const list = { servers: [] };
    const platform = createServer((_, res) =>
      res.setHeader('content-type', 'application/json').end(JSON.stringify(list)),
    );
    await new Promise<void>((done, fail) => {
      platform.once('error', fail);
      platform.listen(Number(http.split(':')[1]), '127.0.0.1', done);
    });
    const ends: (() => Promise<void> | void)[] = [];
    const world = async (at: string, disk: Disk | null): Promise<World> => {
      const wire = await TcpWire.make(at, quiet);
      ends.push(() => wire.close());
      return {
        clock: SystemClock.make(),
        random: { real: Math.random },
        wire,
        disk,
        log: Logs.silent,
        recordEvent: () => undefined,
      };
    };
    const town: InventorySource = { poll: () => Promise.resolve(Ok(list)) };
    const dead = { ran: 'no', code: 'unreached', dark: true, why: 'none' } as const;
    const back = { fetchState: () => Promise.resolve(Err(dead)) } as unknown as ModelServerClient;
    const zone = (i: number): string => d.zones[i % d.zones.length]!;
    const settings = { site: 's1', control: true, tunes: GossipDefaults };
    const seedsOf = (own: string): string[] =>
      [...cores.map((c) => c.addr), ...edges.slice(0, 2).map((e) => e.addr)].filter((a) => a !== own).slice(0, 4);
    const flags = (x: { id: string; addr: string }): string[] => [
      ...['--id', x.id, '--site', 's1', '--level', 'warn', '--addr', x.addr],
      ...seedsOf(x.addr).flatMap((a) => ['--seeds', a]),
    ];
    const kin = cores.find((c) => c.id === real) ?? edges.find((e) => e.id === real)!;
    const args =
      watched === 'edge'
        ? [bin('counterd'), ...flags(kin), '--http', addr(), '--town', http]
        : [bin('registryd'), ...flags(kin), '--data', join(dir, real)];
    const proc = spawn(process.execPath, args, { stdio: 'ignore' });
    ends.push(() => {
      proc.kill('SIGKILL');
    });
    try {
      for (const c of cores.filter((x) => x.id !== real)) {
        const w = await world(c.addr, await FileDisk.make(join(dir, c.id)));
        const made = await RegistryNode.make(w, { ...c, site: 's1', seeds: seedsOf(c.addr), tunes: GossipDefaults });
        if (made.err) throw new Error(made.val);
        made.val.start();
        ends.push(() => made.val.stop());
      }
      const made = [];
      for (const [i, e] of edges.entries()) {
        if (e.id === real) continue;
        const c = Counter.make(
          await world(e.addr, null),
          { ...settings, ...e, site: zone(i), seeds: seedsOf(e.addr) },
          back,
          town,
        );
        c.start();
        ends.push(() => c.stop());
        made.push(c);
      }
      const one = made[0]!;
      let serial = 0;
      const change = async (): Promise<void> => {
        const id = `p${++serial}`,
          rules = d.charter.rules.map((r) => ({ ...r, limit: r.limit + serial }));
        await one.controlClient.write({ do: 'plan', id, base: one.sheet.version(), charter: { ...d.charter, rules } });
        await one.controlClient.write({ do: 'confirm', id });
      };
      await nap(WARM / 2);
      await change();
      await nap(WARM / 2);
      const was = await look(proc.pid!);
      const own = process.cpuUsage();
      const until = performance.now() + SPAN;
      while (performance.now() < until) {
        void change();
        await nap(1000 / Design.changes);
      }
      const span = SPAN + Math.max(0, performance.now() - until);
      const now = await look(proc.pid!);
      const { user, system } = process.cpuUsage(own);
      const a = { run: `anchor ${watched}`, axis: 'daemons', at: n };
      return [
        Hollow.figure(a, watched, 'process', 'core%', ((now.ms - was.ms) / span) * 100),
        Hollow.figure(a, watched, 'process', 'rss', now.mb),
        Hollow.figure(a, watched, 'files and sockets open', 'count', (await readdir(`/proc/${proc.pid}/fd`)).length),
        Hollow.figure(a, watched, 'version it took part in', 'count', one.sheet.version()),
        Hollow.figure(a, 'the others together', 'process', 'core%', (user + system) / 10 / span),
      ];
    } finally {
      for (const end of ends.reverse()) await end();
      platform.close();
      await rm(dir, { recursive: true, force: true });
    }
  },
};
