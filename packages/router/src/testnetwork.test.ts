import { SchemaCheck, Err, Ok, type Ident, type Messenger, type Result } from '@pumicebarrow/forms';
import type { TSchema } from 'typebox';

type Handler = { form: TSchema; fn: (body: never, from: Ident) => unknown };

/**
 * In-process network for daemons: messages are checked against their schemas and copied as over a real connection.
 * Daemons whose address is in `unreachable` don't reply.
 */
export const testNetwork = () => {
  const handlers = new Map<string, Map<string, Handler>>();
  const unreachable = new Set<string>();
  const sentMessages: string[] = [];
  return {
    down: unreachable,
    asked: sentMessages,
    post(who: Ident): Messenger {
      const ownHandlers = new Map<string, Handler>();
      handlers.set(who.addr, ownHandlers);
      return {
        on: (kind, form, fn) => void ownHandlers.set(kind, { form, fn }),
        onTell: (kind, form, fn) => void ownHandlers.set(kind, { form, fn }),
        tell(addr, _to, kind, body): void {
          sentMessages.push(`${who.id} ${kind} ${addr}`);
          const desk = unreachable.has(addr) ? undefined : handlers.get(addr)?.get(kind);
          if (!desk) return;
          const sent = SchemaCheck.parse(desk.form, JSON.parse(JSON.stringify(body)));
          if (sent.err) throw new Error(JSON.stringify(sent.val));
          desk.fn(sent.val as never, who);
        },
        async ask(addr, _to, kind, body, form): Promise<Result<never, never>> {
          sentMessages.push(`${who.id} ${kind} ${addr}`);
          const desk = unreachable.has(addr) ? undefined : handlers.get(addr)?.get(kind);
          if (!desk) return Err('unsent') as never;
          const sent = SchemaCheck.parse(desk.form, JSON.parse(JSON.stringify(body)));
          if (sent.err) throw new Error(JSON.stringify(sent.val));
          const re = await desk.fn(sent.val as never, who);
          const seen = SchemaCheck.parse(form, JSON.parse(JSON.stringify(re)));
          if (seen.err) throw new Error(JSON.stringify(seen.val));
          return Ok(seen.val) as never;
        },
        close: () => undefined,
      };
    },
  };
};

/** Identity of a test daemon; its address follows from the number in its id. */
export const testIdent = (id: string, role: Ident['role'] = 'counter'): Ident => ({
  ...{ id, born: `b-${id}`, addr: `10.0.1.${id.replace(/\D/g, '')}:${role === 'counter' ? 1 : 2}`, site: 'z1', role },
});
