import type { Metering, World } from '@pumicebarrow/forms';
import type { CallerSink } from './callersink.js';

type Under = { rule: string; at: number; sent: boolean };
const MOST = 8192;
/** Of a request that was refused before its rule was known. */
const NONE = 'none';

/**
 * Counts requests by what this daemon does for them. Invariants: a request under way is known by key and attempt, from
 * the admission to its outcome; no more than MOST are remembered, and one that was forgotten is counted without its
 * rule.
 */
export const RequestMeter = {
  make(meters: Metering, mono: () => number) {
    const open = new Map<string, Under>();
    const requests = meters.count('visits_total', 'requests that ended here, by rule and verdict', [
      'rule',
      'ran',
      'code',
    ]);
    const extra = meters.count('extra_tries_total', 'hand-overs tried again, by what the first met', ['code']);
    const wait = meters.time('wait_seconds', 'from admission to the first send', ['rule']);
    const first = meters.time('first_piece_seconds', 'from admission to the first piece', ['rule']);
    const between = meters.time('between_pieces_seconds', 'from one piece to the next', ['rule']);
    const whole = meters.time('visit_seconds', 'from admission to the outcome', ['rule']);
    const held = meters.count('docs_held_total', 'versions taken in, by how they came', ['via']);
    const orders = meters.count('orders_total', 'orders sent to servers');
    const slept = meters.count('sleeps_total', 'times that this daemon found that it had slept');
    const name = (d: object): string => {
      const { key, attempt } = d as { key?: unknown; attempt?: unknown };
      return `${String(key)} ${String(attempt)}`;
    };
    const enter = (id: string, rule: string): void => {
      open.set(id, { rule, at: mono(), sent: false });
      if (open.size > MOST) open.delete(open.keys().next().value!);
    };
    const send = (u: Under): void => {
      if (!u.sent) wait(mono() - u.at, { rule: u.rule });
      u.sent = true;
    };
    const leave = (id: string, u: Under | undefined, ran: string, code: string): void => {
      requests({ rule: u?.rule ?? NONE, ran, code });
      if (u) whole(mono() - u.at, { rule: u.rule });
      open.delete(id);
    };
    const hear = (d: Parameters<World['tell']>[0]): void => {
      const id = name(d),
        u = open.get(id);
      if (d.what === 'gated') enter(id, String(d['rule']));
      else if (d.what === 'send' && u) send(u);
      else if (d.what === 'streams' && u) first(mono() - u.at, { rule: u.rule });
      else if (d.what === 'extra') extra({ code: String(d['code']) });
      else if (d.what === 'visit') leave(id, u, String(d['ran']), String(d['code']));
      else if (d.what === 'held') held({ via: String(d['via']) });
      else if (d.what === 'order') orders();
      else if (d.what === 'woke') slept();
    };
    return {
      under: (): number => open.size,
      /** The same world, whose deeds are counted too. */
      listen(world: World): World {
        return {
          ...world,
          tell: (d) => {
            hear(d);
            world.tell(d);
          },
        };
      },
      /** The same sink, whose pieces are timed. */
      timed(id: { key: string; attempt: number }, sink: CallerSink): CallerSink {
        let last = -1;
        return {
          ...sink,
          piece(n, text) {
            const now = mono();
            if (last >= 0) between(now - last, { rule: open.get(name(id))?.rule ?? NONE });
            last = now;
            sink.piece(n, text);
          },
        };
      },
    };
  },
};
