import { createHash } from 'node:crypto';
import { request as call } from 'undici';
import type { OutcomeLine, Verdict, Visit } from './generated.js';
import type { Visiting } from './visiting.js';

type Try = { whole: true; text: string } | { whole: false; verdict: Verdict; pieces: number; made: boolean };
const NEVER = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];
const torn = (why: string): Verdict => ({ ran: 'maybe', code: 'torn', why });

/**
 * A caller. Invariants: an attempt number is used once, but for a connection that was never made; a visit is tried
 * again only when told that it has not run, after the time it was told; a text is given only if it is whole.
 */
export const Client = {
  make(
    daemons: readonly string[],
    tries = 4,
    nap: (ms: number) => Promise<void> = (ms) =>
      new Promise((done) => {
        setTimeout(done, ms);
      }),
  ) {
    let next = 0;
    const once = async (addr: string, v: Visit, piece: (text: string) => void): Promise<Try> => {
      let n = 0;
      try {
        const r = await call(`http://${addr}/visit`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(v),
        });
        if (r.statusCode !== 200)
          return {
            whole: false,
            verdict: ((await r.body.json()) as { verdict: Verdict }).verdict,
            pieces: 0,
            made: true,
          };
        const hash = createHash('sha256');
        let text = '',
          held = '';
        for await (const bit of r.body.setEncoding('utf8') as AsyncIterable<string>) {
          held += bit;
          for (let i = held.indexOf('\n'); i >= 0; i = held.indexOf('\n')) {
            const line = JSON.parse(held.slice(0, i)) as OutcomeLine;
            held = held.slice(i + 1);
            if ('cut' in line) return { whole: false, verdict: line.verdict, pieces: n, made: true };
            if ('end' in line) {
              const good = line.count === n && line.digest === hash.digest('hex').slice(0, 24);
              return good
                ? { whole: true, text }
                : { whole: false, verdict: torn('the end does not agree with the pieces'), pieces: n, made: true };
            }
            if (line.n !== n + 1)
              return { whole: false, verdict: torn('a piece is missing or came twice'), pieces: n, made: true };
            n = line.n;
            hash.update(`${n}:${line.text}\n`);
            text += line.text;
            piece(line.text);
          }
        }
        return { whole: false, verdict: torn('the stream ended without its end'), pieces: n, made: true };
      } catch (e) {
        const code = (e as { code?: string }).code ?? '';
        return { whole: false, verdict: torn(code), pieces: n, made: !NEVER.includes(code) };
      }
    };
    return {
      async visit(v: Omit<Visit, 'attempt'>, piece: (text: string) => void = () => undefined): Promise<Visiting> {
        let attempt = 1;
        for (let i = 0; ; i++) {
          const got = await once(daemons[next++ % daemons.length]!, { ...v, attempt }, piece);
          if (got.whole) return { whole: true, text: got.text, attempt };
          const again = !got.made || got.verdict.ran === 'no' || (got.verdict.code === 'torn' && got.pieces === 0);
          if (!again || i + 1 >= tries)
            return {
              whole: false,
              verdict: got.made ? got.verdict : { ran: 'no', code: 'unreached', why: 'no daemon could be reached' },
              pieces: got.pieces,
              attempt,
            };
          if (got.made) attempt++;
          await nap((got.verdict.after ?? (got.made ? 1 : 0.2)) * 1000);
        }
      },
    };
  },
};
