import {
  Err,
  Ok,
  Random,
  Logs,
  type Message,
  type Result,
  type Wire,
  type RequestError,
  type World,
} from '@pumicebarrow/forms';
import type { Box } from './box.js';
import type { Motor } from './motor.js';

/** Changes a reply on its way, for runs that are broken on purpose; undefined loses it. */
type Bend = (kind: string, from: string, to: string, re: unknown, body: unknown) => unknown;
/** Told of each exchange that was ended: who asked whom, and how many bytes went each way. */
type Tap = (kind: string, from: string, to: string, sent: number, back: number) => void;
/** ms after which what was told, and not heard, is forgotten. */
const TOLD = 400;
const size = (v: unknown): number => (typeof v === 'string' ? v : JSON.stringify(v)).length;

/**
 * The simulated network between daemons. Mail is copied through JSON. A refused connection is 'unsent'; over a cut no
 * connection is made ('unsent'), or one that was open keeps what was written until the cut is over ('lost', and heard
 * late), by chance; a frozen hearer hears late.
 */
export const Net = {
  make(motor: Motor) {
    const hosts: Box[] = [];
    let cuts: { a: ReadonlySet<string>; b: ReadonlySet<string>; oneway: boolean; curt: boolean }[] = [];
    let vary: (() => number) | null = null;
    let newer: ReadonlySet<string> = new Set();
    const novel = (id: string, v: unknown): unknown =>
      newer.has(id) && typeof v === 'object' && v !== null ? { ...v, novel: 1 } : v;
    let slow = 0;
    let loss = 0;
    let bend: Bend = (_kind, _from, _to, re) => re;
    let tap: Tap | null = null;
    let mails = 0;
    let held = 0;
    let lost = 0;
    /** Whether what x sends never comes to y; y may still come to x if the cut is one way. */
    const mute = (x: string, y: string): boolean => {
      const on = cuts.some((c) => (c.a.has(x) && c.b.has(y)) || (!c.oneway && c.a.has(y) && c.b.has(x)));
      if (on) held++;
      return on;
    };
    const curt = (x: string, y: string): boolean =>
      cuts.some((c) => c.curt && ((c.a.has(x) && c.b.has(y)) || (c.a.has(y) && c.b.has(x))));
    const gone = (): boolean => {
      const by = loss > 0 && motor.chance.real() < loss;
      if (by) lost++;
      return by;
    };
    const delay = (): number => (vary ? vary() : usual());
    const usual = (): number => 0.3 + motor.chance.real() * 1.5 + (motor.chance.real() < 0.01 ? 20 : 0) + slow;
    const net = {
      add(h: Box): void {
        hosts.push(h);
      },
      hosts: (): readonly Box[] => hosts,
      mails: (): number => mails,
      /** How often something was held up by a cut, and how many mails and replies were lost by chance. */
      met: (): { held: number; lost: number } => ({ held, lost }),
      /**
       * Cuts what goes from a to b, and back unless it is one way; gives what lifts it. A curt cut is told at once, as
       * by a wall that turns connections away; any other is noticed by silence.
       */
      cut(a: readonly string[], b: readonly string[], oneway = false, sharp = false): () => void {
        const c = { a: new Set(a), b: new Set(b), oneway, curt: sharp };
        cuts = [...cuts, c];
        return () => {
          cuts = cuts.filter((x) => x !== c);
        };
      },
      mute,
      tap(fn: Tap): void {
        tap = fn;
      },
      /** An exchange for the tap; what is not text yet is only written out if there is one. */
      seen(kind: string, from: string, to: string, sent: unknown, back: unknown): void {
        if (tap) tap(kind, from, to, size(sent), size(back));
      },
      /** How long each mail takes on its way, for explored schedules. */
      vary(fn: () => number): void {
        vary = fn;
      },
      /** Daemons that speak as the next release may: one voice up, with a key that ours does not know. */
      newer(list: readonly string[]): void {
        newer = new Set(list);
      },
      bend(fn: Bend): void {
        bend = fn;
      },
      /** Each mail and each reply is lost with this chance. */
      lose(part: number): void {
        loss = part;
      },
      slow(ms: number): void {
        slow = ms;
      },
      /** All that the daemon on a machine may touch; a new life of the machine begins with it. */
      world: (b: Box): World => ({
        clock: b.begin(),
        random: b.chance,
        wire: net.wire(b),
        disk: b.disk,
        log: Logs.silent,
        recordEvent: (x) => b.tell(x),
      }),
      wire(me: Box): Wire {
        const wire: Wire = {
          onMessage: (fn) => me.hear(fn),
          tell: (to, mail) => void wire.ask(to, mail, TOLD),
          ask(to: string, mail: Message, ms: number): Promise<Result<unknown, RequestError>> {
            mails++;
            const mine = me.life();
            const text = JSON.stringify(
              newer.has(me.id) ? { ...mail, v: mail.v + 1, body: novel(me.id, mail.body) } : mail,
            );
            return new Promise((done) => {
              let open = true;
              const say = (r: Result<unknown, RequestError>, at: number): void => {
                motor.at(at, function fire() {
                  if (me.life() !== mine) return;
                  if (me.frozen()) {
                    motor.at(me.thaw(), fire);
                    return;
                  }
                  if (open) done(r);
                  open = false;
                });
              };
              const there = hosts.find((h) => h.up() && h.addr() === to);
              if (!there) {
                say(Err('unsent'), motor.now() + delay());
                return;
              }
              if (curt(me.id, there.id)) {
                say(Err('unsent'), motor.now() + delay());
                return;
              }
              const fresh = Random.int(motor.chance, 2) === 0;
              if (mute(me.id, there.id)) {
                if (fresh) {
                  say(Err('unsent'), motor.now() + Math.min(ms, 300));
                  return;
                }
              }
              say(Err('lost'), motor.now() + ms);
              if (gone()) return;
              const theirs = there.life();
              motor.at(motor.now() + delay(), function arrive() {
                if (there.life() !== theirs) {
                  say(Err('lost'), motor.now());
                  return;
                }
                if (there.frozen()) {
                  motor.at(there.thaw() + delay(), arrive);
                  return;
                }
                if (mute(me.id, there.id)) {
                  motor.at(motor.now() + 50, arrive);
                  return;
                }
                const ear = there.ear();
                if (!ear) {
                  say(Err('lost'), motor.now());
                  return;
                }
                void ear(JSON.parse(text) as Message).then((re) => {
                  if (there.life() !== theirs) return;
                  if (mute(there.id, me.id)) {
                    return;
                  }
                  const bent = bend(mail.kind, me.id, there.id, re ?? null, mail.body);
                  if (bent === undefined || gone()) return;
                  const back = JSON.stringify(novel(there.id, bent));
                  net.seen(mail.kind, me.id, there.id, text, back);
                  say(Ok(JSON.parse(back) as unknown), motor.now() + delay());
                });
              });
            });
          },
        };
        return wire;
      },
    };
    return net;
  },
};
