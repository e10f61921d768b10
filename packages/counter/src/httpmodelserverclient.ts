import { SchemaCheck, Err, Ok, type Result } from '@pumicebarrow/forms';
import type { Socket } from 'node:net';
import type { TSchema, Static } from 'typebox';
import { Agent, request as call } from 'undici';
import type { ModelServerClient } from './modelserverclient.js';
import type { ModelServerFault } from './modelserverfault.js';
import { ModelServerState } from './modelserverstate.js';
import { BodyReader } from './bodyreader.js';
import { Dialer } from './dialer.js';
import { KvCacheHandle } from './kvcachehandle.js';
import { DecodeStreamLine } from './decodestreamline.js';

const MAX_REPLY_BYTES = 1024 * 1024;
/** Limit for one line of a decode stream, and for the body of a rejected decode request. */
const MAX_LINE_BYTES = 64 * 1024;
const REJECTION_CODES = ['busy', 'wrongpart', 'lapsed', 'old', 'late', 'bad'] as const;
/** Error codes that mean that the server stopped replying. */
const NO_REPLY_CODES = [
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'UND_ERR_ABORTED',
];
const errorCode = (error: unknown): string =>
  (error as { code?: string }).code ?? String((error as Error).message ?? error);
const brokenStream = (reason: string): Result<never, ModelServerFault> =>
  Err({ ran: 'maybe', code: 'broken', dark: false, why: reason });

/** Fault for a transport error. Only a failure to connect proves that the server received nothing. */
const transportFault = (error: unknown, connectFailed: boolean): ModelServerFault => {
  const code = errorCode(error);
  return {
    ran: connectFailed ? 'no' : 'maybe',
    code: connectFailed ? 'unreached' : 'broken',
    dark: connectFailed || NO_REPLY_CODES.includes(code),
    why: code,
  };
};
/** Fault for a status other than 200. A server that rejects a job says why by a known code and has not run the job. */
const rejectionFault = (body: unknown): ModelServerFault => {
  const code = (body as { code?: string } | null)?.code;
  const rejectionCode = REJECTION_CODES.find((c) => c === code);
  if (rejectionCode) return { ran: 'no', code: rejectionCode, dark: false, why: `turned it away: ${rejectionCode}` };
  return { ran: 'maybe', code: 'broken', dark: false, why: 'gave a reply that makes no sense' };
};
/**
 * Splits the stream into lines and passes each one on, parsed. `push` returns null, or the reason why the stream cannot
 * continue.
 */
const lineSplitter = (onLine: (line: DecodeStreamLine) => boolean) => {
  let buffered = '';
  const parseLine = (text: string): string | null => {
    let value: unknown = null;
    try {
      value = JSON.parse(text);
    } catch {
      /* `value` stays null and fails the schema check below */
    }
    if (!SchemaCheck.matches(DecodeStreamLine, value)) return 'streamed a line that is no piece';
    return onLine(value as DecodeStreamLine) ? null : 'the stream was given up';
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
 * Client of the model servers over HTTP/1.1 with JSON. Invariants: no request waits for a connection that another one
 * occupies, so what was checked before a send still holds when the request leaves; replies, and lines of a stream, are
 * buffered only up to a fixed size.
 */
export const HttpModelServerClient = {
  make(onConnect: (s: Socket) => void = () => undefined): ModelServerClient & { close(): Promise<void> } {
    const dialer = Dialer.make(onConnect);
    const agent = new Agent({ connect: dialer.connect, keepAliveTimeout: 4000 });
    const faultOf = (error: unknown): ModelServerFault => transportFault(error, dialer.isConnectError(error));
    const requestJson = async <S extends TSchema>(
      method: 'GET' | 'POST',
      url: string,
      body: unknown,
      timeoutMs: number,
      schema: S,
    ): Promise<Result<NoInfer<Static<S>>, ModelServerFault>> => {
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
        const parsed = replyBody.ok ? SchemaCheck.parse(schema, replyBody.val) : replyBody;
        return parsed.ok
          ? parsed
          : Err({ ran: 'maybe', code: 'bad', dark: false, why: 'gave a reply of the wrong shape' });
      } catch (error) {
        return Err(faultOf(error));
      }
    };
    return {
      prefill: (addr, job, timeoutMs) => requestJson('POST', `http://${addr}/prefill`, job, timeoutMs, KvCacheHandle),
      setStage: (addr, order, timeoutMs) =>
        requestJson('POST', `http://${addr}/order`, order, timeoutMs, ModelServerState),
      fetchState: (addr, timeoutMs) =>
        requestJson('GET', `http://${addr}/state`, undefined, timeoutMs, ModelServerState),
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
