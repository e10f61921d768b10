import { SystemClock } from '@pumicebarrow/forms';
import { ListStandIn, ModelStandIn, SampleCall, SettingsText } from '@pumicebarrow/platform';
import { execFile } from 'node:child_process';
import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Child } from '../child.js';
import { Ports } from '../ports.js';
import { RunFlags } from './runflags.js';

type Four = [number, number, number, number];
type Held = ReturnType<typeof Child.node>;
type Size = { replicas: number; routers: number; prefill: number; decode: number } & {
  /** Whether each control replica stands in one process with a router. */
  shared?: boolean;
  /** What each daemon's machine allows it, and whether it has a port to serve metrics at. */
  machine?: { memoryMb: number; maxDescriptors: number; servesMetrics: boolean };
  /** Bytes that each event of an answer is padded by. */
  padding?: number;
};
type Daemon = { id: string; role: 'router' | 'control'; addr: string; file: string } & {
  /** Where its callers come: clients to a router, the operator to a control replica. */
  front: string;
  /** Where clients come to a control replica that stands in one process with a router. */
  clients?: string;
};
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const PROGRAM = join(ROOT, 'target', 'pumicebarrow.js');
const SERVICE = 'llm';
const SLOTS = 64;
const ZONES = ['north', 'south'] as const;
/** Internal ports of a daemon, and those that daemons serve others at. */
const INTERNAL = 3;
const OWN = 4;
const LATE = 15_000;
/** What its process is started as. */
const started = (d: Daemon): Daemon['role'] => (d.clients === undefined ? d.role : 'router');
/** ms after which a process that ended by itself is started again, as a platform does. */
const RESTART = 300;

/**
 * A fleet of routers and replicas as real processes on this machine, of the same bundle as everywhere, with stand-in
 * servers and a stand-in list in this process. Invariant: every daemon has an IP number of its own, as daemons of one
 * fleet have one internal port in common.
 */
export const RoutedPlant = {
  service: SERVICE,
  slots: SLOTS,
  /** Bundles the programs from the sources, as a deployment does. */
  build: (): Promise<void> =>
    new Promise((done, fail) => {
      execFile(process.execPath, [join(ROOT, 'tools', 'bundle.mjs')], { cwd: ROOT }, (e, _out, err) => {
        if (e) fail(new Error(err || e.message));
        else done();
      });
    }),
  async make(size: Size, dir: string) {
    await rm(dir, { recursive: true, force: true });
    await mkdir(dir, { recursive: true });
    const clock = SystemClock.make();
    const models = size.prefill + size.decode;
    const first = await Ports.run(INTERNAL + OWN + models);
    const internal = first;
    const [front, ready, list, clients] = Array.from({ length: OWN }, (_, i) => first + INTERNAL + i) as Four;
    const ports = Array.from({ length: models }, (_, i) => first + INTERNAL + OWN + i);
    const zone = (i: number): string => ZONES[i % ZONES.length]!;
    const daemons: Daemon[] = Array.from({ length: size.replicas + size.routers }, (_, i) => {
      const replica = i < size.replicas;
      const id = replica ? `k${i + 1}` : `r${i - size.replicas + 1}`;
      const ip = `127.0.0.${10 + i}`;
      const shared = replica && size.shared ? { clients: `${ip}:${clients}` } : {};
      const at = { addr: `${ip}:${internal}`, front: `${ip}:${front}`, ...shared };
      return { id, role: replica ? 'control' : 'router', file: join(dir, `${id}.toml`), ...at };
    });
    const replicas = daemons.filter((d) => d.role === 'control');
    const routers = daemons.filter((d) => d.role === 'router');
    const settings = (d: Daemon, i: number): string => {
      const serves = d.role === 'router' ? d.front : d.clients;
      return SettingsText.of({
        ...{ id: d.id, addr: d.addr, zone: zone(i), list: `127.0.0.1:${list}`, first: true },
        ...{ role: started(d), shared: d.clients !== undefined },
        ...(size.machine === undefined ? {} : { machine: size.machine }),
        seeds: replicas.map((k) => k.addr),
        ...(d.role === 'control' ? { control: d.front, data: join(dir, d.id) } : {}),
        ...(serves === undefined ? {} : { front: serves, ready: d.addr.replace(/\d+$/, String(ready)) }),
      });
    };
    const standIns = new Map<string, Awaited<ReturnType<typeof ModelStandIn.make>>>();
    const up = new Map<string, Held>();
    let listHost: { close(): Promise<void> } | null = null;
    const ended: string[] = [];
    const flags = RunFlags.read();
    const rise = (id: string): void => {
      const d = daemons.find((x) => x.id === id)!;
      const env = { PUMICEBARROW_CONFIG: d.file };
      const held = Child.node([...flags, PROGRAM, started(d)], join(dir, `${id}.log`), env);
      up.set(id, held);
      void held.gone.then((code) => {
        if (up.get(id) !== held) return;
        if (code !== null) ended.push(`${id} ended by itself with ${code}`);
        clock.after(RESTART, () => {
          if (up.get(id) === held) rise(id);
        });
      });
    };
    return {
      dir,
      /** Processes that ended with a code of their own, without being told to. */
      ended: ended as readonly string[],
      replicas,
      routers,
      /** Where clients come in. */
      entries: daemons.flatMap((d) =>
        d.role === 'router' ? [d] : d.clients === undefined ? [] : [{ ...d, front: d.clients }],
      ),
      /** A first configuration, and how a request is sent. */
      configuration: join(dir, 'configuration.json'),
      call: (id: string): string => SampleCall.line(routers[0]!.front, id),
      async start(): Promise<void> {
        await Promise.all(daemons.map((d, i) => writeFile(d.file, settings(d, i))));
        await writeFile(join(dir, 'configuration.json'), SampleCall.configuration(1, SERVICE, SLOTS));
        for (let i = 0; i < models; i++) {
          const id = `m${i + 1}`,
            stage = i < size.prefill ? 'prefill' : 'decode';
          const addr = `127.0.0.1:${ports[i]!}`;
          const start = { id, addr, service: SERVICE, zone: zone(i), stage, slots: SLOTS, clock } as const;
          const padding = size.padding ?? 0;
          standIns.set(id, await ModelStandIn.make({ ...start, padding }));
        }
        listHost = await ListStandIn.make(`127.0.0.1:${list}`, () => [...standIns.values()].map((s) => s.listed()));
        for (const d of daemons) rise(d.id);
      },
      rise,
      /** The process of a daemon; null while it has none. */
      pid: (id: string): number | null => up.get(id)?.proc.pid ?? null,
      /** Where a router says whether new connections are wanted, and where a daemon serves its metrics. */
      readiness: (d: Daemon): string => d.addr.replace(/\d+$/, String(ready)),
      metrics: (d: Daemon): string => d.addr.replace(/\d+$/, String(internal + INTERNAL - 1)),
      /** What the model servers were told of the client behind a request, each that it came to. */
      received: (id: string) => [...standIns.values()].flatMap((s) => s.received().get(id) ?? []),
      /** Ends one of our own processes, by its id; gives its exit code. */
      async fall(id: string, how: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
        const held = up.get(id);
        if (!held) return null;
        up.delete(id);
        held.proc.kill(how);
        return held.gone;
      },
      /** Sends a signal that does not end it. */
      signal(id: string, how: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
        up.get(id)?.proc.kill(how);
      },
      async stop(): Promise<Record<string, number | null>> {
        const codes: Record<string, number | null> = {};
        const all = [...up];
        up.clear();
        await Promise.all(
          all.map(async ([id, held]) => {
            held.proc.kill('SIGCONT');
            held.proc.kill('SIGTERM');
            const late = setTimeout(() => held.proc.kill('SIGKILL'), LATE);
            codes[id] = await held.gone;
            clearTimeout(late);
          }),
        );
        await Promise.all([...standIns.values()].map((s) => s.close()));
        standIns.clear();
        await listHost?.close();
        listHost = null;
        return codes;
      },
    };
  },
};
