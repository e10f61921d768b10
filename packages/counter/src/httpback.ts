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

const MAX_REPLY_BYTES = 1024 * 1024;
const MAX_LINE_BYTES = 64 * 1024;
const REJECTION_CODES = ['busy', 'wrongpart', 'lapsed', 'old', 'late', 'bad'] as const;
const NO_REPLY_CODES = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_SOCKET', 'ECONNRESET', 'UND_ERR_ABORTED'];
const errorCode = (error: unknown): string => (error as { code?: string }).code ?? String((error as Error).message ?? error);
const brokenStream = (reason: string): Result<never, BackFault> => Err({ ran: 'maybe', code: 'broken', dark: false, why: reason });

/** A fault before any reply. Only a connection that was never made proves that nothing was heard. */
const transportFault = (error: unknown, connectFailed: boolean): BackFault => {
  const code = errorCode(error);
  return {
    ran: connectFailed ? 'no' : 'maybe',
    code: connectFailed ? 'unreached' : 'broken',
    dark: connectFailed || NO_REPLY_CODES.includes(code),
    why: code,
  };
};
/** A reply that is not 200: a server that turns a job away says why in JSON, and has not run it. */
const rejectionFault = (body: unknown): BackFault => {
  const code = (body as { code?: string } | null)?.code;
  const rejectionCode = REJECTION_CODES.find((c) => c === code);
  if (rejectionCode) return { ran: 'no', code: rejectionCode, dark: false, why: `turned it away: ${rejectionCode}` };
  return { ran: 'maybe', code: 'broken', dark: false, why: 'gave a reply that makes no sense' };
};
/** Cuts what comes into lines, and hands each on as a piece; gives why the stream can't go on, or null. */
const lineSplitter = (onLine: (line: Piece) => boolean) => {
  let buffered = '';
  const parseLine = (text: string): string | null => {
    let value: unknown = null;
    try {
      value = JSON.parse(text);
    } catch {
      /* told below */
    }
    if (!Check.is(Piece, value)) return 'streamed a line that is no piece';
    return onLine(value as Piece) ? null : 'the stream was given up';
  };
  return {
    remainder: (): string => buffered,
    push(chunk: string): string | null {
      buffered += chunk;
      for (let lineEnd = buffered.indexOf('\n'); lineEnd >= 0; lineEnd = buffered.indexOf('\n')) {
        const reason = parseLine(buffered.slice(0, lineEnd));
        if (reason) return reason;
        buffered = buffered.slice(lineEnd + 1);
      }
      return buffered.length > MAX_LINE_BYTES ? 'streamed a line too long' : null;
    },
  };
};

/**
 * Model servers over HTTP/1.1 with JSON. Invariants: nothing waits for a connection that other work has taken, so what
 * was looked at before a send still holds when it leaves; no reply, and no line of one, is held beyond a fixed size.
 */
export const HttpBack = {
  make(onConnect: (s: Socket) => void = () => undefined): Back & { close(): Promise<void> } {
    const dialer = Dialer.make(onConnect);
    const agent = new Agent({ connect: dialer.connect, keepAliveTimeout: 4000 });
    const faultOf = (error: unknown): BackFault => transportFault(error, dialer.isConnectError(error));
    const requestJson = async <S extends TSchema>(
      method: 'GET' | 'POST',
      url: string,
      body: unknown,
      timeoutMs: number,
      schema: S,
    ): Promise<Result<NoInfer<Static<S>>, BackFault>> => {
      try {
        const response = await call(url, {
          method,
          dispatcher: agent,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
          signal: AbortSignal.timeout(Math.ceil(timeoutMs) + 300),
          ...(body === undefined
            ? {}
            : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
        });
        const replyBody = await BodyReader.json(response.body, MAX_REPLY_BYTES);
        if (response.statusCode !== 200) return Err(rejectionFault(replyBody.ok ? replyBody.val : null));
        const parsed = replyBody.ok ? Check.parse(schema, replyBody.val) : replyBody;
        return parsed.ok ? parsed : Err({ ran: 'maybe', code: 'bad', dark: false, why: 'gave a reply of the wrong shape' });
      } catch (error) {
        return Err(faultOf(error));
      }
    };
    return {
      prefill: (addr, job, timeoutMs) => requestJson('POST', `http://${addr}/prefill`, job, timeoutMs, Handle),
      order: (addr, order, timeoutMs) => requestJson('POST', `http://${addr}/order`, order, timeoutMs, BackState),
      state: (addr, timeoutMs) => requestJson('GET', `http://${addr}/state`, undefined, timeoutMs, BackState),
      async decode(addr, job, timeoutMs, onLine) {
        const abortController = new AbortController();
        try {
          const response = await call(`http://${addr}/decode`, {
            method: 'POST',
            dispatcher: agent,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal: abortController.signal,
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(job),
          });
          if (response.statusCode !== 200) {
            const replyBody = await BodyReader.json(response.body, MAX_LINE_BYTES);
            return Err(rejectionFault(replyBody.ok ? replyBody.val : null));
          }
          const splitter = lineSplitter(onLine);
          for await (const chunk of response.body.setEncoding('utf8') as AsyncIterable<string>) {
            const reason = splitter.push(chunk);
            if (reason) {
              abortController.abort();
              return brokenStream(reason);
            }
          }
          return splitter.remainder() === '' ? Ok(null) : brokenStream('ended inside a line');
        } catch (error) {
          return Err(faultOf(error));
        }
      },
      close: () => agent.destroy(),
    };
  },
};
