import { Random, Err, Ok, type Clock, type HistoryEvent } from '@pumicebarrow/forms';
import type { ModelServerClient, KvCacheHandle, InventoryList, InventorySource } from '@pumicebarrow/counter';
import type { Box } from './box.js';
import { Model } from './model.js';
import type { Motor } from './motor.js';
import { ParkLine } from './parkline.js';
import type { Server } from './server.js';
import type { Stall } from './stall.js';
import type { Trick } from './trick.js';

type Settings = { id: string; addr: string; site: string; slots: number };
type Seen = (kind: string, from: string, to: string, sent: unknown, back: unknown) => void;
const PACE = 12;
const HOLD = 6000;
const FETCH = 800;
const POLL = 600;
/** The platform's name on the simulated network. */
const TOWN = 'town';

/** The model servers and the platform's list of them, in the simulator. */
export const Park = {
  make(
    motor: Motor,
    list: readonly Settings[],
    tell: (d: HistoryEvent) => void,
    mute: (from: string, to: string) => boolean,
    seen: Seen = () => undefined,
  ) {
    const servers = new Map<string, Server>();
    const stalls = new Set<Stall>();
    let down = false;
    const say = (what: string, who: string, more: Record<string, unknown>): void =>
      tell({ what, who, at: motor.now(), ...more });
    const lag = (): number => 0.4 + motor.chance.real();
    const apart = (a: string, b: string): boolean => mute(a, b) || mute(b, a);
    const clockOf = (now: Server): Clock => ({
      mono: motor.now,
      wall: motor.now,
      after(ms, fn) {
        let on = true;
        const fire = (): void => {
          if (!on || !now.up) return;
          if (now.dark) {
            now.buffers.push(fire);
            return;
          }
          fn();
        };
        motor.at(motor.now() + ms, fire);
        return () => {
          on = false;
        };
      },
    });
    /** Prompt memory is fetched over the servers' own links, which may be slow, shaky or cut. */
    const fetch =
      (now: Server) =>
      (h: KvCacheHandle): Promise<{ key: string; attempt: number; digest: string } | null> =>
        new Promise((done) => {
          const from = servers.get(h.server),
            slow = now.slow + (from?.slow ?? 0);
          const cut = !from || apart(now.id, from.id);
          if (slow > 0) say('slowlink', now.id, { ms: slow });
          const wait = cut ? FETCH : lag() + slow * (0.5 + motor.chance.real());
          motor.at(motor.now() + wait, () => {
            const there = from && !cut && from.up && !from.dark && from.born === h.born && !apart(now.id, from.id);
            done(there ? from.stand.kv(h.id) : null);
          });
        });
    const rise = (s: Settings): void => {
      const old = servers.get(s.id),
        born = `${s.id}-${Random.hexId(motor.chance)}`,
        life = (old?.life ?? 0) + 1;
      const now: Server = {
        ...s,
        born,
        up: true,
        dark: false,
        life,
        mark: 'serving',
        open: new Set(),
        buffers: [],
        trick: old?.trick ?? 'none',
        slow: 0,
        stand: null as never,
      };
      now.stand = Model.make(
        clockOf(now),
        motor.chance,
        { ...s, born, hold: HOLD, pace: PACE },
        {
          fetch: fetch(now),
          took: (part) => say('reach', s.id, { part, born }),
          late: (part) => say('late', s.id, { part, born }),
          ran: (key, attempt, digest) => say('ran', s.id, { key, attempt, digest }),
          ordered: (slip) => say('ordered', s.id, { by: slip.who, fence: slip.fence, part: slip.part }),
          trick: () => now.trick,
        },
      );
      servers.set(s.id, now);
      say('listed', s.id, { mark: 'serving', born });
    };
    for (const s of list) rise(s);
    const fall = (id: string): void => {
      const s = servers.get(id)!;
      say('fell', id, { open: s.open.size });
      s.up = false;
      s.buffers = [];
      for (const f of [...s.open]) f();
    };
    const mark = (id: string, m: Server['mark']): void => {
      const s = servers.get(id)!;
      s.mark = m;
      say('listed', id, { mark: m, born: s.born });
    };
    const shown = (): InventoryList => ({
      servers: [...servers.values()]
        .filter((s) => s.mark !== 'gone')
        .map(({ id, addr, site, born, mark: m }) => ({ id, addr, site, born, mark: m as 'serving' | 'draining' })),
    });
    const town = (me: Box): InventorySource => ({
      poll: () =>
        new Promise((done) => {
          const life = me.life(),
            cut = apart(me.id, TOWN);
          motor.at(motor.now() + (cut ? POLL : lag()), () => {
            const r = down || cut ? Err('down') : Ok(shown());
            if (r.ok) seen('town.poll', me.id, TOWN, '', r.val);
            motor.at(motor.now() + lag(), function fire() {
              if (me.life() !== life) return;
              if (me.frozen()) {
                motor.at(me.thaw(), fire);
                return;
              }
              done(r);
            });
          });
        }),
    });
    return {
      town,
      fall,
      mark,
      back: (me: Box): ModelServerClient => ParkLine.make({ motor, servers, stalls, lag, mute, seen }, me),
      ids: (): string[] => [...servers.keys()],
      get: (id: string): Server => servers.get(id)!,
      rise: (id: string): void => rise(list.find((s) => s.id === id)!),
      /** Crashes, and is back at once as a new life. */
      renew(id: string): void {
        fall(id);
        rise(list.find((s) => s.id === id)!);
      },
      /** Stands still, as a frozen process does: what is sent to it lies in its buffers until it goes on. */
      dark(id: string, on: boolean): void {
        const s = servers.get(id)!,
          lay = s.buffers;
        s.dark = on;
        if (on) return;
        s.buffers = [];
        for (const f of lay) f();
      },
      /** What a daemon sends to a server is taken by the link, and lies in it until this is lifted. */
      stall(from: string, to: string): { lying: () => number; lift: () => void } {
        const stall: Stall = { from, to, lying: 0 };
        stalls.add(stall);
        return { lying: () => stall.lying, lift: () => void stalls.delete(stall) };
      },
      slow(id: string, ms: number): void {
        servers.get(id)!.slow = ms;
      },
      lapse(): void {
        for (const s of servers.values()) s.stand.lapse();
      },
      platform(up: boolean): void {
        down = !up;
      },
      trick(id: string, t: Trick): void {
        servers.get(id)!.trick = t;
      },
    };
  },
};
