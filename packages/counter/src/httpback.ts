import { Check, Err, Ok, type Result } from '@pumicebarrow/forms';
import type { Socket } from 'node:net';
import type { TSchema, Static } from 'typebox';
import { Agent, request as call } from 'undici';
import type { Back } from './back.js';
import type { BackFault } from './backfault.js';
import { BackState } from './backstate.js';
import { BodyReader } from './bodyreader.js';
import { Dialer } from './dialer.js';
import { Handle } from './handle.js';
import { Piece } from './piece.js';

const MOST = 1024 * 1024;
const SMALL = 64 * 1024;
const CODES = ['busy', 'wrongpart', 'lapsed', 'old', 'late', 'bad'] as const;
const SILENT = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_SOCKET', 'ECONNRESET', 'UND_ERR_ABORTED'];
const cause = (e: unknown): string => (e as { code?: string }).code ?? String((e as Error).message ?? e);
const broken = (why: string): Result<never, BackFault> => Err({ ran: 'maybe', code: 'broken', dark: false, why });

/** A fault before any reply. Only a connection that was never made proves that nothing was heard. */
const torn = (e: unknown, unmade: boolean): BackFault => {
  const code = cause(e);
  return {
    ran: unmade ? 'no' : 'maybe',
    code: unmade ? 'unreached' : 'broken',
    dark: unmade || SILENT.includes(code),
    why: code,
  };
};
/** A reply that is not 200: a server that turns a job away says why in JSON, and has not run it. */
const turned = (body: unknown): BackFault => {
  const code = (body as { code?: string } | null)?.code;
  const known = CODES.find((c) => c === code);
  if (known) return { ran: 'no', code: known, dark: false, why: `turned it away: ${known}` };
  return { ran: 'maybe', code: 'broken', dark: false, why: 'gave a reply that makes no sense' };
};
/** Cuts what comes into lines, and hands each on as a piece; gives why the stream can't go on, or null. */
const cutter = (take: (p: Piece) => boolean) => {
  let held = '';
  const line = (text: string): string | null => {
    let v: unknown = null;
    try {
      v = JSON.parse(text);
    } catch {
      /* told below */
    }
    if (!Check.is(Piece, v)) return 'streamed a line that is no piece';
    return take(v as Piece) ? null : 'the stream was given up';
  };
  return {
    rest: (): string => held,
    feed(bit: string): string | null {
      held += bit;
      for (let i = held.indexOf('\n'); i >= 0; i = held.indexOf('\n')) {
        const why = line(held.slice(0, i));
        if (why) return why;
        held = held.slice(i + 1);
      }
      return held.length > SMALL ? 'streamed a line too long' : null;
    },
  };
};

/**
 * Model servers over HTTP/1.1 with JSON. Invariants: nothing waits for a connection that other work has taken, so what
 * was looked at before a send still holds when it leaves; no reply, and no line of one, is held beyond a fixed size.
 */
export const HttpBack = {
  make(met: (s: Socket) => void = () => undefined): Back & { close(): Promise<void> } {
    const dialer = Dialer.make(met);
    const agent = new Agent({ connect: dialer.connect, keepAliveTimeout: 4000 });
    const fault = (e: unknown): BackFault => torn(e, dialer.unmade(e));
    const ask = async <S extends TSchema>(
      method: 'GET' | 'POST',
      url: string,
      body: unknown,
      ms: number,
      form: S,
    ): Promise<Result<NoInfer<Static<S>>, BackFault>> => {
      try {
        const r = await call(url, {
          method,
          dispatcher: agent,
          headersTimeout: ms,
          bodyTimeout: ms,
          signal: AbortSignal.timeout(Math.ceil(ms) + 300),
          ...(body === undefined
            ? {}
            : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        const got = await BodyReader.json(r.body, MOST);
        if (r.statusCode !== 200) return Err(turned(got.ok ? got.val : null));
        const seen = got.ok ? Check.parse(form, got.val) : got;
        return seen.ok ? seen : Err({ ran: 'maybe', code: 'bad', dark: false, why: 'gave a reply of the wrong shape' });
      } catch (e) {
        return Err(fault(e));
      }
    };
    return {
      prefill: (addr, job, ms) => ask('POST', `http://${addr}/prefill`, job, ms, Handle),
      order: (addr, slip, ms) => ask('POST', `http://${addr}/order`, slip, ms, BackState),
      state: (addr, ms) => ask('GET', `http://${addr}/state`, undefined, ms, BackState),
      async decode(addr, job, ms, take) {
        const stop = new AbortController();
        try {
          const r = await call(`http://${addr}/decode`, {
            method: 'POST',
            dispatcher: agent,
            headersTimeout: ms,
            bodyTimeout: ms,
            signal: stop.signal,
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(job),
          });
          if (r.statusCode !== 200) {
            const got = await BodyReader.json(r.body, SMALL);
            return Err(turned(got.ok ? got.val : null));
          }
          const lines = cutter(take);
          for await (const bit of r.body.setEncoding('utf8') as AsyncIterable<string>) {
            const why = lines.feed(bit);
            if (why) {
              stop.abort();
              return broken(why);
            }
          }
          return lines.rest() === '' ? Ok(null) : broken('ended inside a line');
        } catch (e) {
          return Err(fault(e));
        }
      },
      close: () => agent.destroy(),
    };
  },
};
