import { Err, Ok, type Clock, type Result } from '@pumicebarrow/forms';
import type {
  ModelServerClient,
  KvCacheHandle,
  RunObserver,
  ClientRequest,
  SendFault,
  Server,
} from '@pumicebarrow/router';
import type { Box, Motor } from '@pumicebarrow/sim';
import type { Bent } from './bent.js';
import { Deliveries } from './deliveries.js';
import type { ModelPlatform } from './modelplatform.js';
import type { ModelServer } from './modelserver.js';
import type { Piece } from './piece.js';
import type { Seen } from './seen.js';
import { WorkOf } from './workof.js';

type Model = ReturnType<typeof ModelServer.make>;
type Told<T> = (r: Result<T, SendFault>) => void;
type Terms = { ms: number; signal: AbortSignal | null };
type Begin<T> = (to: Model, back: (fn: () => void) => void, done: Told<T>) => () => void;
const CONNECT = 600;
const STALE = 0.5;
const bytes = (p: Piece): Uint8Array => new TextEncoder().encode(JSON.stringify(p));

/**
 * The port to model servers of one machine, over links that are cut, and servers that reset, keep silent or spoil an
 * answer. Invariants: 'no' is said only where nothing was written or the server said so; bytes come in order; what a
 * killed life had open is reset, and what came back for it is lost.
 */
export const ModelEngine = {
  make(
    motor: Motor,
    box: Box,
    clock: Clock,
    platform: ReturnType<typeof ModelPlatform.make>,
    mute: (a: string, b: string) => boolean,
    bent: Bent,
    tell: (x: Seen) => void,
  ): ModelServerClient & { reset(): void } {
    const mine = box.life();
    const open = new Set<() => void>();
    let last: KvCacheHandle | null = null;
    let orders = 0;
    const delay = (): number => 0.3 + motor.chance.real() * 1.2;
    const exchange = <T>(server: Server, terms: Terms, begin: Begin<T>): Promise<Result<T, SendFault>> =>
      new Promise((resolve) => {
        let over = false;
        let written = false;
        let drop: () => void = () => undefined;
        const target = platform.at(server.addr);
        const cut = (): boolean =>
          target !== undefined && (mute(box.id, target.id) || mute(target.id, box.id) || target.state() === 'dark');
        const inward = Deliveries.make(motor, () => cut() || box.frozen(), delay);
        const reset = (): void => {
          open.delete(reset);
          over = true;
          if (!cut()) motor.at(motor.now() + delay(), () => drop());
          else motor.at(motor.now() + 3000, () => drop());
        };
        const finish = (r: Result<T, SendFault>): void => {
          if (over || box.life() !== mine) return;
          unset();
          terms.signal?.removeEventListener('abort', aborted);
          reset();
          resolve(r);
        };
        const fault = (code: SendFault['code'], why: string): void => {
          const f: SendFault = { ran: written ? 'maybe' : 'no', code, why };
          finish(Err(bent === 'denies' && code === 'broken' ? { ...f, ran: 'no', code: 'refused' } : f));
        };
        const aborted = (): void => fault(terms.signal?.reason === 'gone' ? 'gone' : 'late', 'given up');
        const unset = clock.after(Math.max(1, terms.ms), () => fault('late', 'took longer than it may'));
        terms.signal?.addEventListener('abort', aborted);
        open.add(reset);
        if (terms.signal?.aborted) {
          aborted();
          return;
        }
        if (!target || target.state() === 'dead') {
          clock.after(1, () => fault('unsent', 'refused'));
          return;
        }
        if (cut() && motor.chance.real() < STALE) {
          clock.after(CONNECT, () => fault('unsent', 'no connection'));
          return;
        }
        written = true;
        motor.at(motor.now() + delay(), function arrive() {
          if (cut()) {
            if (!over) motor.at(motor.now() + 50, arrive);
            return;
          }
          if (target.state() === 'dead') {
            inward.push(() => fault('broken', 'reset'));
            return;
          }
          const gone = over;
          const heard = (fn: () => void): void => inward.push(() => (over || box.life() !== mine ? undefined : fn()));
          drop = begin(target, heard, (r) => {
            const bad = r.err && r.val.code === 'broken';
            inward.push(() => (bad ? fault('broken', r.val.why) : finish(r)));
          });
          if (gone) drop();
          else if (motor.chance.real() < target.trouble.spoil) {
            tell({ what: 'spoilt', id: '', server: target.id, at: motor.now() });
            inward.push(() => fault('broken', 'answered another request'));
          }
        });
      });
    const meant = (s: Server, to: Model): string => (bent === 'nolife' ? to.id : s.id);
    /** The memory is fetched before the work is taken up; null if it can't be had. */
    const fetch = (h: KvCacheHandle, to: Model, id: string): number | null => {
      const from = platform.at(h.server.addr);
      if (!from || from.state() !== 'up' || from.id !== h.server.id) return null;
      if (mute(from.id, to.id) || mute(to.id, from.id)) return null;
      const ms = from.handles.has(h.id) ? from.move(h.tokens) : null;
      const held = ms === null ? null : from.give(h.id);
      if (!held) return null;
      tell({ what: 'fetched', id, owner: held.owner, at: motor.now() });
      return ms;
    };
    /** A request as a router that is broken on purpose would send it. */
    const spoilt = (request: ClientRequest): ClientRequest => {
      if (bent === 'passeskey') return { ...request, headers: [...request.headers, ['authorization', '']] };
      return bent === 'wrongtenant' ? { ...request, tenant: 't1' } : request;
    };
    return {
      reset(): void {
        for (const fn of [...open]) fn();
      },
      prefill: (server, request, terms) =>
        exchange<KvCacheHandle>(server, terms, (to, _back, done) => {
          const w = WorkOf.make(motor, spoilt(request), box.id, 'read', terms, null);
          w.done = (r) => done(r.ok ? Ok({ server, id: r.val, tokens: w.size }) : r);
          to.take(w, meant(server, to));
          return () => to.drop(w);
        }),
      run(
        server: Server,
        request: ClientRequest,
        given: KvCacheHandle | null,
        after: string | null,
        terms,
        heard: RunObserver,
      ) {
        const from = bent === 'swapshandles' && given && last ? last : given;
        last = given ?? last;
        return exchange<void>(server, terms, (to, back, done) => {
          const w = WorkOf.make(motor, spoilt(request), box.id, 'run', terms, bent === 'joins' ? null : after);
          let headed = false;
          const head = (): void => {
            if (!headed) heard.onHead({ status: 200, headers: [['run', w.run]], isEventStream: true });
            headed = true;
          };
          w.event = (p) => {
            if (bent === 'dropsevent' && p.n % 3 === 2) return;
            back(() => {
              heard.onActivity();
              head();
              const out = bent === 'strangebytes' ? { ...p, key: 'another' } : p;
              if (!heard.onEvent(String(p.n), bytes(out)))
                done(Err({ ran: 'maybe', code: 'gone', why: 'reads no more' }));
            });
          };
          w.done = (r) => {
            if (r.ok) back(head);
            done(r.ok ? Ok(undefined) : r);
          };
          if (bent === 'twoarrivals') to.take({ ...w, until: -1, done: () => undefined }, meant(server, to));
          let dropped = false;
          const able = meant(server, to) === to.id && to.stage() === 'decode';
          const ms = from && able ? fetch(from, to, request.id) : 0;
          if (ms === null) to.refuse(w, 'the memory is gone');
          else {
            w.moved = from !== null;
            motor.at(motor.now() + ms, () => {
              if (!dropped && to.state() === 'up') to.take(w, meant(server, to));
              else if (to.state() === 'dead') w.done(Err({ ran: 'maybe', code: 'broken', why: 'reset' }));
            });
          }
          return () => {
            dropped = true;
            to.drop(w);
          };
        });
      },
      hasIdleConnection: () => true,
      async releaseHandle(handle) {
        await exchange<void>(handle.server, { ms: 1000, signal: null }, (to, _back, done) => {
          if (to.id === handle.server.id) to.give(handle.id);
          done(Ok(undefined));
          return () => undefined;
        });
      },
      async fetchReport(server, ms) {
        const got = await exchange(
          server,
          { ms, signal: null },
          (to, _back, done: Told<ReturnType<Model['report']>>) => {
            done(Ok(to.report()));
            return () => undefined;
          },
        );
        return got.ok ? got : Err(got.val.why);
      },
      async setStage(server, o, ms) {
        const n = orders++;
        const holder = bent === 'twoholders' && n % 2 === 1 ? 'x' : o.holder;
        type Ruling = Result<'taken' | 'holds', 'refused' | 'fenced'>;
        const got = await exchange<Ruling>(server, { ms, signal: null }, (to, _back, done) => {
          done(Ok(to.id === server.id ? to.order(o.stage, holder, o.fence, box.id) : Err('refused')));
          return () => undefined;
        });
        if (got.err) return Err(got.val.ran === 'no' ? 'unsent' : 'lost');
        return got.val;
      },
      close: () => Promise.resolve(),
    };
  },
};
