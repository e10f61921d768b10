import { Random, type RandomSource } from '@pumicebarrow/forms';
import { SampleCall } from '@pumicebarrow/platform';
import { setTimeout as pause } from 'node:timers/promises';
import { Client } from 'undici';
import { SoakKeys } from './soakkeys.js';
import type { SoakReport } from './soakreport.js';

const TOKENS = 2000;
const EVENTS = 6;
const REST = 150;
const GIVE_UP = 9000;
const ALLOWED: ReadonlySet<number> = new Set([200, 408, 429, 502, 503, 504]);
/** What a request may be told that shows a key which is never held. */
const UNSERVED: ReadonlySet<number> = new Set([401, 408, 429, 503]);
const WHOLE = Array.from({ length: EVENTS }, (_, i) => String(i + 1)).join();

type Target = { id: string; front: string };

/**
 * Clients that each keep one connection to a router and use it until its process is gone, also while it leaves. An
 * answer that ends as complete has to be whole and to bear its request's id.
 */
export const SoakClients = {
  start(routers: readonly Target[], chance: RandomSource, many: number, report: SoakReport) {
    let open = true;
    let serial = 0;
    const sent: { id: string; serial: number }[] = [];
    const count = (what: string): void => {
      report.counts[what] = (report.counts[what] ?? 0) + 1;
    };
    /** Sends one request; false if the connection failed. */
    const send = async (client: Client, router: string): Promise<boolean> => {
      const own = ++serial;
      const id = `soak-${own}`;
      sent.push({ id, serial: own });
      const credentials = SampleCall.credentials(SoakKeys.shown(own));
      const headers = { ...SampleCall.headers(id, TOKENS, EVENTS), ...credentials };
      const call = { method: 'POST', path: SampleCall.path, headers, body: 'x' } as const;
      try {
        const answer = await client.request({ ...call, signal: AbortSignal.timeout(GIVE_UP) });
        const text = await answer.body.text();
        count(String(answer.statusCode));
        const allowed = SoakKeys.strange(own) ? UNSERVED : ALLOWED;
        if (!allowed.has(answer.statusCode)) report.faults.push(`${id} at ${router}: status ${answer.statusCode}`);
        if (answer.statusCode !== 200) return true;
        const ids = [...text.matchAll(/^id: (\d+)$/gm)].map((m) => m[1]).join();
        if (ids !== WHOLE) report.faults.push(`${id} at ${router}: ended as complete with events ${ids}`);
        if (answer.headers[SampleCall.echo] !== id)
          report.faults.push(`${id} at ${router}: got ${String(answer.headers[SampleCall.echo])}`);
        return true;
      } catch {
        count('no answer');
        return false;
      }
    };
    const run = async (): Promise<void> => {
      while (open) {
        const router = Random.pick(chance, [...routers])!;
        const client = new Client(`http://${router.front}`, { pipelining: 1, connect: { timeout: 1000 } });
        while (open && (await send(client, router.id))) await pause(chance.real() * REST);
        await client.destroy();
      }
    };
    const all = Promise.all(Array.from({ length: many }, run));
    return {
      /** All requests that were sent, by id and number. */
      sent: (): readonly { id: string; serial: number }[] => sent,
      async stop(): Promise<void> {
        open = false;
        await all;
      },
      /** How many of so many requests, one to each router in turn, are answered whole. */
      async served(tries: number): Promise<number> {
        const before = report.counts['200'] ?? 0;
        for (let i = 0; i < tries; i++) {
          const router = routers[i % routers.length]!;
          const client = new Client(`http://${router.front}`);
          await send(client, router.id);
          await client.destroy();
        }
        return (report.counts['200'] ?? 0) - before;
      },
    };
  },
};
