import type { Socket } from 'node:net';
import type { Request, Verdict } from './generated.js';
import { DaemonClient } from './daemonclient.js';
import type { AttemptResult } from './attemptresult.js';
import type { RequestResult } from './requestresult.js';

/** Options of a client. */
type Options = {
  /** Maximum number of calls for one request. */
  tries?: number;
  /** Time limit for the whole request, in ms from its start. */
  deadline?: number;
  /** Pins the two owners of each request, so that it runs once even if the network duplicates a call. */
  pin?: boolean;
  /** Replaces the wait between attempts, for tests. */
  nap?: (ms: number) => Promise<void>;
  /** Called with each new connection. */
  met?: (s: Socket) => void;
};
const OWNERS_TIMEOUT_MS = 1000;
/** Delays used where the reply names none. */
const RETRY_DELAY_S = 1;
const UNREACHED_RETRY_DELAY_S = 0.2;
const sleep = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });
const unreached: Verdict = { ran: 'no', code: 'unreached', why: 'no daemon could be reached' };
/**
 * Whether a retry is safe: the attempt number is unused, the request has not run, or the connection broke before the
 * first piece, in which case the next daemon can tell whether the request may have run.
 */
const canRetry = (result: Extract<AttemptResult, { whole: false }>): boolean =>
  !result.connected || result.verdict.ran === 'no' || (result.verdict.code === 'torn' && result.pieces === 0);

/**
 * Client of counter daemons, with retries. Invariants: an attempt number is reused only if the connection was never
 * made; a request is retried only when that is safe, at the next daemon, after the delay the reply asked for; a text is
 * returned only if it is complete; nothing continues after the deadline.
 */
export const Client = {
  make(daemons: readonly string[], options: Options = {}) {
    const daemonClient = DaemonClient.make(options.met);
    const maxAttempts = options.tries ?? 4;
    const sleepFor = options.nap ?? sleep;
    let nextIndex = 0;
    const nextDaemon = (): string => daemons[nextIndex++ % daemons.length]!;
    const queryOwners = async (): Promise<string[] | null> => {
      for (let i = 0; i < daemons.length; i++) {
        const named = await daemonClient.fetchOwners(nextDaemon(), OWNERS_TIMEOUT_MS);
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
    /** `visit` is an alias of `request`, kept for existing callers. */
    return { ...client, visit: client.request };
  },
};
