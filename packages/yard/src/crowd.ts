import { Text, type Deployment } from '@pumicebarrow/sim';
import { HttpCaller } from './httpcaller.js';
import type { Planting } from './planting.js';

const TRIES = 4;

/** Stand-in callers at a deployment's rate, trying again as callers do. */
export const Crowd = {
  make(d: Deployment, plant: Planting) {
    const caller = HttpCaller.make();
    const tally: Record<string, number> = {};
    const firsts: number[] = [];
    const keys = new Map<string, string>();
    const jobs = new Set<Promise<void>>();
    let serial = 0;
    let off = true;
    const bump = (k: string): void => {
      tally[k] = (tally[k] ?? 0) + 1;
    };
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        setTimeout(done, ms);
      });
    const one = async (): Promise<void> => {
      const r = Math.random(),
        rule = r < 0.1 ? 'review' : r < 0.7 ? 'changelog' : 'verdict';
      const key = `y${++serial}`;
      const v = {
        key,
        rule,
        prefix: `${rule}${serial % 4} `.repeat(rule === 'review' ? 700 : 250),
        part: `${key} `.repeat(40),
      };
      const zone = d.zones[serial % d.zones.length];
      bump('requests');
      const tell = (what: string, who: string, more: object): void =>
        plant.tale.tell({ what, who, key, rule, ...more });
      tell('wish', zone ?? '', { digest: Text.digest(v.prefix, v.part) });
      let shut = 0;
      for (let attempt = 1; attempt <= TRIES;) {
        const near = plant.edges.filter((e) => e.site === zone && plant.alive(e.id));
        const list = near.length > 0 ? near : plant.edges;
        const to = list[Math.floor(Math.random() * list.length)]!;
        const out = await caller.request(
          to.http,
          { ...v, attempt },
          d.charter.rules.find((x) => x.name === rule)!.pieces,
        );
        if (out.kind === 'unreached') {
          if (++shut > 10) {
            bump('unreached');
            return;
          }
          await nap(300);
          continue;
        }
        bump(out.kind === 'refused' ? `refused ${out.verdict?.ran} ${out.verdict?.code}` : out.kind);
        if (out.kind === 'whole') {
          tell('whole', to.id, { attempt, good: true });
          firsts.push(out.ms);
          keys.set(key, 'whole');
          return;
        }
        if (out.kind === 'wrong') tell('whole', to.id, { attempt, good: false });
        tell('told', to.id, {
          attempt,
          out: out.kind,
          ran: out.verdict?.ran ?? 'maybe',
          code: out.verdict?.code ?? out.kind,
        });
        keys.set(key, out.kind);
        if (!(out.kind === 'refused' && out.verdict?.ran === 'no') && !(out.kind === 'torn' && out.pieces === 0))
          return;
        attempt++;
        await nap((out.verdict?.after ?? 1) * 1000);
      }
      bump('given up');
    };
    const run = (): void => {
      const job = one().finally(() => jobs.delete(job));
      jobs.add(job);
    };
    const flow = (): void => {
      if (off) return;
      run();
      setTimeout(flow, (-Math.log(1 - Math.random()) * 1000) / d.rate);
    };
    return {
      tally,
      /** n requests at once. */
      burst(n: number): void {
        for (let i = 0; i < n; i++) run();
      },
      keys,
      start(): void {
        off = false;
        flow();
      },
      async stop(): Promise<void> {
        off = true;
        await Promise.all(jobs);
        await caller.close();
      },
      took: (): number[] => [...firsts].sort((a, b) => a - b),
    };
  },
};
