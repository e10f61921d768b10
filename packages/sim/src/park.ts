import { Dice, Err, Ok, type Clock, type Deed, type Result } from '@pumicebarrow/forms';
import type { Back, BackFault, BackState, Handle, TownList, Town } from '@pumicebarrow/counter';
import type { Box } from './box.js';
import { Model } from './model.js';
import type { Motor } from './motor.js';
import type { Stand } from './stand.js';
import type { Trick } from './trick.js';

type Server = {
  id: string; addr: string; site: string; born: string; slots: number; stand: Stand; up: boolean; dark: boolean; life: number;
  mark: 'serving' | 'draining' | 'gone'; open: Set<() => void>; trick: Trick; slow: number;
};
type Startup = { id: string; addr: string; site: string; slots: number };
const PACE = 12;
const HOLD = 6000;

/** The model servers and the platform's list of them, in the simulator. */
export const Park = {
  make(motor: Motor, list: readonly Startup[], tell: (d: Deed) => void) {
    const servers = new Map<string, Server>();
    let down = false;
    const hold = HOLD;
    let stale: TownList | null = null;
    let lie: ((f: BackFault) => BackFault) | null = null;
    const say = (what: string, who: string, more: Record<string, unknown>): void => tell({ what, who, at: motor.now(), ...more });
    const lag = (): number => 0.4 + motor.chance.real();
    const rise = (s: Startup): void => {
      const old = servers.get(s.id), born = `${s.id}-${Dice.word(motor.chance)}`, life = (old?.life ?? 0) + 1;
      const now: Server = { ...s, born, up: true, dark: false, life, mark: 'serving', open: new Set(), trick: old?.trick ?? 'none', slow: 0, stand: null as never };
      const clock: Clock = {
        mono: motor.now, wall: motor.now,
        after(ms, fn) {
          let on = true;
          motor.at(motor.now() + ms, () => { if (on && now.up) fn(); });
          return () => { on = false; };
        },
      };
      now.stand = Model.make(clock, motor.chance, { ...s, born, hold, pace: PACE }, {
        fetch: (h: Handle) => new Promise((done) => {
          const from = servers.get(h.server), wait = lag() + now.slow + (from?.slow ?? 0);
          motor.at(motor.now() + wait, () => done(from && from.up && !from.dark && from.born === h.born ? from.stand.kv(h.id) : null));
        }),
        ran: (key, attempt, digest) => say('ran', s.id, { key, attempt, digest }),
        ordered: (slip) => say('ordered', s.id, { by: slip.by, fence: slip.fence, part: slip.part }),
        trick: () => now.trick,
      });
      servers.set(s.id, now);
      say('listed', s.id, { mark: 'serving', born });
    };
    for (const s of list) rise(s);
    const fall = (id: string): void => {
      const s = servers.get(id)!;
      s.up = false;
      for (const f of [...s.open]) f();
    };
    const mark = (id: string, m: Server['mark']): void => {
      const s = servers.get(id)!;
      s.mark = m;
      say('listed', id, { mark: m, born: s.born });
    };
    const back = (me: Box): Back => {
      /** One call to a server: refused, hung, broken off by a crash, or done. */
      const go = <T>(addr: string, ms: number, reach: string, job: (s: Server) => Promise<T>, hang = ms): Promise<Result<T, BackFault>> => new Promise((done) => {
        const life = me.life();
        let open = true;
        const end = (r: Result<T, BackFault>): void => {
          motor.at(motor.now() + lag(), function fire() {
            if (me.life() !== life || !open) return;
            if (me.frozen()) { motor.at(me.thaw(), fire); return; }
            open = false;
            done(r.err && lie ? Err(lie(r.val)) : r);
          });
        };
        const fault = (code: BackFault['code'], ran: 'no' | 'maybe'): Err_ => Err({ ran, code, dark: true, why: code });
        type Err_ = Result<T, BackFault>;
        const s = [...servers.values()].find((x) => x.addr === addr);
        if (!s || !s.up) { end(fault('unreached', 'no')); return; }
        motor.at(motor.now() + lag(), () => {
          if (!s.up) { end(fault('broken', 'maybe')); return; }
          if (reach !== 'state') say('reach', s.id, { part: reach, by: me.id, born: s.born });
          const snap = (): void => end(fault('broken', 'maybe'));
          s.open.add(snap);
          if (s.dark) { motor.at(motor.now() + hang, snap); return; }
          void job(s).then((v) => { s.open.delete(snap); if (s.up && !s.dark) end(Ok(v)); });
        });
        motor.at(motor.now() + ms, () => end(fault('broken', 'maybe')));
      });
      const turn = <T>(r: Result<T | { code: BackFault['code'] }, BackFault>): Result<T, BackFault> => {
        if (r.err) return r as Result<T, BackFault>;
        const v = r.val as { code?: BackFault['code'] };
        return v !== null && typeof v === 'object' && 'code' in v && v.code ? Err({ ran: 'no', code: v.code, dark: false, why: `turned it away: ${v.code}` }) : (r as Result<T, BackFault>);
      };
      return {
        prefill: async (addr, job, ms) => turn<Handle>(await go(addr, ms, 'prefill', (s) => s.stand.prefill(job))),
        order: async (addr, slip, ms) => turn<BackState>(await go(addr, ms, 'order', (s) => Promise.resolve(s.stand.order(slip)))),
        state: (addr, ms) => go(addr, ms, 'state', (s) => Promise.resolve(s.stand.state())),
        async decode(addr, job, ms, take) {
          const life = me.life();
          let on = true;
          let last = motor.now();
          const got = await go(addr, 60_000, 'decode', (s) => Promise.race([
            s.stand.decode(job, (p) => {
              motor.at(motor.now() + 0.3, () => { if (on && me.life() === life && s.up && !s.dark) { last = motor.now(); on = take(p); } });
            }, () => on && me.life() === life),
            new Promise<{ code: 'broken' }>((done) => {
              const watch = (): void => { if (motor.now() - last > ms) done({ code: 'broken' }); else if (on && me.life() === life) motor.at(motor.now() + 100, watch); };
              watch();
            }),
          ]), ms);
          on = false;
          if (got.ok && got.val !== null && got.val.code === 'broken') return Err({ ran: 'maybe', code: 'broken', dark: true, why: 'silent' });
          const r = turn<null>(got as Result<null | { code: BackFault['code'] }, BackFault>);
          return r;
        },
      };
    };
    const town = (me: Box): Town => ({
      poll: () => new Promise((done) => {
        const life = me.life();
        motor.at(motor.now() + lag(), () => {
          const rows = [...servers.values()].filter((s) => s.mark !== 'gone').map(({ id, addr, site, born, mark: m }) => ({ id, addr, site, born, mark: m as 'serving' | 'draining' }));
          const r = down ? Err('down') : Ok(stale ?? ({ servers: rows } as TownList));
          motor.at(motor.now() + lag(), function fire() {
            if (me.life() !== life) return;
            if (me.frozen()) { motor.at(me.thaw(), fire); return; }
            done(r);
          });
        });
      }),
    });
    return {
      back, town, fall, mark,
      ids: (): string[] => [...servers.keys()],
      get: (id: string): Server => servers.get(id)!,
      rise: (id: string): void => rise(list.find((s) => s.id === id)!),
      dark(id: string, on: boolean): void { const s = servers.get(id)!; s.dark = on; },
      slow(id: string, ms: number): void { servers.get(id)!.slow = ms; },
      /** For runs broken on purpose: a platform that serves an old list as new, faults that lie. */
      stale(): void { stale = { servers: [...servers.values()].map(({ id, addr, site, born }) => ({ id, addr, site, born, mark: 'serving' as const })) }; },
      lie(fn: (f: BackFault) => BackFault): void { lie = fn; },
      lapse(): void { for (const s of servers.values()) s.stand.lapse(); },
      platform(up: boolean): void { down = !up; },
      trick(id: string, t: Trick): void { servers.get(id)!.trick = t; },
    };
  },
};
