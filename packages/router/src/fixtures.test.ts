import { Random, Err, Logs, Ok, type Clock, type Result, type Routing, type World } from '@pumicebarrow/forms';
import type { ResponseWriter } from './responsewriter.js';
import type { ModelServerClient } from './modelserverclient.js';

import type { Prompt } from './prompt.js';
import type { ClientRequest } from './clientrequest.js';
import type { ResponseHead } from './responsehead.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';

/** A manual clock: it moves only when it is advanced, and lets all promises settle between two timers. */
export const testClock = () => {
  let now = 1000;
  let timers: { at: number; fn: () => void }[] = [];
  const clock: Clock = {
    mono: () => now,
    wall: () => now,
    after(ms, fn) {
      const t = { at: now + ms, fn };
      timers.push(t);
      return () => {
        timers = timers.filter((x) => x !== t);
      };
    },
  };
  const settle = (): Promise<void> => new Promise((done) => setImmediate(done));
  return {
    clock,
    settle,
    async advance(ms: number): Promise<void> {
      const end = now + ms;
      await settle();
      for (;;) {
        const next = timers.filter((t) => t.at <= end).sort((a, b) => a.at - b.at)[0];
        if (!next) break;
        timers = timers.filter((t) => t !== next);
        now = Math.max(now, next.at);
        next.fn();
        await settle();
      }
      now = end;
    },
  };
};

/** World without network or disk. */
export const testWorld = (clock: Clock, seed = 1): World => ({
  clock,
  random: Random.seeded(seed),
  wire: { ask: () => Promise.resolve(Err('unsent')), tell: () => undefined, onMessage: () => undefined },
  disk: null,
  log: Logs.silent,
  recordEvent: () => undefined,
});

/** A ready model server of service `llm`. */
export const server = (id: string, stage: Server['stage'], more: Partial<Server> = {}): Server => ({
  ...{ id, service: 'llm', addr: `10.0.0.${id.length}:80`, zone: 'z1', state: 'ready', stage, slots: 64, warm: 0 },
  ...more,
});

/** A prompt with `shared` tokens in two parts that others share, and `own` tokens of its own. */
export const prompt = (own: number, shared = 5000): Prompt => ({
  ...{ model: 'm', tokens: own + shared, most: 100 },
  parts: [
    { id: 'a', tokens: shared / 2 },
    { id: 'b', tokens: shared / 2 },
    { id: 'c', tokens: own },
  ],
});

/** A configuration with one route and one service. */
export const routing = (more: Partial<Routing['routes'][number]> = {}): Routing => ({
  revision: 1,
  routes: [
    {
      ...{ name: 'r', host: 'h.example', prefix: '/p/', kind: 'stream', split: [{ service: 'llm', weight: 1 }] },
      ...{ timeout: 8000, aim: 800, gap: 300, rank: 0, tries: 2, affinity: true, resumable: true },
      ...more,
    },
  ],
  services: [
    {
      ...{ name: 'llm', health: '/health', connections: 100 },
      engine: { slots: 64, memory: 400000, bytes: 18432, link: 740000, hold: 5000, change: 1800, models: ['m'] },
    },
  ],
  limits: { header: 16384, body: 1 << 20, headerWait: 3000, idle: 15000 },
  source: {},
});

/** A client request that waits for 8 s from `now`. */
export const request = (now: number, more: Partial<ClientRequest> = {}): ClientRequest => ({
  ...{ id: 'q1', method: 'POST', host: 'h.example', path: '/p/x', headers: [], body: new Uint8Array() },
  ...{
    deadline: now + 8000,
    clientTimeoutMs: 8000,
    lastEventId: null,
    prompt: prompt(6000),
    keyDigest: null,
    tenant: null,
  },
  ...more,
});

/**
 * Result of the next call of the scripted client: a prefill (`read`) that returns a handle or fails, or a run that
 * sends events and then ends, fails or hangs. A run with `pauseMs` sends nothing for so long, then one more event (none
 * with `silentAtEnd`), and only then does it end or fail. With `plain` it answers with a plain body, each event a piece
 * of it.
 */
export type ScriptedResult =
  | { read: 'ok' | SendFault['code']; ran?: SendFault['ran'] }
  | {
      run: 'ok' | SendFault['code'];
      ran?: SendFault['ran'];
      events?: number;
      hang?: boolean;
      status?: number;
      pauseMs?: number;
      silentAtEnd?: boolean;
      plain?: boolean;
      withoutIds?: boolean;
    };

/** A request as it was passed to the scripted client. */
export type SentRequest = { request: ClientRequest; urgency: number };

const pause = (clock: Clock | null, ms: number): Promise<'over'> =>
  new Promise((done) => {
    if (!clock) throw new Error('A scripted pause needs a clock.');
    clock.after(ms, () => done('over'));
  });

/**
 * Model server client that follows a script and records its calls, and the servers of runs that the caller ended.
 * Pauses in the script need a clock.
 */
export const testModelServerClient = (
  script: ScriptedResult[],
  calls: string[],
  asked: SentRequest[] = [],
  clock: Clock | null = null,
  ended: string[] = [],
): ModelServerClient => {
  let handleCount = 0;
  const fault = (code: SendFault['code'], ran: SendFault['ran'] | undefined): Result<never, SendFault> =>
    Err({ code, ran: ran ?? (code === 'broken' || code === 'late' || code === 'gone' ? 'maybe' : 'no'), why: code });
  return {
    prefill(s, request, terms) {
      asked.push({ request, urgency: terms.urgency });
      const scripted = script.shift();
      calls.push(`read ${s.id}`);
      if (!scripted || !('read' in scripted)) return Promise.resolve(fault('broken', 'maybe'));
      return Promise.resolve(
        scripted.read === 'ok'
          ? Ok({ server: s, id: `h${++handleCount}`, tokens: 1 })
          : fault(scripted.read, scripted.ran),
      );
    },
    async run(s, request, from, after, terms, response) {
      asked.push({ request, urgency: terms.urgency });
      const scripted = script.shift();
      calls.push(`run ${s.id}${from ? ` from ${from.id}` : ''}${after !== null ? ` after ${after}` : ''}`);
      if (!scripted || !('run' in scripted)) return fault('broken', 'maybe');
      let last = Number(after ?? 0);
      let headed = false;
      const head: ResponseHead = {
        ...{ status: scripted.status ?? 200, headers: [['x-seal', s.id]] },
        isEventStream: !scripted.plain,
      };
      /** Sends one event, and the head before the first; false if the response is not wanted. */
      const sendEvent = (): boolean => {
        response.onActivity();
        if (!headed && !response.onHead(head)) return false;
        headed = true;
        last++;
        if (scripted.plain) return response.onBody(Buffer.from(`${s.id}.${last};`));
        return response.onEvent(scripted.withoutIds ? null : String(last), Buffer.from(`${last};`));
      };
      for (let i = 0; i < (scripted.events ?? 0); i++) if (!sendEvent()) return fault('gone', 'maybe');
      const aborted = new Promise<'aborted'>((done) =>
        terms.signal.addEventListener('abort', () => {
          ended.push(s.id);
          done('aborted');
        }),
      );
      const abortFault = (): Result<never, SendFault> =>
        fault(terms.signal.reason === 'gone' ? 'gone' : 'late', 'maybe');
      if (scripted.hang) return aborted.then(abortFault);
      if (scripted.pauseMs !== undefined) {
        if ((await Promise.race([aborted, pause(clock, scripted.pauseMs)])) === 'aborted') return abortFault();
        if (!scripted.silentAtEnd && !sendEvent()) return fault('gone', 'maybe');
      }
      if (scripted.run !== 'ok') return fault(scripted.run, scripted.ran);
      return headed || response.onHead(head) ? Ok(undefined) : fault('gone', 'maybe');
    },
    hasIdleConnection: () => false,
    releaseHandle(h) {
      calls.push(`free ${h.id}`);
      return Promise.resolve();
    },
    fetchReport: () => Promise.resolve(Err('none')),
    setStage: () => Promise.resolve(Err('unsent' as const)),
    close: () => Promise.resolve(),
  };
};

/** Response writer that records what is written. */
export const testResponseWriter = () => {
  const log: string[] = [];
  let disconnect: () => void = () => undefined;
  let disconnected = false;
  const writer: ResponseWriter = {
    writeHead: (status, headers) => void log.push(`${status} ${headers.map(([, v]) => v).join()}`),
    write: (b) => {
      log.push(Buffer.from(b).toString());
      return true;
    },
    end: () => void log.push('end'),
    abort: () => void log.push('cut'),
    isClientGone: () => disconnected,
    onClientGone: (fn) => {
      disconnect = fn;
    },
  };
  return {
    writer,
    log,
    disconnect(): void {
      disconnected = true;
      disconnect();
    },
  };
};
