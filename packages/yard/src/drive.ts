import type { Deployment } from '@pumicebarrow/sim';
import { request as call } from 'undici';
import { Crowd } from './crowd.js';
import type { Planting } from './planting.js';

type Body = Record<string, unknown> & { verdict?: { ran: string; code: string; why: string } };

/** Drives a fleet of processes: waits on conditions, plays the operator, gathers what the servers say they ran. */
export const Drive = {
  make(d: Deployment, plant: Planting) {
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        setTimeout(done, ms);
      });
    const ask = async (method: 'GET' | 'POST', url: string, body?: unknown): Promise<Body | null> => {
      try {
        const r = await call(url, {
          method,
          headersTimeout: 15_000,
          ...(body === undefined
            ? {}
            : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        return (await r.body.json()) as Body;
      } catch {
        return null;
      }
    };
    const until = async (what: string, ms: number, fn: () => Promise<boolean>): Promise<number> => {
      const from = performance.now();
      while (performance.now() - from < ms) {
        if (await fn()) return performance.now() - from;
        await nap(100);
      }
      throw new Error(`not within ${ms} ms: ${what}`);
    };
    const edge = (): string => plant.edges.find((e) => plant.alive(e.id))!.http;
    const plans = new Set<string>();
    const settled = (plan: string, c: Body | null): void => {
      plans.add(plan);
      const { ran, code } = c?.verdict ?? { ran: 'maybe', code: 'torn' };
      plant.tale.tell({ what: 'verdict', who: '-', plan, ran, code, version: c?.['version'] ?? null });
    };
    const ran = new Map<string, number>();
    return {
      ask,
      until,
      nap,
      edge,
      crowd: () => Crowd.make(d, plant),
      /** n operators plan against one base, each at its own daemon, then all confirm at once. */
      async race(charters: readonly unknown[]): Promise<void> {
        const up = plant.edges.filter((e) => plant.alive(e.id));
        const plans = await Promise.all(
          charters.map((charter, i) => ask('POST', `http://${up[i % up.length]!.http}/plan`, { charter })),
        );
        await Promise.all(
          plans.map(async (p, i) => {
            if (p?.verdict?.ran !== 'yes') return;
            const c = await ask('POST', `http://${up[i % up.length]!.http}/confirm`, { plan: p['plan'] });
            settled(String(p['plan']), c);
          }),
        );
      },
      /** What the core says at last of each plan that was confirmed. */
      async final(): Promise<void> {
        const won: Record<string, unknown> = {};
        for (const plan of plans) {
          const r = await ask('GET', `http://${edge()}/plan/${plan}`);
          if (r?.['fate'] === 'won') won[plan] = r['version'];
        }
        plant.tale.tell({ what: 'final', who: '-', won });
      },
      /** Plans and confirms until it is done; gives the version. */
      async change(charter: unknown): Promise<number> {
        let version = 0;
        await until('a confirmed charter', 120_000, async () => {
          const p = await ask('POST', `http://${edge()}/plan`, { charter });
          if (p?.verdict?.ran !== 'yes') return false;
          for (let i = 0; i < 10; i++) {
            const c = await ask('POST', `http://${edge()}/confirm`, { plan: p['plan'] });
            settled(String(p['plan']), c);
            if (c?.verdict?.code === 'confirmed') {
              version = Number(c['version']);
              return true;
            }
            if (c?.verdict?.ran === 'no' && c.verdict.code !== 'unready') return false;
            await nap(300);
          }
          return false;
        });
        return version;
      },
      holds: (version: number): Promise<number> =>
        until(`version ${version} everywhere`, 120_000, async () => {
          const all = await Promise.all(
            plant.edges.filter((e) => plant.alive(e.id)).map((e) => ask('GET', `http://${e.http}/health`)),
          );
          return all.every((h) => Number(h?.['version'] ?? 0) >= version);
        }),
      serves: (): Promise<number> =>
        until('every edge serving a cast fleet', 120_000, async () => {
          const s = await ask('GET', `http://${edge()}/status`);
          const rows = (s?.['sheet'] ?? []) as { part: string; stage: string }[];
          const all = await Promise.all(
            plant.edges.filter((e) => plant.alive(e.id)).map((e) => ask('GET', `http://${e.http}/health`)),
          );
          return (
            all.every((h) => h?.['life'] === 'serving') &&
            ['prefill', 'decode'].every((p) => rows.some((r) => r.part === p && r.stage === 'serving'))
          );
        }),
      /** Takes down what each live server says it ran; call it before a server is killed, too. */
      async gather(ids: readonly string[]): Promise<void> {
        for (const b of plant.backs.filter((x) => ids.includes(x.id))) {
          const list = (await ask('GET', `http://${b.addr}/ran`)) as unknown as string[] | null;
          const born = plant.town.list().servers.find((s) => s.id === b.id)?.born ?? b.id;
          for (const k of list ?? [])
            ran.set(
              `${k.split(' ')[0]} ${born}`,
              (list ?? []).filter((x) => x.split(' ')[0] === k.split(' ')[0]).length,
            );
        }
      },
      twice(): string[] {
        const by = new Map<string, number>();
        for (const [k, n] of ran) by.set(k.split(' ')[0]!, (by.get(k.split(' ')[0]!) ?? 0) + n);
        return [...by].filter(([, n]) => n > 1).map(([k]) => k);
      },
      ranCount: (): number => ran.size,
    };
  },
};
