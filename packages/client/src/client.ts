import type { Socket } from 'node:net';
import type { Request, Verdict } from './generated.js';
import { DaemonClient } from './line.js';
import type { AttemptResult } from './trying.js';
import type { RequestResult } from './requestresult.js';

type Options = {
  /** Calls at the most. */
  tries?: number;
  /** ms from the start in which the answer must have come. */
  deadline?: number;
  /** Names the owners of each request, so that it runs once even if a call is doubled on its way. */
  pin?: boolean;
  sleep?: (ms: number) => Promise<void>;
  onConnect?: (s: Socket) => void;
};
const OWNERS_TIMEOUT_MS = 1000;
const RETRY_DELAY_S = 1;
const UNREACHED_RETRY_DELAY_S = 0.2;
const sleep = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });
const unreached: Verdict = { ran: 'no', code: 'unreached', why: 'no daemon could be reached' };
/** Whether asking again is safe: nothing was used, it has not run, or the next daemon will know if it may have. */
const canRetry = (result: Extract<AttemptResult, { whole: false }>): boolean =>
  !result.connected || result.verdict.ran === 'no' || (result.verdict.code === 'torn' && result.pieces === 0);

/**
 * A caller. Invariants: an attempt number is used once, but for a connection that was never made; a request is tried
 * again only when told that it has not run, after the time it was told, and at the next daemon; a text is given only
 * if it is whole; nothing goes on after the deadline.
 */
export const Client = {
  make(daemons: readonly string[], options: Options = {}) {
    const daemonClient = DaemonClient.make(options.onConnect);
    const maxAttempts = options.tries ?? 4;
    const sleepFor = options.sleep ?? sleep;
    let next = 0;
    const nextDaemon = (): string => daemons[next++ % daemons.length]!;
    const queryOwners = async (): Promise<string[] | null> => {
      for (let i = 0; i < daemons.length; i++) {
        const named = await daemonClient.owners(nextDaemon(), OWNERS_TIMEOUT_MS);
        if (named) return named;
      }
      return null;
    };
    const client = {
      close: daemonClient.close,
      async request(
        request: Omit<Request, 'attempt'>,
        onPiece: (text: string) => void = () => undefined,
      ): Promise<RequestResult> {
        const deadline = performance.now() + (options.deadline ?? 60_000);
        const owners = options.pin ? await queryOwners() : null;
        if (options.pin && !owners) return { whole: false, verdict: unreached, pieces: 0, attempt: 0 };
        const pinned = owners ? { ...request, owners: owners as [string, string] } : request;
        let attempt = 1;
        for (let i = 1; ; i++) {
          const result = await daemonClient.request(
            nextDaemon(),
            { ...pinned, attempt },
            Math.max(1, Math.ceil(deadline - performance.now())),
            onPiece,
          );
          if (result.whole) return { whole: true, text: result.text, attempt };
          const delayMs = (result.verdict.after ?? (result.connected ? RETRY_DELAY_S : UNREACHED_RETRY_DELAY_S)) * 1000;
          if (!canRetry(result) || i >= maxAttempts || performance.now() + delayMs > deadline) {
            return {
              whole: false,
              verdict: result.connected ? result.verdict : unreached,
              pieces: result.pieces,
              attempt,
            };
          }
          if (result.connected) attempt++;
          await sleepFor(delayMs);
        }
      },
    };
    /** `visit` is the older name, under which callers know it. */
    return { ...client, visit: client.request };
  },
};
