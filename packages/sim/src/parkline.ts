import { Err, Ok, type Result } from '@pumicebarrow/forms';
import type {
  ModelServerClient,
  ModelServerFault,
  ModelServerState,
  KvCacheHandle,
  DecodeStreamLine,
} from '@pumicebarrow/counter';
import type { Box } from './box.js';
import type { Motor } from './motor.js';
import type { Server } from './server.js';
import type { Stall } from './stall.js';

type Tools = {
  motor: Motor;
  servers: ReadonlyMap<string, Server>;
  stalls: ReadonlySet<Stall>;
  lag: () => number;
  mute: (from: string, to: string) => boolean;
  seen: (kind: string, from: string, to: string, sent: unknown, back: unknown) => void;
};
type Told<T> = Result<T, ModelServerFault>;
const CONNECT = 300;
const LOOK = 50;
const LONGEST = 60_000;
const fault = (code: ModelServerFault['code'], ran: 'no' | 'maybe'): Result<never, ModelServerFault> =>
  Err({ ran, code, dark: true, why: code });
/** A server's word in place of what was asked for. */
const turned = <T>(r: Told<T | { code: ModelServerFault['code'] }>): Told<T> => {
  if (r.err) return Err(r.val);
  const code = (r.val as { code?: ModelServerFault['code'] } | null)?.code;
  return code ? Err({ ran: 'no', code, dark: false, why: `turned it away: ${code}` }) : Ok(r.val as T);
};

/**
 * One daemon's line to the simulated servers. A cut either stops a connection from being made, or leaves what was
 * written in buffers, heard when the cut is over; so do the buffers of a server that has gone dark. Nothing is heard,
 * not even silence, by a daemon whose machine is frozen.
 */
export const ParkLine = {
  make(t: Tools, me: Box): ModelServerClient {
    const { motor, mute } = t;
    const noted = (kind: string, addr: string, sent: unknown, back: unknown): void =>
      t.seen(kind, me.id, find(addr)?.id ?? '', sent, back);
    const find = (addr: string): Server | undefined => [...t.servers.values()].find((s) => s.addr === addr);
    const stalled = (s: Server): Stall | undefined => [...t.stalls].find((x) => x.from === me.id && x.to === s.id);
    /** Runs fn at the server, once what was sent has come there and the server reads it. */
    const bring = (s: Server, fn: () => void): void => {
      const { life } = s;
      const arrive = (): void => {
        if (!s.up || s.life !== life) return;
        if (mute(me.id, s.id) || stalled(s)) {
          motor.at(motor.now() + LOOK, arrive);
          return;
        }
        if (s.dark) {
          s.buffers.push(fn);
          return;
        }
        fn();
      };
      motor.at(motor.now() + t.lag(), arrive);
    };
    /** Runs fn here, once what the server said has come; in order, as one connection keeps it. */
    const carrier = (s: Server) => {
      let line: (() => void)[] = [];
      const flush = (): void => {
        if (line.length === 0) return;
        if (me.frozen()) {
          motor.at(me.thaw(), flush);
          return;
        }
        if (s.dark || mute(s.id, me.id)) {
          motor.at(motor.now() + LOOK, flush);
          return;
        }
        const list = line;
        line = [];
        for (const fn of list) fn();
      };
      return (fn: () => void): void => {
        if (!s.up) return;
        line.push(fn);
        if (line.length === 1) motor.at(motor.now() + 0.3, flush);
      };
    };
    /** One call to a server: refused, hung, broken off by a crash, or done. */
    const go = <T>(addr: string, ms: number, job: (s: Server) => Promise<T>): Promise<Told<T>> =>
      new Promise((done) => {
        const life = me.life();
        let open = true;
        const end = (r: Told<T>): void => {
          motor.at(motor.now() + t.lag(), function fire() {
            if (me.life() !== life || !open) return;
            if (me.frozen()) {
              motor.at(me.thaw(), fire);
              return;
            }
            open = false;
            done(r);
          });
        };
        const s = find(addr);
        if (!s || !s.up) {
          end(fault('unreached', 'no'));
          return;
        }
        const apart = mute(me.id, s.id) || mute(s.id, me.id),
          fresh = motor.chance.real() < 0.5;
        if (apart && fresh) {
          motor.at(motor.now() + CONNECT, () => end(fault('unreached', 'no')));
          return;
        }
        const snap = (): void => end(fault('broken', 'maybe'));
        s.open.add(snap);
        bring(s, () => {
          void job(s).then((v) => {
            s.open.delete(snap);
            if (s.up && !s.dark && !mute(s.id, me.id)) end(Ok(v));
          });
        });
        motor.at(motor.now() + ms, snap);
      });
    const decode = async (
      addr: string,
      job: Parameters<ModelServerClient['decode']>[1],
      ms: number,
      take: (p: DecodeStreamLine) => boolean,
    ): Promise<Told<null>> => {
      const life = me.life(),
        there = find(addr),
        stall = there && stalled(there);
      if (stall) stall.lying++;
      let on = true;
      let last = motor.now();
      /** A daemon that gave up is heard of at the server only over a link that works. */
      const held = (s: Server): boolean => (on || mute(me.id, s.id) ? me.life() === life : false);
      const silent = new Promise<Told<null>>((done) => {
        const watch = (): void => {
          if (me.frozen()) motor.at(me.thaw(), watch);
          else if (motor.now() - last > ms) done(Err({ ran: 'maybe', code: 'broken', dark: true, why: 'silent' }));
          else if (on && me.life() === life) motor.at(motor.now() + 100, watch);
        };
        watch();
      });
      const stream = go(addr, LONGEST, async (s) => {
        const carry = carrier(s);
        const got = await s.stand.decode(
          job,
          (p) =>
            carry(() => {
              if (!on || me.life() !== life) return;
              last = motor.now();
              on = take(p);
            }),
          () => held(s),
        );
        if (got === null)
          await new Promise<void>((done) => {
            carry(done);
          });
        return got;
      });
      const got = await Promise.race([stream, silent]);
      on = false;
      return turned<null>(got);
    };
    return {
      prefill: async (addr, job, ms) => turned<KvCacheHandle>(await go(addr, ms, (s) => s.stand.prefill(job))),
      async setStage(addr, slip, ms) {
        const got = await go(addr, ms, (s) => Promise.resolve(s.stand.order(slip)));
        if (got.ok) noted('back.order', addr, slip, got.val);
        return turned<ModelServerState>(got);
      },
      async fetchState(addr, ms) {
        const got = await go(addr, ms, (s) => Promise.resolve(s.stand.state()));
        if (got.ok) noted('back.state', addr, '', got.val);
        return got;
      },
      decode,
    };
  },
};
