import { createHash } from 'node:crypto';
import { request as httpRequest, Agent, buildConnector } from 'undici';
import type { Socket } from 'node:net';
import type { AnswerLine, Request, Verdict } from './generated.js';
import type { AttemptResult } from './attemptresult.js';

const MAX_LINE_CHARACTERS = 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1000;
const tornVerdict = (why: string): Verdict => ({ ran: 'maybe', code: 'torn', why });

/** Parses and checks an answer stream line by line; `push` returns the result once it is known, else null. */
const createStreamReader = (onPiece: (text: string) => void) => {
  const hash = createHash('sha256');
  let pieceCount = 0;
  let text = '';
  let buffer = '';
  const incomplete = (verdict: Verdict): AttemptResult => ({
    whole: false,
    verdict,
    pieces: pieceCount,
    connected: true,
  });
  const readLine = (line: AnswerLine): AttemptResult | null => {
    if ('cut' in line) return incomplete(line.verdict);
    if ('end' in line) {
      const intact = line.count === pieceCount && line.digest === hash.digest('hex').slice(0, 24);
      return intact
        ? { whole: true, text }
        : incomplete(tornVerdict('the end line does not match the pieces received'));
    }
    if (line.n !== pieceCount + 1) return incomplete(tornVerdict('a piece is missing or duplicated'));
    pieceCount = line.n;
    hash.update(`${pieceCount}:${line.text}\n`);
    text += line.text;
    onPiece(line.text);
    return null;
  };
  return {
    incomplete,
    push(chunk: string): AttemptResult | null {
      buffer += chunk;
      for (let i = buffer.indexOf('\n'); i >= 0; i = buffer.indexOf('\n')) {
        const result = readLine(JSON.parse(buffer.slice(0, i)) as AnswerLine);
        if (result) return result;
        buffer = buffer.slice(i + 1);
      }
      return buffer.length > MAX_LINE_CHARACTERS ? incomplete(tornVerdict('a line is too long')) : null;
    },
  };
};

/**
 * HTTP calls to daemons. Invariants: an attempt number counts as unused only if establishing the connection failed; no
 * call takes longer than its timeout.
 */
export const DaemonClient = {
  make(onConnect: (s: Socket) => void = () => undefined) {
    const connectErrors = new WeakSet<object>();
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const agent = new Agent({
      connect: (o, done) =>
        connect(o, (e, s) => {
          if (e) {
            connectErrors.add(e);
            done(e, null);
            return;
          }
          onConnect(s);
          done(null, s);
        }),
    });
    return {
      close: (): Promise<void> => agent.destroy(),
      /** The two daemon incarnations that are to record a request, as named by a daemon; null if it names none. */
      async fetchOwners(addr: string, timeoutMs: number): Promise<string[] | null> {
        try {
          const response = await httpRequest(`http://${addr}/owners`, {
            dispatcher: agent,
            signal: AbortSignal.timeout(timeoutMs),
          });
          const reply = (await response.body.json()) as { owners?: string[] };
          return response.statusCode === 200 && reply.owners?.length === 2 ? reply.owners : null;
        } catch {
          return null;
        }
      },
      async request(
        addr: string,
        request: Request,
        timeoutMs: number,
        onPiece: (text: string) => void,
      ): Promise<AttemptResult> {
        const reader = createStreamReader(onPiece);
        try {
          const response = await httpRequest(`http://${addr}/visit`, {
            method: 'POST',
            dispatcher: agent,
            signal: AbortSignal.timeout(timeoutMs),
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(request),
          });
          if (response.statusCode !== 200)
            return reader.incomplete(((await response.body.json()) as { verdict: Verdict }).verdict);
          for await (const chunk of response.body.setEncoding('utf8') as AsyncIterable<string>) {
            const result = reader.push(chunk);
            if (result) return result;
          }
          return reader.incomplete(tornVerdict('the stream ended before its end line'));
        } catch (e) {
          const connected = !(typeof e === 'object' && e !== null && connectErrors.has(e));
          const result = reader.incomplete(tornVerdict((e as { code?: string }).code ?? String(e)));
          return result.whole ? result : { ...result, connected };
        }
      },
    };
  },
};
