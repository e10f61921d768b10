import type { Verdict } from '@pumicebarrow/forms';
import { Text } from '@pumicebarrow/sim';
import { Agent, request as call } from 'undici';

type Request = { key: string; attempt: number; rule: string; prefix: string; part: string };
type Out = {
  kind: 'whole' | 'wrong' | 'cut' | 'refused' | 'torn' | 'unreached';
  pieces: number;
  verdict: Verdict | null;
  ms: number;
};

/** A stand-in caller over HTTP, which checks its answer piece by piece. */
export const HttpCaller = {
  make() {
    const agent = new Agent({ connections: 256, connect: { timeout: 500 } });
    return {
      close: (): Promise<void> => agent.destroy(),
      async request(http: string, v: Request, most: number): Promise<Out> {
        const from = performance.now(),
          expect = Text.digest(v.prefix, v.part);
        let n = 0;
        const out = (kind: Out['kind'], verdict: Verdict | null = null): Out => ({
          kind,
          pieces: n,
          verdict,
          ms: performance.now() - from,
        });
        try {
          const r = await call(`http://${http}/visit`, {
            method: 'POST',
            dispatcher: agent,
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(v),
            headersTimeout: 20_000,
            bodyTimeout: 20_000,
          });
          if (r.statusCode !== 200) return out('refused', ((await r.body.json()) as { verdict: Verdict }).verdict);
          const text = await r.body.text();
          for (const line of text.split('\n').filter((l) => l !== '')) {
            const p = JSON.parse(line) as {
              n?: number;
              text?: string;
              end?: true;
              count?: number;
              cut?: true;
              verdict?: Verdict;
            };
            if (p.cut) return out('cut', p.verdict ?? null);
            if (p.end) return out(p.count === n && n === Text.count(expect, most) ? 'whole' : 'wrong');
            if (p.n !== n + 1 || p.text !== Text.piece(expect, p.n)) return out('wrong');
            n = p.n;
          }
          return out('torn');
        } catch (e) {
          const code = (e as { code?: string }).code ?? '';
          return out(code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' ? 'unreached' : 'torn');
        }
      },
    };
  },
};
