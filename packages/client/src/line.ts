import { createHash } from 'node:crypto';
import { request as call, Agent, buildConnector } from 'undici';
import type { Socket } from 'node:net';
import type { AnswerLine, Request, Verdict } from './generated.js';
import type { Trying } from './trying.js';

const LONGEST = 1024 * 1024;
const CONNECT = 1000;
const torn = (why: string): Verdict => ({ ran: 'maybe', code: 'torn', why });

/** Checks lines as they come: gives what came of the call once that is known, else null. */
const reader = (piece: (text: string) => void) => {
  const hash = createHash('sha256');
  let n = 0;
  let text = '';
  let held = '';
  const short = (verdict: Verdict): Trying => ({ whole: false, verdict, pieces: n, made: true });
  const read = (line: AnswerLine): Trying | null => {
    if ('cut' in line) return short(line.verdict);
    if ('end' in line) {
      const good = line.count === n && line.digest === hash.digest('hex').slice(0, 24);
      return good ? { whole: true, text } : short(torn('the end does not agree with the pieces'));
    }
    if (line.n !== n + 1) return short(torn('a piece is missing or came twice'));
    n = line.n;
    hash.update(`${n}:${line.text}\n`);
    text += line.text;
    piece(line.text);
    return null;
  };
  return {
    short,
    feed(bit: string): Trying | null {
      held += bit;
      for (let i = held.indexOf('\n'); i >= 0; i = held.indexOf('\n')) {
        const got = read(JSON.parse(held.slice(0, i)) as AnswerLine);
        if (got) return got;
        held = held.slice(i + 1);
      }
      return held.length > LONGEST ? short(torn('a line too long')) : null;
    },
  };
};

/**
 * A caller's connections. Invariants: only an error that came of making a connection says that the attempt was not
 * used; no call outlasts the time it is given.
 */
export const Line = {
  make(met: (s: Socket) => void = () => undefined) {
    const unmade = new WeakSet<object>();
    const dial = buildConnector({ timeout: CONNECT });
    const agent = new Agent({
      connect: (o, done) =>
        dial(o, (e, s) => {
          if (e) {
            unmade.add(e);
            done(e, null);
            return;
          }
          met(s);
          done(null, s);
        }),
    });
    return {
      close: (): Promise<void> => agent.destroy(),
      /** The two lives that are to record a request, as a daemon names them; null when it does not. */
      async owners(addr: string, ms: number): Promise<string[] | null> {
        try {
          const r = await call(`http://${addr}/owners`, { dispatcher: agent, signal: AbortSignal.timeout(ms) });
          const got = (await r.body.json()) as { owners?: string[] };
          return r.statusCode === 200 && got.owners?.length === 2 ? got.owners : null;
        } catch {
          return null;
        }
      },
      async request(addr: string, v: Request, ms: number, piece: (text: string) => void): Promise<Trying> {
        const lines = reader(piece);
        try {
          const r = await call(`http://${addr}/visit`, {
            method: 'POST',
            dispatcher: agent,
            signal: AbortSignal.timeout(ms),
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(v),
          });
          if (r.statusCode !== 200) return lines.short(((await r.body.json()) as { verdict: Verdict }).verdict);
          for await (const bit of r.body.setEncoding('utf8') as AsyncIterable<string>) {
            const got = lines.feed(bit);
            if (got) return got;
          }
          return lines.short(torn('the stream ended without its end'));
        } catch (e) {
          const made = !(typeof e === 'object' && e !== null && unmade.has(e));
          const got = lines.short(torn((e as { code?: string }).code ?? String(e)));
          return got.whole ? got : { ...got, made };
        }
      },
    };
  },
};
