import type { Socket } from 'node:net';
import type { Request, Verdict } from './generated.js';
import { Line } from './line.js';
import type { Trying } from './trying.js';
import type { RequestResult } from './requestresult.js';

type Options = {
  /** Calls at the most. */
  tries?: number;
  /** ms from the start in which the answer must have come. */
  deadline?: number;
  /** Names the owners of each request, so that it runs once even if a call is doubled on its way. */
  pin?: boolean;
  nap?: (ms: number) => Promise<void>;
  met?: (s: Socket) => void;
};
const ASK = 1000;
const AGAIN = 1;
const SOON = 0.2;
const sleep = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });
const unreached: Verdict = { ran: 'no', code: 'unreached', why: 'no daemon could be reached' };
/** Whether asking again is safe: nothing was used, it has not run, or the next daemon will know if it may have. */
const again = (t: Extract<Trying, { whole: false }>): boolean =>
  !t.made || t.verdict.ran === 'no' || (t.verdict.code === 'torn' && t.pieces === 0);

/**
 * A caller. Invariants: an attempt number is used once, but for a connection that was never made; a request is tried
 * again only when told that it has not run, after the time it was told, and at the next daemon; a text is given only
 * if it is whole; nothing goes on after the deadline.
 */
export const Client = {
  make(daemons: readonly string[], o: Options = {}) {
    const line = Line.make(o.met);
    const tries = o.tries ?? 4;
    const nap = o.nap ?? sleep;
    let next = 0;
    const daemon = (): string => daemons[next++ % daemons.length]!;
    const pins = async (): Promise<string[] | null> => {
      for (let i = 0; i < daemons.length; i++) {
        const got = await line.owners(daemon(), ASK);
        if (got) return got;
      }
      return null;
    };
    const caller = {
      close: line.close,
      async request(
        v: Omit<Request, 'attempt'>,
        piece: (text: string) => void = () => undefined,
      ): Promise<RequestResult> {
        const end = performance.now() + (o.deadline ?? 60_000);
        const owners = o.pin ? await pins() : null;
        if (o.pin && !owners) return { whole: false, verdict: unreached, pieces: 0, attempt: 0 };
        const named = owners ? { ...v, owners: owners as [string, string] } : v;
        let attempt = 1;
        for (let i = 1; ; i++) {
          const got = await line.request(
            daemon(),
            { ...named, attempt },
            Math.max(1, Math.ceil(end - performance.now())),
            piece,
          );
          if (got.whole) return { whole: true, text: got.text, attempt };
          const wait = (got.verdict.after ?? (got.made ? AGAIN : SOON)) * 1000;
          if (!again(got) || i >= tries || performance.now() + wait > end) {
            return { whole: false, verdict: got.made ? got.verdict : unreached, pieces: got.pieces, attempt };
          }
          if (got.made) attempt++;
          await nap(wait);
        }
      },
    };
    /** `visit` is the older name, under which callers know it. */
    return { ...caller, visit: caller.request };
  },
};
