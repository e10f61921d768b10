import { Check, Err, Ok, type Ident, type PostBox, type Result } from '@pumicebarrow/forms';
import type { TSchema } from 'typebox';

type Desk = { form: TSchema; fn: (body: never, from: Ident) => unknown };

/** Daemons that ask each other in one process; mail is checked and copied as over a wire. `down` ones don't reply. */
export const testTown = () => {
  const desks = new Map<string, Map<string, Desk>>();
  const down = new Set<string>();
  const asked: string[] = [];
  return {
    down,
    asked,
    post(who: Ident): PostBox {
      const mine = new Map<string, Desk>();
      desks.set(who.addr, mine);
      return {
        on: (kind, form, fn) => void mine.set(kind, { form, fn: fn }),
        heed: (kind, form, fn) => void mine.set(kind, { form, fn: fn }),
        tell(addr, _to, kind, body): void {
          asked.push(`${who.id} ${kind} ${addr}`);
          const desk = down.has(addr) ? undefined : desks.get(addr)?.get(kind);
          if (!desk) return;
          const sent = Check.parse(desk.form, JSON.parse(JSON.stringify(body)));
          if (sent.err) throw new Error(JSON.stringify(sent.val));
          desk.fn(sent.val as never, who);
        },
        async ask(addr, _to, kind, body, form): Promise<Result<never, never>> {
          asked.push(`${who.id} ${kind} ${addr}`);
          const desk = down.has(addr) ? undefined : desks.get(addr)?.get(kind);
          if (!desk) return Err('unsent') as never;
          const sent = Check.parse(desk.form, JSON.parse(JSON.stringify(body)));
          if (sent.err) throw new Error(JSON.stringify(sent.val));
          const re = await desk.fn(sent.val as never, who);
          const seen = Check.parse(form, JSON.parse(JSON.stringify(re)));
          if (seen.err) throw new Error(JSON.stringify(seen.val));
          return Ok(seen.val) as never;
        },
        close: () => undefined,
      };
    },
  };
};

export const daemon = (id: string, role: Ident['role'] = 'counter'): Ident => ({
  ...{ id, born: `b-${id}`, addr: `10.0.1.${id.replace(/\D/g, '')}:${role === 'counter' ? 1 : 2}`, site: 'z1', role },
});
