import { Check, Err, Ok, type Result } from '@pumicebarrow/forms';
import type { TSchema, Static } from 'typebox';
import { Agent, request as call } from 'undici';
import type { Back } from './back.js';
import type { BackFault } from './backfault.js';
import { BackState } from './backstate.js';
import { Handle } from './handle.js';
import { Piece } from './piece.js';

const MOST = 1024 * 1024;
const CODES = ['busy', 'wrongpart', 'lapsed', 'old', 'late', 'bad'] as const;
const cause = (e: unknown): string => (e as { code?: string }).code ?? String((e as Error).message ?? e);

/** A fault before any reply. Only a connection that was never made proves that nothing was heard. */
const torn = (e: unknown): BackFault => {
  const code = cause(e), never = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'].includes(code);
  const silent = never || ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_SOCKET', 'ECONNRESET', 'UND_ERR_ABORTED'].includes(code);
  return { ran: never ? 'no' : 'maybe', code: never ? 'unreached' : 'broken', dark: silent, why: code };
};
/** A reply that is not 200: a server that turns a job away says why in JSON, and has not run it. */
const turned = (body: unknown): BackFault => {
  const code = (body as { code?: string } | null)?.code;
  const known = CODES.find((c) => c === code);
  return known ? { ran: 'no', code: known, dark: false, why: `turned it away: ${known}` } : { ran: 'maybe', code: 'broken', dark: false, why: 'gave a reply that makes no sense' };
};

/** Model servers over HTTP/1.1 with JSON. */
export const HttpBack = {
  make(): Back & { close(): Promise<void> } {
    const agent = new Agent({ connect: { timeout: 300 }, connections: 128, keepAliveTimeout: 4000 });
    const ask = async <S extends TSchema>(method: 'GET' | 'POST', url: string, body: unknown, ms: number, form: S): Promise<Result<Static<S>, BackFault>> => {
      try {
        const r = await call(url, {
          method, dispatcher: agent, headersTimeout: ms, bodyTimeout: ms, signal: AbortSignal.timeout(Math.ceil(ms) + 300),
          ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        const got: unknown = await r.body.json().catch(() => null);
        if (r.statusCode !== 200) return Err(turned(got));
        const seen = Check.parse(form, got);
        return seen.ok ? seen : Err({ ran: 'maybe', code: 'bad', dark: false, why: 'gave a reply of the wrong shape' });
      } catch (e) {
        return Err(torn(e));
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
            method: 'POST', dispatcher: agent, headersTimeout: ms, bodyTimeout: ms, signal: stop.signal,
            headers: { 'content-type': 'application/json' }, body: JSON.stringify(job),
          });
          if (r.statusCode !== 200) return Err(turned(await r.body.json().catch(() => null)));
          let held = '';
          for await (const bit of r.body.setEncoding('utf8') as AsyncIterable<string>) {
            held += bit;
            for (let i = held.indexOf('\n'); i >= 0; i = held.indexOf('\n')) {
              const line = held.slice(0, i);
              held = held.slice(i + 1);
              let v: unknown = null;
              try { v = JSON.parse(line); } catch { /* told below */ }
              if (!Check.is(Piece, v)) { stop.abort(); return Err({ ran: 'maybe', code: 'broken', dark: false, why: 'streamed a line that is no piece' }); }
              if (!take(v as Piece)) { stop.abort(); return Err({ ran: 'maybe', code: 'broken', dark: false, why: 'the stream was given up' }); }
            }
            if (held.length > MOST) { stop.abort(); return Err({ ran: 'maybe', code: 'broken', dark: false, why: 'streamed a line too long' }); }
          }
          return held === '' ? Ok(null) : Err({ ran: 'maybe', code: 'broken', dark: false, why: 'ended inside a line' });
        } catch (e) {
          return Err(torn(e));
        }
      },
      close: () => agent.destroy(),
    };
  },
};
