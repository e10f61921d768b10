import type { Result } from '@pumicebarrow/forms';
import { Blame } from './blame.js';
import type { Heard } from './heard.js';
import type { Job } from './job.js';
import { Rounds } from './rounds.js';
import type { SendFault } from './sendfault.js';
import type { Server } from './server.js';
import type { ServeTools } from './servetools.js';
import { Urgency } from './urgency.js';

const LOOK = 100;
const FAILED = 500;
/** What clients take for the promise that a request has not run: unless the server's words say so, it may have. */
const PROMISES: ReadonlySet<number> = new Set([408, 429, 503]);
/** ms without a byte from a server, while one is due, after which it is under suspicion. */
const SILENT = 900;
/** ms after which a request that may run again goes elsewhere: before its first event, and between events. */
const FIRST = 2200;
/** Runs at a server from which on it has much to do. */
const BUSY = 8;
const NEXT = 1300;
/** ms between events of an idle server, and what each run beside adds. */
const GAP = 35;
const EACH = 1.6;
const ENOUGH = 3;

/**
 * A request is run by a server. Invariants: the list is looked at in the turn of the send; bytes go out only as whole
 * events, in the server's order; a second run goes on after the last event that went out, under the first head; a
 * status that promises what the server did not say of a request that may not run twice is never passed on.
 */
export const DecodeRunner = {
  make(t: ServeTools) {
    const now = (): number => t.world.clock.mono();
    const watch = Rounds.make(t.world.clock, LOOK);
    /** Whether another server may take it up once this one may have run it. */
    const again = (job: Job): boolean =>
      (job.route.resumable && job.route.kind === 'stream') || (job.route.kind === 'idempotent' && !job.responseStarted);
    /** Looks after a run: suspects a server that is silent, and gives up waiting where it may go on elsewhere. */
    const guard = (job: Job, s: Server, stop: AbortController) => {
      let last = now();
      let told = false;
      const stopped = watch(() => {
        const quiet = now() - last;
        if (quiet > SILENT && t.health.silent(s.id) > SILENT && !told) {
          told = true;
          t.suspect(s, `silent for ${Math.round(quiet)} ms`);
        }
        const most = job.eventsSent > 0 ? NEXT : FIRST;
        // A server with much to do may be late with one; one with little to do, or wholly silent, has lost it.
        const lost = t.health.silent(s.id) > SILENT || t.loads.at(s.id).runs < BUSY;
        if (again(job) && quiet > most && lost && job.arrivals < job.route.tries) stop.abort('late');
      });
      return {
        stir(): void {
          last = now();
          told = false;
          t.health.stir(s.id);
        },
        stop: stopped,
      };
    };
    const hearer = (job: Job, s: Server, stir: () => void, read: () => void): Heard => ({
      stir,
      head(status, headers) {
        // A failure that the server tells of is an answer, but one that may run again goes elsewhere before it is told.
        if (status >= FAILED && again(job) && job.arrivals < job.route.tries) return false;
        if (PROMISES.has(status) && !again(job)) return false;
        if (job.responseStarted) return status === job.status;
        job.responseStarted = true;
        job.status = status;
        job.writer.head(status, headers);
        return true;
      },
      event(id, bytes) {
        read();
        if (id !== null) job.lastEventId = id;
        if (job.eventsSent === 0) t.log.note(job.request.id, 'first', { at: s.id });
        job.eventsSent++;
        return job.writer.bytes(bytes);
      },
    });
    const send = async (job: Job, s: Server): Promise<Result<void, SendFault>> => {
      const p = job.request.prompt;
      const fresh = p && !job.handle ? t.placement.fresh(s, p) : 0;
      const free = t.loads.run(s.id),
        read = t.loads.read(s.id, fresh);
      const stop = new AbortController();
      const gone = (): void => stop.abort('gone');
      job.left.signal.addEventListener('abort', gone);
      const kept = guard(job, s, stop);
      const beside = t.loads.at(s.id).runs;
      const before = job.eventsSent;
      const from = now();
      const handle = job.handle;
      t.log.note(job.request.id, 'run', { at: s.id, word: handle?.server.id ?? '', tokens: fresh, ahead: beside - 1 });
      job.handle = null;
      const ms = Math.max(1, job.due - now());
      const terms = {
        ms,
        urgency: Urgency.of({ aim: job.route.aim, rank: job.rank }, fresh / t.pace.now(), job.ahead),
        signal: stop.signal,
      };
      const got = await t.engine.run(s, job.request, handle, job.lastEventId, terms, hearer(job, s, kept.stir, read));
      kept.stop();
      t.counters.count('runs', got.ok ? 'ok' : got.val.code);
      const more = job.eventsSent - before;
      if (more > ENOUGH) t.speed.note(s.id, (now() - from) / more, GAP + beside * EACH);
      free();
      read();
      job.left.signal.removeEventListener('abort', gone);
      // A send that never arrived has taken nothing: the memory may still be fetched by another.
      if (got.err && Blame.neverArrived(got.val)) job.handle = handle;
      return got;
    };
    /** A handle that can't be had and a server that is full are told alike: the one that gave the handle is asked. */
    const turned = (s: Server, f: SendFault, giver: Server | null): void => {
      if (!giver || f.code !== 'refused') t.turned(s);
      else if (t.health.lapse(giver.id)) t.suspect(giver, 'its handles lapse');
    };
    const judge = (job: Job, s: Server, from: number, giver: Server | null, got: Result<void, SendFault>): boolean => {
      if (got.ok) {
        if (giver) t.health.fetched(giver.id);
        if (job.request.prompt) t.kept.note(s.id, job.request.prompt);
        job.fault = null;
        if (job.status >= FAILED) t.suspect(s, `answered ${job.status}`);
        else t.health.good(s.id, from);
        return true;
      }
      const f = got.val;
      job.fault = f;
      t.log.note(job.request.id, 'failed', { at: s.id, word: f.code, why: f.why });
      job.avoid.add(s.id);
      if (f.code === 'gone' && job.left.signal.aborted) {
        // The client may still be there: its key was taken away.
        job.mayHaveRun ||= f.ran !== 'no';
        return true;
      }
      if (Blame.neverArrived(f)) job.arrivals--;
      if (Blame.turned(f)) turned(s, f, giver);
      if (f.code === 'gone' || Blame.falls(f, t.health.silent(s.id), SILENT)) t.suspect(s, f.why);
      if (f.ran === 'no') return false;
      job.mayHaveRun = true;
      return !again(job);
    };
    /** Gives true once the job is over: whole, cut, or without a way on. */
    return async (job: Job): Promise<boolean> => {
      const s = t.placement.decode(job.service, job.request.prompt, job.handle?.server ?? null, job.avoid);
      if (!s) return true;
      if (job.arrivals > 0 && !t.budgets.of(job.service.name).take()) return true;
      job.arrivals++;
      const from = now();
      const giver = job.handle?.server ?? null;
      const over = t.health.begin(s.id);
      const ended = judge(job, s, from, giver, await send(job, s));
      over();
      return ended;
    };
  },
};
