import { Err, Ok, type Message, type Result, type Wire, type RequestError } from '@pumicebarrow/forms';
import type { Box } from '@pumicebarrow/sim';
import type { Metered } from './metered.js';

/** ms after which what was told, and not heard, is forgotten. */
const TOLD = 400;
type Told = (kind: string, from: string, to: string, sent: number, back: number) => void;

/**
 * A wire without faults, but for cuts, between many daemons in one process, which counts what goes over it. Invariants:
 * what crosses a cut is lost without a word, and counted as sent; mail is copied through JSON at both ends, as over a
 * socket; a reply later than was waited for is lost; an address has one daemon.
 */
export const CountedWire = {
  make(motor: Metered, told: Told, slow: number) {
    const hosts = new Map<string, Box>();
    let apart: ReadonlySet<string> = new Set();
    const crosses = (a: string, b: string): boolean => apart.has(a) !== apart.has(b);
    const delay = (): number => 0.3 + motor.chance.real() * 1.5 + slow;
    return {
      /** From now on some are cut off from all others; none lifts it. */
      cut: (ids: readonly string[]): void => {
        apart = new Set(ids);
      },
      add: (b: Box): void => void hosts.set(b.addr(), b),
      wire(me: Box): Wire {
        const wire: Wire = {
          onMessage: (fn) => me.hear(fn),
          tell: (to, mail) => void wire.ask(to, mail, TOLD),
          ask: (to: string, mail: Message, ms: number): Promise<Result<unknown, RequestError>> =>
            new Promise((done) => {
              const from = motor.now();
              const say = (r: Result<unknown, RequestError>): void =>
                motor.at(motor.now() + delay(), () => {
                  motor.own(me.id);
                  done(motor.now() - from > ms ? Err('lost') : r);
                });
              const there = hosts.get(to);
              if (!there?.up()) {
                say(Err('unsent'));
                return;
              }
              const text = JSON.stringify(mail);
              const lost = (): void => {
                told(mail.kind, me.id, there.id, text.length, 0);
                motor.at(Math.max(motor.now(), from + ms), () => {
                  motor.own(me.id);
                  done(Err('lost'));
                });
              };
              if (crosses(me.id, there.id)) {
                lost();
                return;
              }
              motor.at(from + delay(), () => {
                motor.own(there.id);
                const ear = there.ear();
                if (!ear) {
                  say(Err('lost'));
                  return;
                }
                void ear(JSON.parse(text) as Message).then((re) => {
                  if (crosses(me.id, there.id)) {
                    lost();
                    return;
                  }
                  const back = JSON.stringify(re ?? null);
                  told(mail.kind, me.id, there.id, text.length, back.length);
                  motor.at(motor.now() + delay(), () => {
                    motor.own(me.id);
                    done(motor.now() - from > ms ? Err('lost') : Ok(JSON.parse(back) as unknown));
                  });
                });
              });
            }),
        };
        return wire;
      },
    };
  },
};
